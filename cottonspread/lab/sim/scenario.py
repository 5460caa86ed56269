"""Scenarios of the simulator as text, for recording and repeating a failure.

    # what it shows
    fleet seed=7 seconds=40 nodes.count=3 hosts.count=4 hosts.zones=2   keys of an experiment
    type farm-view effect=once-only guard_ms=2000                       a traffic type
    load poisson rate=6                                                 arrivals
    only 3 17                                                           only these of the first calls
    5250 hang h1 h2 seconds=3                                           a fault, in ms after the start
    > holds                                                             or: > breaks rule 2: two legs at once

Only the last line has a fixed place; text after `#` is a comment.
"""

from dataclasses import dataclass, field

import msgspec

from cottonspread.lab import plan as plans
from cottonspread.lab.sim.contract import ContractError
from cottonspread.lab.sim.fleet import Fleet
from cottonspread.lab.sim.invariants import InvariantError
from cottonspread.lab.sim.node import NodeError

HOLDS = "holds"
ADDRESS_BLOCK = 64, 0  # of the simulated machines' addresses, which are never bound


@dataclass
class Scenario:
    """A scenario: experiment keys by path, traffic types, load shapes and faults.

    `only`: the numbers of the first calls to make, None for all.
    """

    fleet: dict
    types: list
    loads: list
    faults: list
    only: tuple = None
    expected: str = HOLDS
    remarks: list = field(default_factory=list)

    def experiment(self):
        """Returns the scenario as a checked experiment; raises PlanError if it is not valid."""
        nested = {
            "name": "trial",
            "seconds": 30,
            "load": {"types": self.types, "shapes": self.loads},
            "nodes": {},
            "hosts": {"traits": {}},
        }
        for path, value in self.fleet.items():
            *parents, key = path.split(".")
            section = nested
            for part in parents:
                section = section.setdefault(part, {})
            section[key] = value
        nested["faults"] = [msgspec.structs.asdict(fault) for fault in self.faults]
        try:
            return plans.check(msgspec.convert(nested, plans.Experiment, strict=False), simulated=True)
        except msgspec.ValidationError as error:
            raise plans.PlanError(str(error)) from None

    def plan(self):
        """Returns the plan of the scenario's experiment."""
        experiment = self.experiment()
        return plans.make(experiment, plans.Variant(name="only"), experiment.seed, ADDRESS_BLOCK)


def read(text):
    """Parses the text of a scenario; a PlanError names the invalid line."""
    scenario = Scenario({}, [], [], [], remarks=[])
    for line_number, line in enumerate(text.splitlines(), 1):
        if line.startswith("#"):
            scenario.remarks.append(line[1:].strip())
            continue
        line = line.split("#")[0].strip()
        words = line.split()
        if not words:
            continue
        try:
            options = {
                key: parse_value(value)
                for key, value in (word.split("=", 1) for word in words[1:] if "=" in word)
            }
            arguments = [word for word in words[1:] if "=" not in word]
            if words[0] == "fleet":
                scenario.fleet |= options
            elif words[0] == "type":
                scenario.types.append({"name": arguments[0], **options})
            elif words[0] == "load":
                scenario.loads.append({"kind": arguments[0], **options})
            elif words[0] == "only":
                scenario.only = tuple(map(int, arguments))
            elif words[0] == ">":
                scenario.expected = line[1:].strip()
            else:
                scenario.faults.append(
                    msgspec.convert(
                        {
                            "at": round(float(words[0])) / 1000,
                            "kind": arguments[0],
                            "on": arguments[1:],
                            **options,
                        },
                        plans.Fault,
                        strict=False,
                    )
                )
        except (ValueError, IndexError, msgspec.ValidationError) as error:
            raise plans.PlanError(f"line {line_number}: {error}") from None
    return scenario


def parse_value(word):
    """Returns a word of the notation as a bool, int, float or str."""
    if word in ("true", "false"):
        return word == "true"
    for kind in (int, float):
        try:
            return kind(word)
        except ValueError:
            continue
    return word


def format_value(value):
    """Returns a value in the notation."""
    return (
        str(value).lower()
        if isinstance(value, bool)
        else f"{value:g}"
        if isinstance(value, float)
        else str(value)
    )


def write(scenario):
    """Returns the text of a scenario."""
    lines = [f"# {remark}" for remark in scenario.remarks]
    lines.append("fleet " + " ".join(f"{k}={format_value(v)}" for k, v in scenario.fleet.items()))
    for name, key, entries in (("type", "name", scenario.types), ("load", "kind", scenario.loads)):
        lines += [
            " ".join([name, entry[key], *(f"{k}={format_value(v)}" for k, v in entry.items() if k != key)])
            for entry in entries
        ]
    if scenario.only is not None:
        lines.append("only " + " ".join(map(str, scenario.only)))
    for fault in scenario.faults:
        words = [format_value(fault.at * 1000), fault.kind, *fault.on]
        words += [
            f"{key}={format_value(value)}"
            for key, value, default in (("seconds", fault.seconds, 0.0), ("factor", fault.factor, 3.0))
            if value != default
        ]
        lines.append(" ".join(words))
    return "\n".join([*lines, f"> {scenario.expected}"]) + "\n"


@dataclass
class Outcome:
    """The result of a run.

    `broken`: the violated invariant and how, "" if none was; `details`: the full message; `fleet`: its final
    state.
    """

    broken: str
    details: str
    fleet: Fleet


def run(scenario, traced=False, plan=None):
    """Runs a scenario until every node has stopped, or until the first violated invariant."""
    fleet = Fleet(plan or scenario.plan(), scenario.only, traced)
    try:
        fleet.run()
        fleet.stop_all()
    except InvariantError as error:
        return Outcome(f"{error.invariant}: {error.what}", str(error), fleet)
    except ContractError as error:
        return Outcome(f"contract: {error}", f"contract: {error}, at {fleet.world.now / 1e6:.6f} s", fleet)
    except NodeError as error:
        return Outcome(
            "fault: " + str(error).split("\n")[0].split(": ", 1)[1],
            f"{error}, at {fleet.world.now / 1e6:.6f} s",
            fleet,
        )
    return Outcome("", "", fleet)
