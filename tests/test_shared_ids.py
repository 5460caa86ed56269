"""The file in which two processes of a node share the ids of calls."""

import os

import pytest

from cottonspread.net.call_ids import CallIds
from cottonspread.net.shared_ids import SharedIds, SharedIdsError

LIMITS = 100, 10_000  # ids, bytes of the file


@pytest.fixture
def pair(tmp_path):
    path = str(tmp_path / "node.ids")
    successor = SharedIds.create(path, *LIMITS)
    return successor, SharedIds.join(path, *LIMITS)


def test_each_id_goes_to_the_process_that_claims_it_first(pair):
    successor, predecessor = pair
    predecessor.add(["open", "ended"])
    assert not successor.claim("open") and not successor.claim("ended") and not predecessor.claim("open")
    assert successor.claim("a") and not predecessor.claim("a") and not successor.claim("a")
    assert predecessor.claim("b") and not successor.claim("b")
    assert set(successor.all()) == {"open", "ended", "a", "b"}


def test_a_record_of_the_other_that_came_first_decides_although_it_is_read_later(pair):
    """Each appends before it reads, so that of two claims at the same time one is lost."""
    successor, predecessor = pair
    theirs, ours = predecessor.append(["x"]), successor.append(["x"])
    for one in pair:
        one.read()
        assert one.first[b"x"] == theirs != ours


def test_a_record_that_was_written_in_part_spoils_no_other(pair):
    successor, predecessor = pair
    os.write(predecessor.fd, b"\nhalf-a-rec")
    assert successor.claim("half") and successor.claim("whole") and not predecessor.claim("whole")


def test_each_learns_that_the_other_has_ended(pair, tmp_path):
    successor, predecessor = pair
    assert not successor.peer_has_ended() and not predecessor.peer_has_ended()
    predecessor.claim("late")
    predecessor.close()
    assert successor.peer_has_ended()
    successor.read()
    assert successor.all() == ["late"]
    successor.close()
    assert not os.listdir(tmp_path), "the successor removes the file"


def test_a_file_that_an_earlier_process_left_is_not_joined_and_is_replaced(pair, tmp_path):
    successor, predecessor = pair
    path = successor.path
    successor.claim("old")
    os.close(successor.fd)  # as a killed process
    assert predecessor.peer_has_ended()
    predecessor.close()
    with pytest.raises(SharedIdsError):
        SharedIds.join(path, *LIMITS)
    assert SharedIds.create(path, *LIMITS).claim("old")


def test_a_file_that_has_grown_too_long_is_an_error_and_what_is_kept_is_bounded(pair):
    successor, predecessor = pair
    assert all(successor.claim(f"id-{n}") for n in range(200))
    assert len(successor.all()) == 100 and not successor.claim("id-199")
    predecessor.add([f"before-{n}" for n in range(1_000)])
    assert not successor.claim("before-999") and successor.claim("before-0"), "the last ones are added"
    with pytest.raises(SharedIdsError):
        for n in range(1_000):
            successor.claim(f"later-{n}")
    assert os.stat(successor.path).st_size <= 10_000


def test_ended_ids_are_bounded_and_the_latest_are_kept():
    ids, conn = CallIds(3), object()
    ids.begin("open", conn)
    ids.remember(["open", "a", "b", "c", "d"])
    assert not ids.is_taken("a") and all(map(ids.is_taken, ("open", "b", "c", "d")))
    ids.end("open", object())
    assert "open" in ids.open, "another connection's"
    ids.end("open", conn)
    assert ids.all() == ("c", "d", "open")
