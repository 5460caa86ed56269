"""Retries: what a call may still do, as far as the effect of its earlier legs goes."""

from cottonspread.interface import Effect, Ending

NEVER_RAN = {Ending.FULL, Ending.CONNECT_FAILED, Ending.NOT_SENT}


def may_have_run(call):
    """The legs of which nobody knows that they had no effect."""
    return [leg for leg in call.legs if leg.ending not in NEVER_RAN]


def may_retry(call, now):
    """Whether any new leg is allowed, as far as the effect of the earlier ones goes."""
    ran = may_have_run(call)
    if sum(leg.ending is Ending.ERROR for leg in ran) > 1:
        return False  # no server takes it: the fault is the call's, perhaps ill will
    if not ran or call.type.effect is not Effect.REFERENCED:
        return not ran or call.type.effect is Effect.REPEATABLE
    return now < deduplicated_until(call)


def deduplicated_until(call):
    """How long a repeat is known as one, from when the first leg that may have run was decided on; 0: no
    matter. A leg decided on in time may come up late, so the front keeps to it as well."""
    ran = may_have_run(call)
    return ran[0].sent_at + call.type.deduplicated_for if ran and call.type.effect is Effect.REFERENCED else 0


def may_retry_at(call, host):
    """A referenced call that may have run stays where its repeats are known."""
    ran = may_have_run(call)
    if call.type.effect is not Effect.REFERENCED or not ran:
        return True
    first, scope = ran[0].host.entry, call.type.deduplicated_by
    if scope == "zone":
        return host.entry.zone == first.zone
    return scope == "all" or host.entry.cell == first.cell


def may_reject(call):
    """A reject says that trying again is harmless."""
    effect = call.type.effect
    known_by_all = effect is Effect.REFERENCED and call.type.deduplicated_by == "all"
    return effect is Effect.REPEATABLE or known_by_all or not may_have_run(call)
