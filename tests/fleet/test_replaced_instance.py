"""Guards against an id that runs twice at a fleet: at an instance, and again at the one that replaces it."""

import pytest


@pytest.mark.parametrize("restarts", (1, 2))
def test_an_id_that_ended_at_an_instance_does_not_run_at_its_successor(make_fleet, restarts):
    fleet = make_fleet(1)
    fleet.run()
    fleet.wait_ready()
    calls = [b"OPEN id-%d k c=chat,d=2000" % n for n in range(6)]
    assert all(fleet.first_answer(0, call).startswith(b"UP ") for call in calls)
    for _ in range(restarts):
        before = fleet.wait_ready()
        assert fleet.command("restart", "f-0").returncode == 0
        fleet.until(
            lambda before=before: (
                fleet.rows()["f-0"]["state"] == "serving" and fleet.rows()["f-0"]["pid"] != before["f-0"]
            ),
            "restarted",
        )
    assert fleet.first_answer(0, b"OPEN another k c=chat,d=2000").startswith(b"UP ")
    assert [fleet.first_answer(0, call) for call in calls] == [b"ERR"] * 6
