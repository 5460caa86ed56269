"""The simulator's adapter: framing, invalid input, and nodes that share nothing."""

import io as stdio
import json

from cottonspread.drill.batches import serve

CONFIG = {
    "Me": 0,
    "Balancers": 2,
    "Later": {"key": 1},
    "Limits": {"MostLegs": 2, "RetryAfter": None},
    "TrafficTypes": [{"Effect": "safe", "SetupTarget": 300, "GuardTime": 1200}],
}
BEGIN = [
    "instance\tNode=3",
    "begin\tRngSeed=5\tConfig=" + json.dumps(CONFIG),
    "view\tScope=restored\tIndex=1\tMembers=1",
    "item\tHost=10.0.0.1:7000\tAvailability=up",
]
CALL = "work_item\tCall=11\tService=0\tExpiresIn=1200.0\tPathKey=0a\tOptions=0\tNovel=x"


def batch(serial, *lines):
    return [f"clock\tNow={1000.5 + serial}\tserial={serial}", *lines, "go"]


def run_batches(*lines):
    errors, sink = [], stdio.StringIO()
    code = serve(stdio.StringIO("\n".join(lines) + "\n"), sink, errors.append)
    return code, sink.getvalue().splitlines(), errors


def test_a_call_is_routed_and_unknown_messages_are_skipped():
    code, out, errors = run_batches(*batch(1, *BEGIN, CALL, "novelty\tX=1"))
    assert code == 0 and errors == []
    assert out == ["by\tNode=3", "route\tCall=11\tUntil=1301.500\tHost=10.0.0.1:7000", "end\tserial=1"]


def test_a_load_report_with_invalid_values_still_answers_the_probe():
    """One invalid value made the whole line be dropped, and the call that waited for the probe hung."""
    settings = CONFIG | {
        "Balancers": 9,
        "Limits": {"MostLegs": 2, "Probes": True},
        "LoadReport": {"How": "probe", "Names": ["x0"]},
    }
    begin = [BEGIN[0], "begin\tRngSeed=5\tConfig=" + json.dumps(settings), *BEGIN[2:]]
    for feedback in ("x0:nan,x1:-3,what:ever", "x0:inf", "x0", ":", "x0:0.2,x7:1e300", "x0:much"):
        pong = f"pong\tHost=10.0.0.1:7000\tDisposition=0\tFeedback={feedback}"
        code, out, errors = run_batches(
            *batch(1, *begin, CALL), *[line for n in (2, 3, 4) for line in batch(n, BEGIN[0], pong)]
        )
        assert code == 0 and errors == [] and out[1] == "sample\tHost=10.0.0.1:7000"
        assert any(line.startswith("route\tCall=11") for line in out), feedback


def test_an_invalid_line_is_reported_and_the_batch_still_answered():
    code, out, errors = run_batches(
        *batch(1, *BEGIN),
        *batch(
            2,
            "instance\tNode=3",
            "work_item\tCall=x1\tService=0",
            "work_item\tCall=4\tService=9\tExpiresIn=1",
            CALL,
        ),
    )
    assert code == 0 and out[-1] == "end\tserial=2" and any(line.startswith("route\tCall=11") for line in out)
    assert [line.partition(":")[0] for line in errors] == ["batch 2 line 2", "batch 2 line 3"]


def test_invalid_framing_ends_with_one_message_and_an_exit_code():
    for lines in (
        ["instance\tNode=1"],
        ["clock\tNow=1\tserial=1"],
        ["clock\tNow=soon\tserial=1", "go"],
        batch(1)[:1] + batch(2),
    ):
        code, _, errors = run_batches(*lines)
        assert code != 0 and len(errors) == 1
    assert run_batches(*batch(1))[:2] == (0, ["end\tserial=1"])


def test_invalid_settings_are_rejected_with_a_message():
    for change in (
        {"TrafficTypes": []},
        {"Step": -1},
        {"Balancers": 0},
        {"TrafficTypes": [{"Effect": "odd"}]},
    ):
        begin = "begin\tRngSeed=5\tConfig=" + json.dumps(CONFIG | change)
        _, out, errors = run_batches(*batch(1, "instance\tNode=3", begin))
        assert out[1].startswith("exception\tMessage=settings") and errors


def test_a_killed_node_starts_clean_and_nodes_share_nothing():
    lines = (
        BEGIN
        + ["instance\tNode=4"]
        + BEGIN[1:]
        + [CALL, "instance\tNode=3", "killed"]
        + BEGIN[1:]
        + ["done\tCall=11\tDisposition=0\tTrial=0\tTerminal=1\tHost=10.0.0.1:7000"]
    )
    code, out, errors = run_batches(*batch(1, *lines))
    assert (code, errors) == (0, []) and out[0] == "by\tNode=4" and len(out) == 3
