"""The register of one replica: the accepted and the committed record, and the rules for new writes.

If two proposals were each accepted by a majority, at least one replica accepted both, one after the other.
A replica accepts only a higher generation, never a lower version or stage, and never a second digest for a
version. Hence committed records have one record per generation, one digest per version, and versions that
never decrease.

A proposal is also a compare-and-set: its publisher names the highest position that this replica reported,
and the proposal is accepted only if that position is unchanged. So no publisher overwrites a state that it
has not read.
"""

import msgspec

from cottonspread.configstore.messages import EMPTY_POSITION, Position, Record, ReplicaState, Stage


class RefusedError(Exception):
    """The write was refused; the message gives the reason."""


def accepted_position(state: ReplicaState) -> Position:
    """Returns the highest position ever accepted."""
    return state.accepted.position if state.accepted else EMPTY_POSITION


def generation_of(record: Record | None) -> int:
    """Returns the record's generation; 0 for None."""
    return record.generation if record else 0


def accept(state: ReplicaState, base: Position, record: Record) -> ReplicaState:
    """Returns the state with this proposal accepted; the same object if it already was.

    Raises RefusedError.
    """
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
    """Returns the state with this record committed, which a majority accepted.

    Returns the same object if this record or a newer one is already committed. Raises RefusedError.
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
    """A commit replaces an accepted proposal of the same or a lower generation, which has lost."""
    if generation_of(state.accepted) > record.generation:
        return state.accepted
    return record


def catch_up(state: ReplicaState, committed: Record | None, good: Record | None) -> ReplicaState:
    """Returns the state after taking over what another replica has committed. Raises RefusedError."""
    if committed is not None:
        state = commit(state, committed)
    if good is None or good.generation <= generation_of(state.good):
        return state
    if not good.is_valid() or good.stage != Stage.EVERYWHERE:
        raise RefusedError("damaged record")
    if good.generation > generation_of(state.committed):
        return commit(state, good)
    return msgspec.structs.replace(state, good=good)
