"""Retries: what a call may still do, given the possible effects of its earlier legs."""

from cottonspread.interface import Effect, Ending

NEVER_RAN = {Ending.FULL, Ending.CONNECT_FAILED, Ending.NOT_SENT}


def may_have_run(call):
    """The legs that are not known to have had no effect."""
    return [leg for leg in call.legs if leg.ending not in NEVER_RAN]


def may_retry(call, now):
    """Whether a new leg is allowed, given the possible effects of the earlier ones."""
    ran = may_have_run(call)
    if sum(leg.ending is Ending.ERROR for leg in ran) > 1:
        return False  # two servers failed on it: the call itself is at fault, perhaps malicious
    if not ran or call.type.effect is not Effect.REFERENCED:
        return not ran or call.type.effect is Effect.REPEATABLE
    return now < deduplicated_until(call)


def deduplicated_until(call):
    """Until when a repeat is recognised as one, counted from the first leg that may have run; 0: no limit.

    The connection of a leg chosen in time may come up late, so the front end checks this time as well.
    """
    ran = may_have_run(call)
    return ran[0].sent_at + call.type.deduplicated_for if ran and call.type.effect is Effect.REFERENCED else 0


def may_retry_at(call, host):
    """Whether a leg may go there: a referenced call that may have run stays where its repeats are known.

    That is the zone or cell of its first server when the leg was sent there. The server may since have left
    the list, or have come back in another one. Servers whose zone or cell is not known share none.
    """
    ran, scope = may_have_run(call), call.type.deduplicated_by
    if call.type.effect is not Effect.REFERENCED or not ran or scope == "all":
        return True
    first = ran[0]
    if scope == "zone":
        return first.zone is not None and host.entry.zone == first.zone
    return first.cell is not None and host.entry.cell == first.cell


def may_reject(call):
    """Whether the call may be rejected: a rejection tells the client that a retry is harmless."""
    effect = call.type.effect
    known_by_all = effect is Effect.REFERENCED and call.type.deduplicated_by == "all"
    return effect is Effect.REPEATABLE or known_by_all or not may_have_run(call)
