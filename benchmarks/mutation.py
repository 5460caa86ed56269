"""Mutation tests: one line of the program is changed in a copy of the tree, and given tests must fail then.

The lists of mutants stand in the folders of this one, each with the command that runs it.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[1]
LEFT_OUT = shutil.ignore_patterns(".git", ".venv", "journal", "review", "__pycache__")


class Mutant(NamedTuple):
    """A change of one place that tests must notice.

    `file`: below `cottonspread`, or a folder there, one file of which holds the text. `text`: stands there
    exactly once. `tests`: arguments of pytest.
    """

    name: str
    file: str
    text: str
    replacement: str
    tests: list


class Result(NamedTuple):
    """What became of a mutant: whether a test failed, and its summary or why the mutant was not run."""

    mutant: str
    file: str
    noticed: bool
    why: str


def find_file(package, mutant):
    """Returns the path of the file that holds the mutant's text."""
    path = package / mutant.file
    if not path.is_dir():
        return path
    files = sorted(path.glob("*.py"))
    return next((file for file in files if mutant.text in file.read_text()), files[0])


def run_mutant(mutant, timeout):
    """Runs the tests of one mutant, `timeout` seconds at most; returns its Result."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        shutil.copytree(ROOT, copy, ignore=LEFT_OUT)
        path = find_file(copy / "cottonspread", mutant)
        source = path.read_text()
        if source.count(mutant.text) != 1:
            why = f"its text occurs {source.count(mutant.text)} times"
            return Result(mutant.name, mutant.file, False, why)
        path.write_text(source.replace(mutant.text, mutant.replacement))
        command = [sys.executable, "-m", "pytest", "-q", "-x", "-n", "0", "-p", "no:cacheprovider"]
        try:
            done = subprocess.run(
                command + list(mutant.tests), cwd=copy, capture_output=True, text=True, timeout=timeout
            )
        except subprocess.TimeoutExpired:
            return Result(mutant.name, mutant.file, True, f"timed out after {timeout} s")
        summary = (done.stdout.strip() or done.stderr.strip() or "no output").splitlines()[-1]
        failed = done.returncode == 1 and "failed" in summary
        return Result(mutant.name, mutant.file, failed, summary)


def run(mutants, arguments, parallel, timeout):
    """Runs mutants, `parallel` at a time; returns the exit code: 0 if each was noticed.

    `arguments`: the path of the results' JSON, if any, and then words, one of which a mutant's name has to
    contain.
    """
    words = arguments[1:]
    selected = [one for one in mutants if not words or any(word in one.name for word in words)]
    results = []
    with ThreadPoolExecutor(parallel) as pool:
        for result in pool.map(lambda mutant: run_mutant(mutant, timeout), selected):
            results.append(result)
            verdict = "noticed" if result.noticed else "NOT NOTICED"
            print(f"{verdict}: {result.mutant} ({result.file}): {result.why}", flush=True)
    if arguments:
        rows = [result._asdict() for result in results]
        Path(arguments[0]).write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if all(result.noticed for result in results) else 1
