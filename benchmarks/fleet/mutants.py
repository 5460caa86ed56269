"""Mutation tests of the fleet's core and addresses: one line is changed in a copy, and the tests must fail.

    python benchmarks/fleet/mutants.py [RESULT.json [WORD ...]]

The exit code is 0 if each mutant was noticed.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import mutation  # noqa: E402

PARALLEL, TIMEOUT_S = 4, 300
CORE = ["tests/fleet/test_core.py"]

MUTANTS = [
    mutation.Mutant(
        "addresses of a plan that waits behind a rollout are closed",
        "fleet/addresses.py",
        "plans.append(core.pending[0])",
        "pass",
        CORE,
    ),
    mutation.Mutant(
        "addresses to which a rollout may be rolled back are closed",
        "fleet/addresses.py",
        "plans += [core.rollout.plan, core.rollout.previous_plan]",
        "pass",
        CORE,
    ),
    mutation.Mutant(
        "an address is closed while its last process leaves",
        "fleet/addresses.py",
        "in_use |= {process.spec.address for process in core.processes()}",
        "pass",
        CORE,
    ),
    mutation.Mutant(
        "unused addresses stay open",
        "fleet/addresses.py",
        "if address not in owned:",
        "if False:",
        CORE,
    ),
    mutation.Mutant(
        "an active process counts for its name's new address",
        "fleet/addresses.py",
        "attended.add(slot.active.spec.address)",
        "attended.add(slot.spec.address)",
        CORE,
    ),
    mutation.Mutant(
        "a successor accepts beside the supervisor's BUSY",
        "fleet/core.py",
        "self.effects += self.addresses.stop_answering(new.spec.address)",
        "pass",
        CORE,
    ),
    mutation.Mutant(
        "clients wait for an instance that still serves elsewhere",
        "fleet/core.py",
        "if slot.active or self.stopping or slot.drained",
        "if self.stopping or slot.drained",
        CORE,
    ),
    mutation.Mutant(
        "the queue of an old address is left to a successor at another one",
        "fleet/core.py",
        "same_address = old.spec.address == new.spec.address",
        "same_address = True",
        CORE,
    ),
    mutation.Mutant(
        "addresses of adopted processes are not known",
        "fleet/core.py",
        "self.addresses.add([spec.address])",
        "pass",
        CORE,
    ),
    mutation.Mutant(
        "a plan that waits begins before its turn",
        "fleet/core.py",
        "        if self.rollout:\n            self.drop_pending",
        "        if False:\n            self.drop_pending",
        CORE,
    ),
]

if __name__ == "__main__":
    sys.exit(mutation.run(MUTANTS, sys.argv[1:], PARALLEL, TIMEOUT_S))
