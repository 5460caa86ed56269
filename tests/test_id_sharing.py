"""One node's side of sharing ids: files that cannot be joined, and processes that end one after the other."""

import pytest

from cottonspread.net import events as ev
from cottonspread.net.id_sharing import IdSharing
from cottonspread.net.shared_ids import SharedIds, SharedIdsError

LIMITS = 100, 10_000


def sharing():
    return IdSharing(50, 64, lambda event: None)


def test_a_file_without_room_is_left_so_that_it_can_be_joined_later(tmp_path):
    """Guards against a descriptor that keeps the predecessor's lock after a failed attempt to join."""
    path, one = str(tmp_path / "ids"), sharing()
    successor = SharedIds.create(path, *LIMITS)
    one.limits = 100, 0
    with pytest.raises(SharedIdsError, match="cannot grow"):
        one.open(path, ("a",))
    assert one.shared is None and successor.peer_has_ended()
    one.limits = LIMITS
    one.open(path, ("a",))
    assert not successor.claim("a") and successor.claim("b")


def test_a_late_notice_that_one_process_has_ended_does_not_end_sharing_with_the_next(tmp_path):
    paths, one = [str(tmp_path / name) for name in ("first", "second")], sharing()
    first = SharedIds.create(paths[0], *LIMITS)
    one.open(paths[0], ("a",))
    first.claim("b")
    first.close()
    one.check(predecessor_may_join=False)  # posts the notice
    second = SharedIds.create(paths[1], *LIMITS)
    one.open(paths[1], ())
    assert one.complete(ev.IdsLearned(())) == ev.IdsLearned(())
    assert one.shared is not None and not second.peer_has_ended()
    second.claim("c")
    second.close()
    one.check(predecessor_may_join=False)
    assert one.shared is not None, "it ends with the notice, in the reducer's thread"
    assert set(one.complete(ev.IdsLearned(())).ids) >= {"c"} and one.shared is None
