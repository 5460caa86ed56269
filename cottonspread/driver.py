"""Runs the paths of calls: routes events to their call and leg, and collects actions. Makes no decisions.

A call's path is a generator: it yields the next action of its call, or None to wait, and is sent the event
that it waited for. `cottonspread.policy` makes the decisions by overriding the methods that raise
`NotImplementedError`.
"""

from cottonspread import interface as io
from cottonspread.state import Call, Host
from cottonspread.structures import Sums


class Driver:
    """Keeps a node's state and advances the paths of its calls. Times: microseconds of the caller's clock."""

    def __init__(self, now, settings, membership, records):
        """`settings`: a `Settings`; `membership`: a `Membership`; `records`: a `Records`."""
        self.now, self.pending, self.settings = now, [], settings
        self.membership, self.records, self.sums = membership, records, Sums()
        # Stands for what all set-ups depend on, such as a session store.
        self.shared_dependency = Host("shared set-up dependency", io.Entry(None))
        self.calls = {}  # open calls by id
        self.last_leg_at, self.calls_since_leg = now, 0  # time of the last leg sent, calls arrived since
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
        """Handles an event and returns the resulting actions. Events of unknown types are ignored."""
        self.now = now
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.actions()

    def actions(self):
        """Returns the pending actions and clears them."""
        pending, self.pending = self.pending, []
        return pending

    # Calls and their paths

    def handle_arrival(self, e):
        """Handles a call that arrives, or that is open through this node already.

        The key of a call with a group is the group.
        """
        key = e.group if e.group is not None else e.key
        traffic_type, max_legs = self.settings.types[e.type], self.settings.limits.max_legs
        call = Call(e.call, traffic_type, key, e.group, self.now + e.time_left, e.returned, max_legs=max_legs)
        self.calls[call.id], call.path = call, self.path(call)
        self.calls_since_leg += 1
        self.call_arrived(call)
        if e.held_by is not None:
            host = self.membership.get_or_add_unlisted(e.held_by)
            self.records.put(key, host, self.now)
            self.establish(self.open_leg(call, host))
        self.resume(call, None)

    def resume(self, call, result):
        """Resumes the call's path with a result, and handles the action that it yields."""
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
        """Opens a leg; counts it at its server and among all set-ups of this node."""
        host.sent.add(self.now)
        self.shared_dependency.sent.add(self.now)
        self.last_leg_at, self.calls_since_leg = self.now, 0
        self.open_leg(call, host)

    def open_leg(self, call, host):
        """Adds a leg of the call at the server, not accepted yet."""
        load, adds = self.load_of_new(call, host)
        self.sums.add(host, 1, adds)
        return call.open_leg(host, self.now, load)

    def move(self, leg):
        """Asks a connection's client to reconnect; the key's record is dropped, so it gets another server."""
        leg.request_move()
        self.records.drop(leg.call.key, leg.host)
        self.pending.append(io.Move(leg.call.id))

    def wait_for_probe(self, call, probe):
        """Has the call wait for a probe of the server; one probe serves all calls that wait for it."""
        waiting = self.waiting_for_probe.setdefault(probe.host, [])
        waiting.append(call)
        if len(waiting) == 1:
            self.pending.append(probe)

    def finish(self, call):
        """Ends the call's path after its one final answer: nothing more is sent for it."""
        call.ended = True
        call.path.close()
        self.forget(call)

    def forget(self, call):
        """Removes the call if all its legs have ended."""
        if all(leg.ending for leg in call.legs):
            self.calls.pop(call.id, None)

    # Events that concern a call

    def handle_leg_event(self, e):
        """Handles a leg that was accepted or has ended."""
        call = self.calls.get(e.call)
        leg = call.legs[e.leg] if call and e.leg < len(call.legs) else None
        if leg is None or leg.ending:
            return  # both sides may end a leg at the same time: the second event is ignored
        if isinstance(e, io.LegAccepted):
            self.accept_leg(leg, e)
            return
        self.leg_ended(leg, e)
        if call.ended:
            self.forget(call)
        elif e.closed:
            self.finish(call)
        else:
            self.resume(call, e)

    def accept_leg(self, leg, e):
        """Handles an acceptance; repeated ones are ignored."""
        if leg.accepted:
            return
        self.establish(leg)
        self.leg_accepted(leg)
        if not leg.call.ended:
            self.resume(leg.call, e)

    def establish(self, leg):
        """Marks a leg as established at its server."""
        leg.accept()
        self.leg_established(leg)

    def handle_report(self, e):
        """Handles a report on a connection: its load or its message delay."""
        call = self.calls.get(e.call)
        leg = call.legs[-1] if call and call.legs else None
        if leg is None or leg.ending:
            return
        if isinstance(e, io.LoadReported):
            self.load_reported(leg, e.load)
        else:
            self.delay_reported(leg.host, e.delay)

    def handle_expiry(self, e):
        """Ends a call that its client gave up."""
        call = self.calls.get(e.call)
        if call and not call.ended:
            self.client_gave_up(call)
            self.finish(call)

    def handle_probe_end(self, e):
        """Handles the end of a probe and resumes the calls that wait for it."""
        host = self.membership.hosts.get(e.host)
        if host:
            self.probe_ended(host, e)
        for call in self.waiting_for_probe.pop(e.host, ()):
            if not call.ended:
                self.resume(call, None)

    def handle_inherited(self, e):
        """Takes over the state of the process that this one replaces.

        The two are one node: keys stay on their servers, and the budget of cold servers is shared.
        """
        hosts = self.membership.hosts
        for key, name in e.records:
            if name in hosts:
                self.records.put(key, hosts[name], self.now)
        for name, at, legs in e.sent:
            if name in hosts:
                hosts[name].sent.add(at, legs)

    def handle_reconfigured(self, e):
        """Applies another configuration. An open call keeps the type under which it was opened."""
        self.settings.apply(e.config)
        self.settings_changed()

    def handle_timer(self, e):
        """Moves a client off a draining server, or polls the list, as the timer's token says."""
        if e.token == "off":
            self.move_next_draining()
        else:
            self.pending.append(io.Subscribe())

    # Implemented by the policy

    def path(self, call):
        """The generator of the call's actions, from arrival to its final answer."""
        raise NotImplementedError

    def call_arrived(self, call):
        """Called before the path of an arrived call starts."""
        raise NotImplementedError

    def load_of_new(self, call, host):
        """(weight of a new leg, weight that it adds to its server), see `Loads`."""
        raise NotImplementedError

    def leg_established(self, leg):
        """Called when a leg is established: accepted, or open already when its call arrived."""
        raise NotImplementedError

    def leg_accepted(self, leg):
        """Called when a leg is accepted for the first time."""
        raise NotImplementedError

    def leg_ended(self, leg, e):
        """Called with the `LegEnded` of a leg, whatever its cause; it has to close the leg."""
        raise NotImplementedError

    def client_gave_up(self, call):
        """Called when the client of an open call gives up."""
        raise NotImplementedError

    def load_reported(self, leg, load):
        """Called with the load of a connection, in microseconds of work a second."""
        raise NotImplementedError

    def delay_reported(self, host, delay):
        """Called with the message delay at a server, in microseconds."""
        raise NotImplementedError

    def probe_ended(self, host, e):
        """Called with the `ProbeEnded` of a server, before the calls that wait for it are resumed."""
        raise NotImplementedError

    def list_updated(self, e):
        """Called with a `ListUpdate`."""
        raise NotImplementedError

    def settings_changed(self):
        """Called after other settings have been applied."""
        raise NotImplementedError

    def move_next_draining(self):
        """Called when it is time to move the next client off a draining server."""
        raise NotImplementedError
