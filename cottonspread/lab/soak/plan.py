"""The plan of a soak run, generated from its seed alone."""

from dataclasses import dataclass
from random import Random

HOSTS = 5
TRAFFIC_SECONDS = 6.0  # seconds of calls before SIGTERM
HOST_FAULTS = ("hang", "refuse", "reset", "slow", "turn-away", "drain")
LIST_FAULTS = ("list-silent", "list-reset", "list-late")
IDLE_CLIENTS_CHANCE = 0.4
IDLE_CLIENTS = (300, 900)  # number of idle clients; some send half a first line
KEEPS_SENDING_CHANCE = 0.5
CALL_RATE = (10, 60)  # calls a second


@dataclass(frozen=True)
class Fault:
    """A fault of kind `what`, from second `at` on for `lasts` seconds.

    `host`: the number of the host that it concerns, or -1. `size`: the number of idle clients ("crowd").
    """

    what: str
    at: float
    lasts: float = 0.0
    host: int = -1
    size: int = 0


@dataclass(frozen=True)
class Plan:
    """What happens in a run. `rate`: calls a second."""

    seed: int
    rate: int
    faults: tuple
    keeps_sending: bool = False  # clients go on sending after the node has closed its side, until the kill


def generate(seed, without=()):
    """Returns the plan of a seed; kinds in `without` are left out and the rest of the plan is unchanged."""
    rng = Random(seed)
    rate = rng.randint(*CALL_RATE)
    faults = [
        Fault(rng.choice(HOST_FAULTS), rng.uniform(0, TRAFFIC_SECONDS), rng.uniform(0.5, 3), host)
        for host in rng.sample(range(HOSTS), rng.randint(1, HOSTS - 1))
    ]
    for _ in range(rng.randint(0, 2)):
        what = rng.choice(LIST_FAULTS)
        faults.append(Fault(what, rng.uniform(0, TRAFFIC_SECONDS), rng.uniform(0.5, 3)))
    start = rng.uniform(0.5, TRAFFIC_SECONDS)
    for number in range(rng.choice((0, 1, 3, 6))):
        faults.append(Fault("sighup", start + number * rng.uniform(0.02, 0.3)))
    has_idle_clients = rng.random() < IDLE_CLIENTS_CHANCE
    size, at = rng.randint(*IDLE_CLIENTS), rng.uniform(0.5, TRAFFIC_SECONDS - 2)
    if has_idle_clients:
        faults.append(Fault("crowd", at, 2.0, size=size))
    if rng.random() < 0.3:
        faults.append(Fault("sigterm-again", TRAFFIC_SECONDS + rng.uniform(0.05, 1.0)))
    if rng.random() < 0.3:
        faults.append(Fault("sighup", TRAFFIC_SECONDS + rng.uniform(0.0, 0.5)))
    keeps_sending = rng.random() < KEEPS_SENDING_CHANCE
    kept = sorted((fault for fault in faults if fault.what not in without), key=lambda fault: fault.at)
    return Plan(seed, rate, tuple(kept), keeps_sending and "stays" not in without)
