"""Simulated fleets: a seed determines the trace, invariants hold on a set of seeds, and a scenario's text
can be read back.
"""

import ast
import os
import subprocess
import sys
from pathlib import Path

import pytest

from cottonspread.lab.sim import generator, scenario

ROOT = Path(__file__).parent.parent.parent
SEEDS = (3, 85, 141, 336)
SCRIPT = """
import sys
from cottonspread.lab.sim import generator, scenario
print([scenario.run(generator.generate(int(seed))).fleet.world.trace_digest() for seed in sys.argv[1:]])
"""


def test_one_seed_gives_one_trace_in_any_process():
    """The order of sets and hashes must not matter."""
    outputs = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT, *map(str, SEEDS)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)},
        ).stdout
        for seed in ("1", "77")
    }
    assert len(outputs) == 1 and len(set(ast.literal_eval(outputs.pop()))) == len(SEEDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold(seed):
    assert scenario.run(generator.generate(seed)).details == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_a_scenario_is_read_back_as_it_was_written(seed):
    generated = generator.generate(seed)
    again = scenario.read(scenario.write(generated))
    assert scenario.write(again) == scenario.write(generated) and again.experiment() == generated.experiment()
