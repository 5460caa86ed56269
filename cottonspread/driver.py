"""What runs the paths of calls: events find their call and leg, actions are gathered. It decides nothing.

A path is a generator: it yields the next action of its call, or None to wait, and is sent the event that it
waited for. The decisions, in `cottonspread.policy`, fill in the methods that end in `NotImplementedError`.
"""

from cottonspread import interface as io
from cottonspread.state import Call, Host
from cottonspread.structures import Sums


class Driver:
    """Keeps the books of a node and leads the paths of its calls on. Times: microseconds of its clock."""

    def __init__(self, now, settings, membership, records):
        self.now, self.pending, self.settings = now, [], settings
        self.membership, self.records, self.sums = membership, records, Sums()
        self.shared_dependency = Host(
            "way to the servers", io.Entry(None)
        )  # what all set-ups share, a store perhaps
        self.calls = {}  # open calls by their id
        self.last_leg_at, self.calls_since_leg = now, 0  # when a leg last went out, and calls that came since
        self.waiting_for_probe = {}  # calls, by the server whose probe they wait for
        self.handlers = {
            io.CallArrived: self.handle_arrival,
            io.ListUpdate: self.list_updated,
            io.LegAccepted: self.handle_leg_event,
            io.LegEnded: self.handle_leg_event,
            io.LoadReported: self.handle_report,
            io.DelayReported: self.handle_report,
            io.CallExpired: self.handle_expiry,
            io.TimerFired: self.handle_timer,
            io.ProbeEnded: self.handle_probe_end,
            io.Inherited: self.handle_inherited,
            io.Reconfigured: self.handle_reconfigured,
        }

    def handle(self, now, event):
        """Takes an event; returns the actions that follow. An event of an unknown type is passed over."""
        self.now = now
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.actions()

    def actions(self):
        """What is to be done by now, given out once."""
        pending, self.pending = self.pending, []
        return pending

    # A call and its path

    def handle_arrival(self, e):
        """A call comes in, or is open already through this node. A group is its calls' key."""
        key = e.group if e.group is not None else e.key
        kind, most = self.settings.types[e.type], self.settings.limits.max_legs
        call = Call(e.call, kind, key, e.group, self.now + e.time_left, e.returned, max_legs=most)
        self.calls[call.id], call.path = call, self.path(call)
        self.calls_since_leg += 1
        self.call_arrived(call)
        if e.held_by is not None:
            host = self.membership.get_or_add_unlisted(e.held_by)
            self.records.put(key, host, self.now)
            self.open_leg(call, host).accept()
        self.resume(call, None)

    def resume(self, call, result):
        """Leads the call's path on to what it waits for next."""
        action = call.path.send(result)
        if action is None:
            return
        if isinstance(action, io.Probe):
            self.wait_for_probe(call, action)
            return
        self.pending.append(action)
        if isinstance(action, io.Send):
            self.send(call, self.membership.hosts[action.host])
        else:
            self.finish(call)

    def send(self, call, host):
        """A leg goes out: counted at its server, and among all set-ups of this node."""
        host.sent.add(self.now)
        self.shared_dependency.sent.add(self.now)
        self.last_leg_at, self.calls_since_leg = self.now, 0
        self.open_leg(call, host)

    def open_leg(self, call, host):
        """A new leg of the call stands at the server, not accepted yet."""
        load, adds = self.load_of_new(call, host)
        self.sums.add(host, 1, adds)
        return call.open_leg(host, self.now, load)

    def move(self, leg):
        """Asks a connection's client to come again, and not to this server."""
        leg.move_requested = True
        self.records.drop(leg.call.key, leg.host)
        self.pending.append(io.Move(leg.call.id))

    def wait_for_probe(self, call, probe):
        """One probe of a server serves all calls that wait for it."""
        waiting = self.waiting_for_probe.setdefault(probe.host, [])
        waiting.append(call)
        if len(waiting) == 1:
            self.pending.append(probe)

    def finish(self, call):
        """The call has its one final answer: nothing is sent for it after."""
        call.ended = True
        call.path.close()
        self.forget(call)

    def forget(self, call):
        """Nothing is kept of a call whose legs have all ended."""
        if all(leg.ending for leg in call.legs):
            self.calls.pop(call.id, None)

    # Events that find their call

    def handle_leg_event(self, e):
        """A leg is accepted, or has ended."""
        call = self.calls.get(e.call)
        leg = call.legs[e.leg] if call and e.leg < len(call.legs) else None
        if leg is None or leg.ending:
            return  # an end may cross with ours: nothing is held for it any more
        if isinstance(e, io.LegAccepted):
            self.accept_leg(leg, e)
            return
        self.leg_ended(leg, e.ending)
        if call.ended:
            self.forget(call)
        elif e.closed:
            self.finish(call)
        else:
            self.resume(call, e)

    def accept_leg(self, leg, e):
        """The first word of acceptance counts."""
        if leg.accepted:
            return
        leg.accept()
        self.leg_accepted(leg)
        if not leg.call.ended:
            self.resume(leg.call, e)

    def handle_report(self, e):
        """A word on a connection: what it costs its server, or what its messages take."""
        call = self.calls.get(e.call)
        leg = call.legs[-1] if call and call.legs else None
        if leg is None or leg.ending:
            return
        if isinstance(e, io.LoadReported):
            self.load_reported(leg, e.load)
        else:
            self.delay_reported(leg.host, e.delay)

    def handle_expiry(self, e):
        """The client has given up."""
        call = self.calls.get(e.call)
        if call and not call.ended:
            self.client_gave_up(call)
            self.finish(call)

    def handle_probe_end(self, e):
        """A probe has ended, and calls wait for it."""
        host = self.membership.hosts.get(e.host)
        if host:
            self.probe_ended(host, e)
        for call in self.waiting_for_probe.pop(e.host, ()):
            if not call.ended:
                self.resume(call, None)

    def handle_inherited(self, e):
        """Two processes of one node: keys stay where they are, and the cold budget is one."""
        hosts = self.membership.hosts
        for key, name in e.records:
            if name in hosts:
                self.records.put(key, hosts[name], self.now)
        for name, at, legs in e.sent:
            if name in hosts:
                hosts[name].sent.add(at, legs)

    def handle_reconfigured(self, e):
        """Other settings from now on. A call keeps the type that it opened under."""
        self.settings.apply(e.config)

    def handle_timer(self, e):
        """It is time to see off a client of a server that drains, or to ask the list."""
        if e.token == "off":
            self.move_next_draining()
        else:
            self.pending.append(io.Subscribe())

    # Filled in by the decisions

    def path(self, call):
        """The generator of the call's actions, from arrival to its final answer."""
        raise NotImplementedError

    def call_arrived(self, call):
        """A call has arrived."""
        raise NotImplementedError

    def load_of_new(self, call, host):
        """(load of a new leg, what its server's load grows by), see `Loads`."""
        raise NotImplementedError

    def leg_accepted(self, leg):
        """A leg is accepted for the first time."""
        raise NotImplementedError

    def leg_ended(self, leg, ending):
        """A leg has ended, whichever way; its books are to be closed."""
        raise NotImplementedError

    def client_gave_up(self, call):
        """The client of an open call has given up."""
        raise NotImplementedError

    def load_reported(self, leg, load):
        """What a connection costs its server, in microseconds of work a second."""
        raise NotImplementedError

    def delay_reported(self, host, delay):
        """What a message takes at a server, in microseconds."""
        raise NotImplementedError

    def probe_ended(self, host, e):
        """`ProbeEnded`: a probe of the server has ended; calls that wait for it are resumed after."""
        raise NotImplementedError

    def list_updated(self, e):
        """`ListUpdate`: a word from the list, or of an asking that failed."""
        raise NotImplementedError

    def move_next_draining(self):
        """It is time for the next of the clients that are to leave servers that drain."""
        raise NotImplementedError
