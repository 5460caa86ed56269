"""The register of one replica: what it accepted, what is committed, and which writes it takes.

Of two proposals that a majority accepted each, some replica accepted both, one after the other, and it
takes only a higher generation, no lower version or stage, and no other digest for a version. Hence what is
committed has one record for each generation, one digest for each version, and versions that never go back.

Besides, a proposal is a compare-and-set: its publisher names the highest position that this replica had
when it was asked, and it is taken only if that is still so. So no publisher replaces what it has not seen.
"""

import msgspec

from cottonspread.configstore.messages import EMPTY_POSITION, Position, Record, ReplicaState, Stage


class RefusedError(Exception):
    """The write is not taken; the message says why."""


def accepted_position(state: ReplicaState) -> Position:
    """The highest position ever accepted."""
    return state.accepted.position if state.accepted else EMPTY_POSITION


def generation_of(record: Record | None) -> int:
    """0 for none."""
    return record.generation if record else 0


def accept(state: ReplicaState, base: Position, record: Record) -> ReplicaState:
    """The state with this proposal accepted; the same state where it already is. RefusedError."""
    if not record.is_valid():
        raise RefusedError("damaged record")
    highest = accepted_position(state)
    if highest == record.position:
        return state
    if highest != base:
        raise RefusedError(f"generation {highest.generation} came first")
    _check_follows(highest, record)
    if state.accepted and record.version == highest.version and record.digest != state.accepted.digest:
        raise RefusedError("same version, other digest")
    return msgspec.structs.replace(state, accepted=record)


def _check_follows(highest: Position, record: Record) -> None:
    if record.generation <= highest.generation:
        raise RefusedError("generation goes back")
    if (record.version, record.stage) < (highest.version, highest.stage):
        raise RefusedError("version or stage goes back")


def commit(state: ReplicaState, record: Record) -> ReplicaState:
    """The state with this record, which a majority accepted, committed; the same state where it, or a newer
    one, already is. RefusedError.
    """
    if not record.is_valid():
        raise RefusedError("damaged record")
    committed = state.committed
    if record.generation < generation_of(committed):
        return state
    if committed is not None:
        if record.generation == committed.generation:
            if record.checksum != committed.checksum:
                raise RefusedError("same generation, other record")
            return state
        if (record.version, record.stage) < (committed.version, committed.stage):
            raise RefusedError("version or stage goes back")
        if record.version == committed.version and record.digest != committed.digest:
            raise RefusedError("same version, other digest")
    return ReplicaState(
        accepted=_accepted_after(state, record),
        committed=record,
        good=record if record.stage == Stage.EVERYWHERE else state.good,
    )


def _accepted_after(state: ReplicaState, record: Record) -> Record:
    """What is committed replaces an accepted proposal of no higher generation, which has lost."""
    if generation_of(state.accepted) > record.generation:
        return state.accepted
    return record


def catch_up(state: ReplicaState, committed: Record | None, good: Record | None) -> ReplicaState:
    """The state after another replica told what is committed there. RefusedError."""
    if committed is not None:
        state = commit(state, committed)
    if good is None or good.generation <= generation_of(state.good):
        return state
    if not good.is_valid() or good.stage != Stage.EVERYWHERE:
        raise RefusedError("damaged record")
    if good.generation > generation_of(state.committed):
        return commit(state, good)
    return msgspec.structs.replace(state, good=good)
