"""Mutation tests of the configuration store: one line is changed in a copy, and the tests must fail.

    python benchmarks/configstore/mutants.py [RESULT.json]

Two run at a time; the exit code is 0 if each mutant was detected.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PARALLEL, TIMEOUT_S = 2, 300
REPLICA, FOLLOWER, PUBLISHER, PLAYS = (
    f"tests/configstore/test_{name}.py"
    for name in ("replica", "follower", "publisher", "configuration_plays")
)

MUTANTS = [  # description, file in configstore, original text, replacement, tests
    ("compare-and-set of a proposal", "register.py", "if highest != base:", "if False:", REPLICA),
    (
        "a generation goes back",
        "register.py",
        "if record.generation <= highest.generation:",
        "if False:",
        REPLICA,
    ),
    (
        "a version or stage goes back at a proposal",
        "register.py",
        "if (record.version, record.stage) < (highest.version, highest.stage):",
        "if False:",
        REPLICA,
    ),
    (
        "a committed version goes back",
        "register.py",
        "if (record.version, record.stage) < (committed.version, committed.stage):",
        "if False:",
        REPLICA,
    ),
    (
        "a commit of the same generation with another record",
        "register.py",
        "if record.checksum != committed.checksum:",
        "if False:",
        REPLICA,
    ),
    (
        "a later proposal is kept at a commit",
        "register.py",
        "if generation_of(state.accepted) > record.generation:",
        "if False:",
        REPLICA,
    ),
    (
        "a missed good version is caught up beside a canary",
        "register.py",
        "return msgspec.structs.replace(state, good=good)",
        "return state",
        REPLICA,
    ),
    (
        "stored before acknowledged",
        "replica.py",
        "            self._effects.append(Store(self._token, state))",
        "            self._effects.append(Store(self._token, state))\n            self._acknowledge(write)",
        REPLICA,
    ),
    (
        "served only once stored",
        "replica.py",
        "            self._storing = write, state\n",
        "            self._storing = write, state\n            self.state = state\n",
        REPLICA,
    ),
    (
        "a failed store",
        "replica.py",
        "        if event.ok:\n            self.state",
        "        if True:\n            self.state",
        REPLICA,
    ),
    (
        "one store at a time",
        "replica.py",
        "while self._storing is None and self._writes:",
        "while self._writes:",
        REPLICA,
    ),
    (
        "only canaries receive a canary version",
        "replica.py",
        "if committed is not None and committed.applies_to(node):",
        "if committed is not None:",
        REPLICA,
    ),
    (
        "the bound on watches",
        "replica.py",
        "elif len(self._watches) >= MAX_WATCHES:",
        "elif False:",
        REPLICA,
    ),
    ("the bound on reports", "reports.py", "len(self._reports) >= MAX_NODES", "False", REPLICA),
    ("old reports", "reports.py", "if now - received_at <= REPORT_RETENTION:", "if True:", REPLICA),
    (
        "the heap of pending requests",
        "pending.py",
        "if len(self._heap) > 2 * len(self._requests) + HEAP_SLACK:",
        "if False:",
        REPLICA,
    ),
    ("quorum age of one", "peers.py", "needed = (len(self._peers) + 1) // 2", "needed = 0", REPLICA),
    (
        "a pause between calls of a peer",
        "peers.py",
        "peer.next_call_at = now + PEER_CALL_DELAY",
        "peer.next_call_at = now",
        REPLICA,
    ),
    ("a damaged body", "messages.py", "return self.digest == digest_of(self.body) and", "return", FOLLOWER),
    (
        "a damaged number",
        "messages.py",
        "self.digest == digest_of(self.body) and self.checksum == checksum_of(",
        "self.digest == digest_of(self.body) and checksum_of(",
        FOLLOWER,
    ),
    ("same version, other digest", "follower.py", "known.digest != record.digest:", "False:", FOLLOWER),
    (
        "a stage that is not for this node",
        "follower.py",
        "if not record.applies_to(self.node):",
        "if False:",
        FOLLOWER,
    ),
    ("an older answer", "follower.py", "if record.generation <= since:", "if False:", FOLLOWER),
    (
        "the minimum version after a restart",
        "follower.py",
        "or record.version < self._min_version:",
        "or False:",
        FOLLOWER,
    ),
    (
        "saved before applied",
        "follower.py",
        "self._phase = _Phase.SAVING\n                self._effects.append(Save(self._current))",
        "self._apply()",
        FOLLOWER,
    ),
    (
        "the old file after a failed apply",
        "follower.py",
        "                self._effects.append(Save(self._in_force))",
        "                self._finish_current()",
        FOLLOWER,
    ),
    ("a damaged saved record", "follower.py", "if not event.saved.is_valid():", "if False:", FOLLOWER),
    (
        "asked again after a refusal",
        "follower.py",
        "        self._recheck_at = now + RECHECK_DELAY",
        "        self._recheck_at = None",
        FOLLOWER,
    ),
    (
        "a watch waits for the record's result",
        "follower.py",
        "return self._current is not None and now < self._hold_until",
        "return False",
        FOLLOWER,
    ),
    (
        "that wait is bounded",
        "follower.py",
        "return self._current is not None and now < self._hold_until",
        "return self._current is not None",
        FOLLOWER,
    ),
    (
        "contact without a majority",
        "follower.py",
        "if age is not None and (",
        "age = age or 0\n        if (",
        FOLLOWER,
    ),
    ("two watches", "watches.py", "WATCH_COUNT = 2\n", "WATCH_COUNT = 1\n", FOLLOWER),
    (
        "the bound on retry delays",
        "watches.py",
        "min(RETRY_DELAY << min(watch.failures, 16), MAX_RETRY_DELAY)",
        "RETRY_DELAY << min(watch.failures, 16)",
        FOLLOWER,
    ),
    ("failover to the spare", "watches.py", "        self._fail_over(watch)\n", "", FOLLOWER),
    (
        "a short first watch",
        "watches.py",
        "self._timeout() if watch.has_replied else PROBE_TIMEOUT",
        "self._timeout()",
        FOLLOWER,
    ),
    (
        "the minimum interval between calls",
        "watches.py",
        "max(now, watch.called_at + MIN_CALL_INTERVAL)",
        "now",
        FOLLOWER,
    ),
    (
        "a majority of acceptances",
        "publisher.py",
        "if len(self._acknowledged) >= self._majority:\n            self._begin_committing(now)",
        "if True:\n            self._begin_committing(now)",
        PUBLISHER,
    ),
    (
        "a majority of states",
        "publisher.py",
        "if len(self._states) >= self._majority:",
        "if True:",
        PUBLISHER,
    ),
    (
        "a majority of commits",
        "publisher.py",
        "        if len(self._acknowledged) >= self._majority:\n            self._committed(now)",
        "        if True:\n            self._committed(now)",
        PUBLISHER,
    ),
    (
        "a new version number",
        "publisher.py",
        "version = highest.version + 1",
        "version = highest.version",
        PUBLISHER,
    ),
    (
        "a proposal newer than a late state",
        "publisher.py",
        "return known.version < record.version",
        "return False",
        PUBLISHER,
    ),
    (
        "another publisher's canaries",
        "publisher.py",
        "        if _is_at_canaries(majority_state):\n            self._finish(",
        "        if False:\n            self._finish(",
        PUBLISHER,
    ),
    (
        "superseded at canaries",
        "publisher.py",
        "if reply.committed_generation > self._record.generation:",
        "if False:",
        PUBLISHER,
    ),
    (
        "the later of two disputed stages",
        "majority.py",
        "(position.generation, position.version, position.stage)",
        "(position.generation, position.version)",
        PUBLISHER,
    ),
    ("no quorum times out", "publisher.py", "elif now >= self._deadline:", "elif False:", PUBLISHER),
    (
        "one refusal withdraws",
        "canaries.py",
        "if self._version in (report.refused, report.failing):",
        "if False:",
        PUBLISHER,
    ),
    (
        "an unhealthy canary",
        "canaries.py",
        "in (report.refused, report.failing):",
        "== report.refused:",
        PUBLISHER,
    ),
    ("enough canaries", "canaries.py", "len(self.in_force) >= self._required:", "self.in_force:", PUBLISHER),
    ("the settle time", "canaries.py", "now >= self._reached_at + SETTLE_TIME:", "True:", PUBLISHER),
    (
        "silent canaries time out",
        "canaries.py",
        "if self._reached_at is None and now >= self._since + CANARY_TIMEOUT:",
        "if False:",
        PUBLISHER,
    ),
    (
        "absent nodes as canaries",
        "majority.py",
        "(received.watching or received.age_us <= REPORT_MAX_AGE) and",
        "",
        PUBLISHER,
    ),
    (
        "two canaries at least",
        "majority.py",
        "max(MIN_CANARIES, -(-len(nodes) * CANARIES_PERCENT // 100))",
        "-(-len(nodes) * CANARIES_PERCENT // 100)",
        PUBLISHER,
    ),
    (
        "a call again after a failure",
        "calls.py",
        "planned.call, planned.failures = None, planned.failures + 1",
        "planned.failures += 1",
        PUBLISHER,
    ),
    (
        "play: all rules of a proposal",
        "register.py",
        "    if highest != base:\n"
        '        raise RefusedError(f"generation {highest.generation} came first")\n'
        "    _check_follows(highest, record)\n"
        "    if state.accepted and record.version == highest.version"
        " and record.digest != state.accepted.digest:\n"
        '        raise RefusedError("same version, other digest")\n',
        "",
        PLAYS,
    ),
    (
        "play: stored before acknowledged",
        "replica.py",
        "            self._effects.append(Store(self._token, state))",
        "            self._effects.append(Store(self._token, state))\n            self._acknowledge(write)",
        PLAYS,
    ),
    (
        "play: a majority of acceptances",
        "publisher.py",
        "if len(self._acknowledged) >= self._majority:\n            self._begin_committing(now)",
        "if True:\n            self._begin_committing(now)",
        PLAYS,
    ),
    (
        "play: stage of a node",
        "replica.py",
        "if committed is not None and committed.applies_to(node):",
        "if committed is not None:",
        PLAYS,
    ),
    (
        "play: cut off",
        "follower.py",
        "CUT_OFF_AFTER = 20 * m.SECOND",
        "CUT_OFF_AFTER = 200 * m.SECOND",
        PLAYS,
    ),
    (
        "play: replicas catch up",
        "replica.py",
        "            self._queue_write(now, _Write(None, reply))",
        "            pass",
        PLAYS,
    ),
    (
        "play: watches answered at the commit",
        "replica.py",
        "            self._reply_to_waiting(now)",
        "            pass",
        PLAYS,
    ),
]


def run_mutant(mutant):
    """Runs the tests with one mutant; returns whether they failed."""
    what, file, text, replacement, tests = mutant
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        for part in ("cottonspread", "tests"):
            shutil.copytree(ROOT / part, copy / part, ignore=shutil.ignore_patterns("__pycache__"))
        shutil.copy(ROOT / "pyproject.toml", copy / "pyproject.toml")
        path = copy / "cottonspread" / "configstore" / file
        source = path.read_text()
        if source.count(text) != 1:
            why = f"its text occurs {source.count(text)} times"
            return {"mutant": what, "file": file, "noticed": False, "why": why}
        path.write_text(source.replace(text, replacement))
        command = [sys.executable, "-m", "pytest", "-n", "0", "-q", "-x", "-p", "no:cacheprovider", tests]
        command += ["-k", "not command"]  # that test needs the checkout's commit, and the copy has none
        try:
            done = subprocess.run(command, cwd=copy, capture_output=True, text=True, timeout=TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return {"mutant": what, "file": file, "noticed": True, "why": f"hung for {TIMEOUT_S} s"}
        lines = [line for line in done.stdout.splitlines() if line.startswith("FAILED")]
        why = lines[0].split("::")[-1][:120] if lines else done.stdout.strip()[-120:]
        return {"mutant": what, "file": file, "noticed": done.returncode == 1 and bool(lines), "why": why}


def main(arguments):
    """Runs all mutants, or those whose name contains one of the words after the result's path."""
    words = arguments[1:]
    selected = [one for one in MUTANTS if not words or any(word in one[0] for word in words)]
    results = []
    with ThreadPoolExecutor(PARALLEL) as pool:
        for one in pool.map(run_mutant, selected):
            results.append(one)
            verdict = "noticed" if one["noticed"] else "NOT NOTICED"
            print(f"{verdict}: {one['mutant']} ({one['file']}): {one['why']}", flush=True)
    if arguments:
        Path(arguments[0]).write_text(json.dumps(results, indent=1) + "\n")
    return 0 if all(one["noticed"] for one in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
