"""Which listening addresses of a fleet stay open, and where the supervisor answers in place of an instance.

Both follow from the state of the instances at every step, not from what was begun earlier: rollouts overlap,
are rolled back and move instances to addresses that other instances still use.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class AnswerBusy:
    """Start or stop answering BUSY at an address in the supervisor itself."""

    address: tuple
    enabled: bool


@dataclass(frozen=True)
class CloseListener:
    """Answer the clients that wait at an address and close its listening socket."""

    address: tuple


def addresses_of(plan):
    """Returns the addresses of a plan's instances."""
    return {spec.address for spec in plan.specs.values()}


class Addresses:
    """The open addresses of a fleet."""

    def __init__(self, plan):
        """`plan`: the first plan, whose listening sockets are open."""
        self.busy = dict.fromkeys(addresses_of(plan), False)  # open address: whether the supervisor answers

    def add(self, addresses):
        """Takes over addresses whose listening sockets have been opened."""
        for address in addresses:
            self.busy.setdefault(address, False)

    def reconcile(self, core):
        """Returns the effects by which the addresses follow the state of `core`, a `core.Core`."""
        owned, attended = self.owned(core), self.attended(core)
        effects = []
        for address, busy in list(self.busy.items()):
            if address not in owned:
                del self.busy[address]
                effects.append(CloseListener(address))
            elif busy == (address in attended):
                self.busy[address] = not busy
                effects.append(AnswerBusy(address, not busy))
        return effects

    def stop_answering(self, address):
        """Returns the effects by which the supervisor stops answering at an address, if it does."""
        was_busy, self.busy[address] = self.busy[address], False
        return [AnswerBusy(address, False)] if was_busy else []

    @staticmethod
    def owned(core):
        """Returns the addresses that an instance uses, or will use under a plan that may come in force."""
        plans = [core.plan]
        if core.rollout:
            plans += [core.rollout.plan, core.rollout.previous_plan]
        if core.pending:
            plans.append(core.pending[0])
        in_use = {slot.spec.address for slot in core.slots.values()}
        in_use |= {process.spec.address for process in core.processes()}
        return in_use.union(*map(addresses_of, plans))

    @staticmethod
    def attended(core):
        """Returns the addresses where an instance accepts connections, or is about to.

        There the supervisor does not answer: clients wait in the listener's queue for a moment at most.
        """
        attended = set()
        for slot in core.slots.values():
            if slot.active:
                attended.add(slot.active.spec.address)
            if slot.successor and slot.successor.accept_sent_at:
                attended.add(slot.successor.spec.address)
            if core.is_awaited(slot):
                attended.add(slot.spec.address)
        return attended
