"""What the reducer and the workers owe each other, checked on every order and every word.

The simulated workers and the real ones are held against the same lines.
"""

from cottonspread.net import events as ev


class ContractError(AssertionError):
    """The contract was broken; the message says by whom and how."""


class EndState:
    """How one end stands."""

    __slots__ = ("connecting", "reading", "writing", "over", "freed", "cut")

    def __init__(self, connecting=False):
        self.connecting, self.reading, self.writing, self.over, self.freed, self.cut = (
            connecting,
            False,
            False,
            False,
            False,
            False,
        )


class Contract:
    def __init__(self):
        self.ends, self.probes, self.passing = {}, {}, None

    def need(self, true, who, what, one):
        if not true:
            raise ContractError(f"{who}: {what}: {type(one).__name__}")

    def known(self, who, end, one):
        state = self.ends.get(end)
        self.need(state is not None, who, "an end that was never told of", one)
        self.need(not state.freed, who, "an end that was given back", one)
        return state

    def ordered(self, effect):
        """An effect, before it is carried out."""
        who = "reducer"
        match effect:
            case ev.Connect(end=end):
                self.need(
                    end not in self.ends and not end.is_client,
                    who,
                    "an end connected twice, or a client's",
                    effect,
                )
                self.ends[end] = EndState(True)
            case ev.Read(end=end) | ev.DiscardInput(end=end):
                state = self.known(who, end, effect)
                self.need(
                    not state.reading and not state.connecting,
                    who,
                    "two reads at a time, or one before it is up",
                    effect,
                )
                state.reading = True
            case ev.Write(end=end, data=data):
                state = self.known(who, end, effect)
                self.need(
                    data and not state.writing and not state.connecting,
                    who,
                    "two writes at a time, or one before it is up",
                    effect,
                )
                self.need(not state.cut, who, "a write after the end", effect)
                state.writing = True
            case ev.ShutdownWrite(end=end) | ev.Shutdown(end=end):
                self.known(who, end, effect).cut = True
            case ev.Free(end=end):
                state = self.known(who, end, effect)
                self.need(
                    not state.reading and not state.writing and not state.connecting,
                    who,
                    "given back in use",
                    effect,
                )
                state.freed = True
                del self.ends[end]
            case ev.Probe(host=host):
                self.probes[host] = self.probes.get(host, 0) + 1
            case ev.Transfer(client=client, host=host):
                self.need(self.passing is None, who, "two on their way at a time", effect)
                for state in (self.known(who, client, effect), self.known(who, host, effect)):
                    self.need(not state.writing and not state.cut, who, "passed on in use", effect)
                self.passing = client, host

    def came(self, who, event):
        fresh = event.end not in self.ends and event.end.is_client
        self.need(fresh, who, "an end that came twice, or a host's", event)
        self.ends[event.end] = EndState()

    def passed(self, who, event):
        ordered = self.passing is not None and self.passing[0].conn is event.conn
        self.need(ordered, who, "passed on without an order", event)
        for end in self.passing if event.accepted else ():
            state = self.ends[end]
            idle = state.reading and not state.writing and not state.over
            self.need(idle, who, "passed on in use", event)
            state.reading = False
        self.passing = None

    def told(self, event):
        """A word of the workers, before the reducer has it."""
        who = "workers"
        match event:
            case ev.ClientAccepted():
                self.came(who, event)
            case ev.ConnectDone(end=end, ok=ok):
                state = self.known(who, end, event)
                self.need(state.connecting, who, "connected twice", event)
                state.connecting, state.over = False, not ok
            case ev.LinesRead(end=end, data=data):
                state = self.known(who, end, event)
                self.need(state.reading and not state.over, who, "lines that nobody asked for", event)
                self.need(data.endswith(b"\n"), who, "no whole lines", event)
                state.reading = False
            case ev.ReadEnded(end=end):
                state = self.known(who, end, event)
                self.need(state.reading, who, "an end that nobody asked for", event)
                state.reading, state.over = False, not event.cause.endswith("-line")
            case ev.WriteDone(end=end):
                state = self.known(who, end, event)
                self.need(state.writing, who, "a write that nobody ordered", event)
                state.writing = False
            case ev.ProbeDone(host=host):
                self.need(self.probes.get(host, 0) > 0, who, "a probe that nobody ordered", event)
                self.probes[host] -= 1
            case ev.TransferDone():
                self.passed(who, event)
            case ev.TransferOffered(client=client, host=host):
                for end in (client, host):
                    self.need(end not in self.ends, who, "an end that came twice", event)
                    self.ends[end] = EndState()

    def out(self):
        """Orders that are owed a word."""
        return sum(s.connecting + s.reading + s.writing for s in self.ends.values()) + sum(
            self.probes.values()
        )
