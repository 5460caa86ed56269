"""The contract between the reducer and the workers, checked on every effect and every event.

Its rules are the same for the simulated workers and the real ones.
"""

from cottonspread.net import events as ev


class ContractError(AssertionError):
    """The contract was broken; the message says by whom and how."""


class EndState:
    """The state of one connection end."""

    __slots__ = ("connecting", "reading", "writing", "ended", "freed", "shut_down")

    def __init__(self, connecting=False):
        """`connecting`: the connection is being established."""
        self.connecting, self.reading, self.writing, self.ended, self.freed, self.shut_down = (
            connecting,
            False,
            False,
            False,
            False,
            False,
        )


class Contract:
    """Follows the state of all connection ends of a process."""

    def __init__(self):
        """Starts without any connection ends."""
        self.ends, self.probes, self.transferring = {}, {}, None

    def require(self, holds, source, violation, item):
        """Raises ContractError if `holds` is false; `source`: who broke the contract."""
        if not holds:
            raise ContractError(f"{source}: {violation}: {type(item).__name__}")

    def known_end(self, source, end, item):
        """Returns the state of an end that must exist."""
        state = self.ends.get(end)
        self.require(state is not None, source, "an unknown end", item)
        self.require(not state.freed, source, "an end that was freed", item)
        return state

    def on_effect(self, effect):
        """Checks an effect of the reducer before it is executed."""
        source = "reducer"
        match effect:
            case ev.Connect(end=end):
                self.require(
                    end not in self.ends and not end.is_client,
                    source,
                    "an end connected twice, or a client's",
                    effect,
                )
                self.ends[end] = EndState(True)
            case ev.Read(end=end) | ev.DiscardInput(end=end):
                state = self.known_end(source, end, effect)
                self.require(
                    not state.reading and not state.connecting,
                    source,
                    "two reads at a time, or one before the connection is up",
                    effect,
                )
                state.reading = True
            case ev.Write(end=end, data=data):
                state = self.known_end(source, end, effect)
                self.require(
                    data and not state.writing and not state.connecting,
                    source,
                    "two writes at a time, or one before the connection is up",
                    effect,
                )
                self.require(not state.shut_down, source, "a write after the end of sending", effect)
                state.writing = True
            case ev.ShutdownWrite(end=end) | ev.Shutdown(end=end):
                self.known_end(source, end, effect).shut_down = True
            case ev.Free(end=end):
                state = self.known_end(source, end, effect)
                self.require(
                    not state.reading and not state.writing and not state.connecting,
                    source,
                    "an end freed while in use",
                    effect,
                )
                state.freed = True
                del self.ends[end]
            case ev.Probe(host=host):
                self.probes[host] = self.probes.get(host, 0) + 1
            case ev.Transfer(client=client, host=host):
                self.require(self.transferring is None, source, "two transfers at a time", effect)
                for state in (self.known_end(source, client, effect), self.known_end(source, host, effect)):
                    self.require(
                        not state.writing and not state.shut_down,
                        source,
                        "an end transferred while in use",
                        effect,
                    )
                self.transferring = client, host

    def on_client_accepted(self, source, event):
        """Checks the event of a new client connection."""
        is_new = event.end not in self.ends and event.end.is_client
        self.require(is_new, source, "an end created twice, or a host's", event)
        self.ends[event.end] = EndState()

    def on_transfer_done(self, source, event):
        """Checks the event that ends a transfer."""
        requested = self.transferring is not None and self.transferring[0].conn is event.conn
        self.require(requested, source, "a transfer that was not requested", event)
        for end in self.transferring if event.accepted else ():
            state = self.ends[end]
            idle = state.reading and not state.writing and not state.ended
            self.require(idle, source, "an end transferred while in use", event)
            state.reading = False
        self.transferring = None

    def on_event(self, event):
        """Checks an event of the workers before the reducer handles it."""
        source = "workers"
        match event:
            case ev.ClientAccepted():
                self.on_client_accepted(source, event)
            case ev.ConnectDone(end=end, ok=ok):
                state = self.known_end(source, end, event)
                self.require(state.connecting, source, "connected twice", event)
                state.connecting, state.ended = False, not ok
            case ev.LinesRead(end=end, data=data):
                state = self.known_end(source, end, event)
                self.require(state.reading and not state.ended, source, "lines without a read", event)
                self.require(data.endswith(b"\n"), source, "an incomplete line", event)
                state.reading = False
            case ev.ReadEnded(end=end):
                state = self.known_end(source, end, event)
                self.require(state.reading, source, "an end of input without a read", event)
                state.reading, state.ended = False, not event.cause.endswith("-line")
            case ev.WriteDone(end=end):
                state = self.known_end(source, end, event)
                self.require(state.writing, source, "a write that was not requested", event)
                state.writing = False
            case ev.ProbeDone(host=host):
                self.require(self.probes.get(host, 0) > 0, source, "a probe that was not requested", event)
                self.probes[host] -= 1
            case ev.TransferDone():
                self.on_transfer_done(source, event)
            case ev.TransferOffered(client=client, host=host):
                for end in (client, host):
                    self.require(end not in self.ends, source, "an end created twice", event)
                    self.ends[end] = EndState()

    def outstanding(self):
        """Returns the number of requests whose result is still to come."""
        return sum(s.connecting + s.reading + s.writing for s in self.ends.values()) + sum(
            self.probes.values()
        )
