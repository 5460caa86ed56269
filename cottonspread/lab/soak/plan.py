"""What happens in a play, drawn from its seed alone."""

from dataclasses import dataclass
from random import Random

HOSTS = 5
LASTS = 6.0  # seconds of calls before SIGTERM
HOST_FAULTS = ("hang", "refuse", "reset", "slow", "turn-away", "drain")
LIST_FAULTS = ("list-silent", "list-reset", "list-late")
CROWD_CHANCE = 0.4
CROWD = (300, 900)  # idle clients, some with half a first line
STAYS_CHANCE = 0.5
RATE = (10, 60)  # calls a second


@dataclass(frozen=True)
class Fault:
    """One trouble: `what` from `at` on for `lasts` seconds; `host` a number or -1; `size` of a crowd."""

    what: str
    at: float
    lasts: float = 0.0
    host: int = -1
    size: int = 0


@dataclass(frozen=True)
class Plan:
    """What is played."""

    seed: int
    rate: int
    faults: tuple
    stays: bool = False  # clients go on sending after the node's end of the connection, until the kill


def generate(seed, without=()):
    """The plan of a seed. `without`: kinds of trouble that are left out of it, the rest as it was."""
    chance = Random(seed)
    rate = chance.randint(*RATE)
    faults = [
        Fault(chance.choice(HOST_FAULTS), chance.uniform(0, LASTS), chance.uniform(0.5, 3), host)
        for host in chance.sample(range(HOSTS), chance.randint(1, HOSTS - 1))
    ]
    for _ in range(chance.randint(0, 2)):
        what = chance.choice(LIST_FAULTS)
        faults.append(Fault(what, chance.uniform(0, LASTS), chance.uniform(0.5, 3)))
    start = chance.uniform(0.5, LASTS)
    for number in range(chance.choice((0, 1, 3, 6))):
        faults.append(Fault("sighup", start + number * chance.uniform(0.02, 0.3)))
    crowd = chance.random() < CROWD_CHANCE
    size, at = chance.randint(*CROWD), chance.uniform(0.5, LASTS - 2)
    if crowd:
        faults.append(Fault("crowd", at, 2.0, size=size))
    if chance.random() < 0.3:
        faults.append(Fault("sigterm-again", LASTS + chance.uniform(0.05, 1.0)))
    if chance.random() < 0.3:
        faults.append(Fault("sighup", LASTS + chance.uniform(0.0, 0.5)))
    stays = chance.random() < STAYS_CHANCE
    kept = sorted((one for one in faults if one.what not in without), key=lambda one: one.at)
    return Plan(seed, rate, tuple(kept), stays and "stays" not in without)
