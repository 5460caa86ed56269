"""The node's state machine: turns (state, time, event) into effects.

It owns all state of the node, including the balancer and the timers. It uses no sockets, clock, files or
threads; the workers carry out the effects in order.

It makes no decisions about hosts: it reports to the balancer what happened and carries out the balancer's
actions. What is decided here is the front end's part: when a leg has ended, when lines may be forwarded and
when something is reported. Times and time spans are microseconds.
"""

import heapq
import weakref
from collections import deque
from itertools import islice
from operator import attrgetter

from cottonspread import interface as io
from cottonspread.front import handover
from cottonspread.front.counters import Counters
from cottonspread.front.lateness import Lateness
from cottonspread.front.reports import probe_ended
from cottonspread.interface import Ending
from cottonspread.net import events as ev
from cottonspread.net import lines
from cottonspread.net.active_set import ActiveSet, connection_is_active, host_is_active
from cottonspread.net.call_ids import CallIds
from cottonspread.net.connections import Conn, Host, Leg
from cottonspread.net.drain import LATE_ARRIVAL_TIME, DrainController
from cottonspread.net.echo_monitor import ECHO_CHECK_INTERVAL, EchoMonitor
from cottonspread.net.message_delays import MessageDelays
from cottonspread.net.transfers import ConnectionTransfers
from cottonspread.policy import Balancer

SECOND = 1_000_000
SWEEP_INTERVAL = SECOND // 4
FIRST_LINE_TIMEOUT = 2 * SECOND  # for a client's first line, including the PINGs before it
PENDING_CLIENTS_DIVISOR = 5  # at most 1 / this of all sockets may be clients without a first line
MAX_WAIT_FACTOR = 10  # times the longest guard time; a first line with a longer wait is invalid
LINGER_TIMEOUT = SECOND  # for the other side to close its half of a closed connection
LINGER_RESERVE_DIVISOR = 10  # no lingering once fewer than 1 / this of all sockets are left
WRITE_TIMEOUT = 3 * SECOND  # a connection whose peer reads nothing for this long is closed
REATTACH_TIMEOUT = 40 * SECOND  # for a connection that was open before this process started
PROBE_TIMEOUT = SECOND // 4  # a host that answers later is not a good target for a new call
NOT_LISTED = io.Entry(None, state=io.HostState.GONE)
PROBES_DIVISOR = 4  # at most 1 / this of all sockets may be probes: each takes a thread and a descriptor


class Reducer:
    """The state of a node; `step` advances it.

    The handlers of events are named after the events.
    """

    def __init__(self, now, config, names, host_protocol, max_sockets, balancer=Balancer):
        """`config`: an `interface.NodeConfig`; `max_sockets`: how many sockets the node may have open.

        `names` and `host_protocol` are the parts of the configuration file of these names.
        """
        self.now, self.event_time, self.effects, self.balancer_events = now, now, [], deque()
        self.config, self.names, self.host_protocol, self.max_sockets = (
            config,
            names,
            host_protocol,
            max_sockets,
        )
        self.balancer = balancer(now, config)
        self.lateness = Lateness()
        self.hosts, self.entries, self.conns, self.open_sockets = {}, {}, {}, 0
        self.awaiting_first_line = {}  # clients without a valid first line, the oldest first
        self.lingering = {}  # closed clients that have not closed their half yet, the oldest first
        self.call_ids = CallIds(config.max_remembered)
        self.timers, self.last_sequence = [], 0
        order = attrgetter("order")
        self.active_conns, self.active_hosts = (
            ActiveSet(connection_is_active, order),
            ActiveSet(host_is_active, order),
        )
        self.probing = set()  # hosts with a running probe whose result the balancer waits for
        self.probes = 0  # number of running probes
        self.counters = Counters(())
        self.has_hosts, self.drain_controller = False, DrainController(self)
        self.transfers, self.echoes = ConnectionTransfers(self), EchoMonitor(self)
        self.apply_config(config)
        self.handlers = {
            ev.ClientAccepted: self.client_accepted,
            ev.ConnectDone: self.connect_done,
            ev.LinesRead: self.lines_read,
            ev.WriteDone: self.write_done,
            ev.ReadEnded: self.read_ended,
            ev.ListReceived: self.list_received,
            ev.ListFailed: self.list_failed,
            ev.ProbeDone: self.probe_done,
            ev.StopRequested: self.drain_controller.stop,
            ev.DrainRequested: self.drain_controller.drain,
            ev.SettingsReloaded: self.settings_reloaded,
            ev.ReloadRejected: self.reload_rejected,
            ev.StateInherited: self.state_inherited,
            ev.HandOverRequested: self.hand_over_requested,
            ev.IdsRequested: self.ids_requested,
            ev.IdsLearned: self.ids_learned,
            ev.TransferDone: self.transfers.offer_done,
            ev.TransferOffered: self.transfers.adopt,
            ev.Tick: lambda e: None,
        }
        self.call_later(SWEEP_INTERVAL, self.sweep)
        self.call_later(ECHO_CHECK_INTERVAL, self.echoes.check)
        for action in self.balancer.actions():
            self.perform(action)
        if not config.server_list.polled:
            self.effects.append(ev.FollowList())

    def apply_config(self, config):
        """Sets what is derived from the configuration."""
        self.config = config
        self.max_wait = MAX_WAIT_FACTOR * max(t.guard_time for t in config.types)
        targets = [t.message_target for t in config.types if t.message_target]
        self.slow_threshold = min(targets, default=SECOND) // 3
        self.counters.add_types(t.name for t in config.types)

    @property
    def stopping(self):
        """When the shutdown of the process began; 0: it has not."""
        return self.drain_controller.stopping

    @property
    def draining(self):
        """When the operators began to drain the node; 0: it is not draining."""
        return self.drain_controller.draining

    @property
    def stopped(self):
        """Whether the process was told to exit (`Exit`)."""
        return self.drain_controller.stopped

    def step(self, now, event, at=0):
        """Runs the timers that are due, handles `event` and returns the effects.

        `at`: when the event happened; 0: now.
        """
        self.now = max(now, self.now)
        self.event_time = min(at or self.now, self.now)
        self.lateness.record(self.now, self.now - min(self.event_time, self.due()))
        self.run_balancer()  # events left over from a step that raised
        while self.timers and self.timers[0][0] <= self.now:
            callback, args = heapq.heappop(self.timers)[2:]
            callback(*args)
            self.run_balancer()
        self.handlers[type(event)](event)
        self.run_balancer()
        effects, self.effects = self.effects, []
        return effects

    def handle_exception(self, event):
        """Ends the connection that the event was about, after `step` raised; returns the effects."""
        conn = getattr(getattr(event, "end", None), "conn", None)
        if conn is not None and not conn.reason:
            self.abandon(conn, "fault")
            self.end_call(conn, "fault", lines.ERR)
        effects, self.effects = self.effects, []
        return effects

    def due(self):
        """When `step` must be called next even if nothing happens."""
        return self.timers[0][0] if self.timers else self.now + SECOND

    def call_at(self, when, callback, *args):
        """Calls `callback(*args)` at the given time."""
        self.last_sequence += 1
        heapq.heappush(self.timers, (when, self.last_sequence, callback, args))

    def call_later(self, span, callback, *args):
        """Calls `callback(*args)` after the given time span."""
        self.call_at(self.now + span, callback, *args)

    def call_at_deadline(self, when, callback, item, *args):
        """Calls `callback(item, *args)` at the given time if the item is still in use then.

        Most calls end long before their deadline, and a timer must not keep them in memory until then.
        """
        self.call_at(when, self.call_if_in_use, callback, weakref.ref(item), *args)

    @staticmethod
    def call_if_in_use(callback, reference, *args):
        """Calls `callback` with the item that a weak reference refers to, unless that is gone."""
        item = reference()
        if item is not None:
            callback(item, *args)

    def next_order(self):
        """A number greater than all earlier ones."""
        self.last_sequence += 1
        return self.last_sequence

    # The balancer

    def queue_event(self, event):
        """Queues an event for the balancer; `run_balancer` delivers it."""
        self.balancer_events.append(event)

    def run_balancer(self):
        """Delivers the queued events one by one, each with the actions that it leads to.

        Events caused by these actions are queued behind the others.
        """
        while self.balancer_events:
            for action in self.balancer.handle(self.now, self.balancer_events.popleft()):
                self.perform(action)

    def perform(self, action):
        """Carries out an action of the balancer."""
        match action:
            case io.Send():
                self.start_leg(action.call, action.host, action.deadline, action.send_by)
            case io.Reject():
                self.final_answer(action.call, lines.busy_line(action.retry_after), "rejected")
            case io.Release():
                self.final_answer(action.call, lines.ERR, "released")
            case io.Cancel():
                self.end_leg(action.call.legs[action.leg], Ending.CANCELLED)
            case io.Move():
                self.move(action.call, "moved")
            case io.Timer():
                self.call_later(action.after, self.queue_event, io.TimerFired(action.token))
            case io.Subscribe():
                self.effects.append(ev.FollowList())
            case io.Probe():
                self.probe(action.host)
            case io.Log():
                self.effects.append(ev.Log("decision", {"text": action.text}))
            case _:
                raise TypeError(f"action not supported by this front end: {action!r}")

    # Clients

    def client_accepted(self, e):
        """Registers a new client, and frees descriptors if they are running out."""
        self.open_sockets += 1
        conn = Conn(e.end, e.accepted_at or self.now, registered_at=self.now, order=self.next_order())
        e.end.conn = conn
        self.conns[conn] = None
        self.active_conns.add(conn)
        # Hundreds of clients that connected and sent nothing used up all descriptors, and regular clients
        # were turned away. A regular client sends its first line at once, so the oldest client without one
        # is dismissed.
        while len(self.awaiting_first_line) >= max(2, self.max_sockets // PENDING_CLIENTS_DIVISOR):
            self.dismiss(next(iter(self.awaiting_first_line)), "no-first-line")
        # Lingering clients may keep their descriptors for a while, but not the last free ones.
        room = self.max_sockets * (LINGER_RESERVE_DIVISOR - 1) // LINGER_RESERVE_DIVISOR - self.open_sockets
        for end in list(islice(self.lingering, max(0, 1 - room))):
            self.shut_down(end)
        self.awaiting_first_line[conn] = None
        self.read(e.end)

    def dismiss(self, conn, reason):
        """Ends the connection of a client without a valid first line.

        One that has sent nothing gets BUSY rather than ERR: its line may be on the way just now, and nothing
        has run, so it may safely try again.
        """
        self.awaiting_first_line.pop(conn, None)
        harmless = reason in ("no-first-line", "ping", "stopping")
        self.end_call(
            conn, conn.reason or reason, lines.busy_line(self.retry_after()) if harmless else lines.ERR
        )

    def lines_read(self, e):
        """Passes the lines to the handler for their source and for the state of the connection."""
        e.end.read_pending = False
        if e.end.closing_since or e.end.shutdown_when_written:
            self.read(e.end)  # closing: the input is discarded up to its end
        elif not e.end.is_client:
            self.host_lines(e.end.leg, e.data)
        elif e.end.conn.request is None:
            self.first_line(e.end.conn, e.data, e.more_follows, e.id_taken)
        else:
            self.client_lines(e.end.conn, e.data)

    def first_line(self, conn, data, more_follows, id_taken):
        """Handles a client's PING, or its OPEN, which starts a call.

        `id_taken`: another process of this node has taken its id.
        """
        first, _, rest = data.partition(b"\n")
        # A client must not send more before it has an answer: a host would take these lines for regular ones.
        if rest or more_follows:
            self.dismiss(conn, "early-line")
            return
        if first.rstrip(b"\r") == lines.PING:
            conn.pings += 1
            if (
                self.has_hosts
                and not self.drain_controller.draining
                and not self.drain_controller.refusal_reason(conn)
            ):
                self.write(conn.client, lines.PONG)
            else:
                self.dismiss(conn, "not-ready")
            return
        try:
            request = lines.parse_open(
                first + b"\n",
                self.names.types,
                self.names.tenants,
                self.config.groups_share_work,
                self.max_wait,
            )
        except lines.LineError as error:
            self.dismiss(conn, str(error))
            return
        # Hosts answer ERR to an id that is already open, which counts as an error of each host that is tried.
        if id_taken or self.call_ids.is_taken(request.id):
            self.dismiss(conn, "id-in-use")
            return
        conn.request, conn.type, conn.max_legs = (
            request,
            self.config.types[request.type],
            self.config.legs.max_legs,
        )
        self.awaiting_first_line.pop(conn, None)
        self.call_ids.begin(request.id, conn)
        wait = request.timeout if request.held_by is None else REATTACH_TIMEOUT
        # The client's time runs from when its line arrived. The balancer gets less than is left of it, since
        # this node may itself be late with the answer.
        time_in_queue = self.now - self.event_time
        conn.guard = self.event_time + wait
        time_left = max(
            0, wait - time_in_queue - min(self.lateness.recent_max(self.now), (wait - time_in_queue) // 4)
        )
        # A call takes two descriptors, and some must remain to answer with: at the limit it is refused.
        refusal = self.drain_controller.refusal_reason(conn)
        if refusal or self.open_sockets + 1 > self.max_sockets:
            self.end_call(conn, refusal or "no-room", lines.busy_line(self.retry_after()))
            return
        host = self.hosts.get(request.held_by)
        if request.held_by is not None and (host is None or host.address is None):
            self.end_call(conn, "held-by-unknown", lines.ERR)
            return
        self.read(conn.client)  # to notice when the client leaves
        self.call_at_deadline(conn.guard + self.config.tick, self.end_overdue_call, conn)
        self.queue_event(
            io.CallArrived(
                conn,
                request.type,
                time_left,
                request.key,
                request.group,
                request.tenant,
                request.load,
                request.returned,
                request.held_by,
            )
        )
        if host is not None:
            self.open_leg(Leg(conn, len(conn.legs), host, conn.guard), REATTACH_TIMEOUT // 4)

    def retry_after(self):
        """Microseconds after which a refused client should come back; 0: not given."""
        return self.config.legs.max_retry_after // 2 if self.config.legs.may_retry_after else 0

    def client_lines(self, conn, data):
        """Forwards a client's lines to the host of its call."""
        if not conn.up:  # a line before the answer, as in `first_line`
            self.abandon(conn, "early-line")
            self.dismiss(conn, "early-line")
            return
        leg = conn.legs[-1]
        leg.signals.line_sent(self.now, data.count(b"\n"))
        self.echoes.expect(leg)
        self.write(leg.end, data)

    def end_overdue_call(self, conn):
        """Logs an error and ends the call if the balancer has not answered it within its guard time."""
        if not conn.answered and not conn.up:
            self.effects.append(ev.Log("overdue", {"call": conn.request.id}, "error"))
            self.abandon(conn, "overdue")
            self.end_call(conn, "overdue", lines.ERR)

    def abandon(self, conn, reason):
        """Ends a call without an answer from the balancer, and all its legs."""
        if conn.answered:
            return
        conn.answered, conn.reason = True, conn.reason or reason
        if not conn.up:
            self.queue_event(io.CallExpired(conn))
        for leg in conn.legs:
            self.end_leg(leg, Ending.CANCELLED)

    def final_answer(self, conn, line, reason):
        """Sends the balancer's final answer, unless the call already has one."""
        if not conn.answered:
            conn.answered = True
            self.end_call(conn, reason, line)

    def end_call(self, conn, reason, line=None):
        """Sends the client a last line and closes its connection. `reason`: unless one was set before."""
        conn.reason = conn.reason or reason
        conn.answered = True
        if conn.type and not conn.counted:
            conn.counted = True
            self.counters.count_answer("busy" if line.startswith(b"BUSY") else "failure", conn.type.name)
        self.retire_id(conn)
        if line and not conn.client.writing_since:
            self.write(conn.client, line)
        self.close(conn.client)

    # Legs

    def start_leg(self, conn, host_name, deadline, send_by):
        """Starts the leg that the balancer asks for, or ends it at once if it must not start any more."""
        leg = Leg(conn, len(conn.legs), self.get_or_add_host(host_name), deadline, send_by)
        running = [other for other in conn.legs if not other.ended]
        if (
            conn.answered
            or conn.up
            or self.drain_controller.answers_due()
            or deadline <= self.now
            or leg.number >= conn.max_legs
            or running
            and not self.config.legs.parallel_legs
        ):
            conn.legs.append(leg)
            self.end_leg(leg, Ending.NOT_SENT)
            return
        if leg.host.address is None:  # it is no longer listed
            conn.legs.append(leg)
            self.end_leg(leg, Ending.CONNECT_FAILED)
            return
        self.open_leg(leg, min(self.host_protocol.connect_timeout, deadline - self.now))

    def open_leg(self, leg, connect_timeout):
        """Connects to the leg's host."""
        conn, host, deadline, leg.address = leg.conn, leg.host, leg.deadline, leg.host.address
        conn.legs.append(leg)
        leg.end = ev.ConnectionEnd(False, conn, leg)
        self.open_sockets += 1
        self.effects.append(ev.Connect(leg.end, host.address, connect_timeout))
        self.call_at_deadline(deadline, self.leg_timed_out, leg)

    def leg_timed_out(self, leg, extended=False):
        """Ends a leg whose host has not answered by the deadline.

        If this node was late itself, the answer may have arrived without being read yet. Then the leg gets
        that much more time (`extended` is set the second time); if the guard time does not allow that, the
        leg is cancelled and not counted against the host.
        """
        if leg.up or leg.ended:
            return
        late, latest = self.lateness.recent_max(self.now), leg.conn.guard - 2 * self.config.tick
        if not extended and late and leg.deadline + late <= latest:
            self.call_at_deadline(leg.deadline + late, self.leg_timed_out, leg, True)
        elif not extended and late and self.now < latest:
            self.call_at_deadline(latest, self.cancel_leg, leg)
        else:
            self.end_leg(leg, Ending.TIMEOUT if extended or not late else Ending.CANCELLED)

    def cancel_leg(self, leg):
        """Cancels a leg, which does not count against its host, unless it was accepted meanwhile."""
        if not leg.up:
            self.end_leg(leg, Ending.CANCELLED)

    def connect_done(self, e):
        """Sends the first line on the new connection, if it may still be sent."""
        leg, e.end.connected = e.end.leg, e.ok
        if not e.ok:
            e.end.input_ended = True
            self.free(e.end)
            if not leg.ended:
                self.effects.append(ev.Log("connect-fails", {"host": leg.host.name, "why": e.error}))
            self.end_leg(leg, Ending.CONNECT_FAILED)
        elif leg.ended:
            e.end.input_ended = True  # given up while it was connecting: nothing was sent
            self.free(e.end)
        elif reason := self.reason_not_to_send(leg):
            e.end.input_ended = True
            self.free(e.end)
            self.leg_not_sent(leg, reason)
        else:
            request, leg.write_issued = leg.conn.request, True
            line = (
                request.line
                if not request.timeout
                else lines.open_for_host(request.line, leg.deadline - self.now)
            )
            leg.end.writing_since = self.now or 1
            self.active_conns.add(leg.conn)
            self.effects.append(ev.Write(leg.end, line, first_line=True, send_by=leg.send_by))

    def reason_not_to_send(self, leg):
        """Why a leg's first line must not be sent now that it is connected; "" if it may be.

        While it was connecting, the host may have started to drain, gone or been replaced, or the time may
        have ended in which hosts recognise a repeat of the call.
        """
        if leg.conn.request.held_by is not None:  # it is open at this host already
            return ""
        entry, host = self.entries.get(leg.host.name), self.hosts.get(leg.host.name)
        if entry is None or entry.state is not io.HostState.UP or host is None or host.address != leg.address:
            return "host-drains"
        return "too-late" if leg.send_by and self.now >= leg.send_by else ""

    def leg_not_sent(self, leg, reason):
        """Ends a leg that was connected but on which nothing was sent.

        If the host drains the call may be tried elsewhere; if it is too late, it may not be tried at all.
        """
        if not leg.ended:
            self.effects.append(ev.Log("not-sent", {"host": leg.host.name, "why": reason}))
        self.end_leg(leg, Ending.CONNECT_FAILED if reason == "host-drains" else Ending.NOT_SENT)

    def end_leg(self, leg, ending, reset=False):
        """Ends a leg and reports it to the balancer; whatever still arrives from it is ignored."""
        if leg.ended:
            return
        # A leg that was given up before its first line went to the workers cannot have run. Without this, a
        # call that must not run twice was answered as failed although it had never been sent.
        if not leg.write_issued and leg.conn.request.held_by is None:
            ending = {Ending.TIMEOUT: Ending.CONNECT_FAILED, Ending.CANCELLED: Ending.NOT_SENT}.get(
                ending, ending
            )
        leg.ended = True
        self.detach_from_host(leg)
        conn = leg.conn
        closed = conn.answered or conn.up or conn.request.held_by is not None
        # A client that leaves and this node's own moves cancel a leg too.
        cancelled_by_host = leg.announced_ending is Ending.CANCELLED
        self.queue_event(io.LegEnded(conn, leg.number, ending, closed, cancelled_by_host=cancelled_by_host))
        if leg.end is not None:
            self.shut_down(leg.end, reset)
        if closed and not conn.answered and not conn.up:  # open before the start, the host does not know it
            self.end_call(conn, "held-by-lost", lines.ERR)

    def leg_established(self, leg):
        """Adds an established leg to its host.

        From now on its host's echoes are checked, and a running drain or shutdown moves its client too.
        """
        if not leg.host.legs:
            leg.host.message_delays.connected_since = self.now
        leg.host.legs[leg], leg.established_order = None, self.next_order()
        if leg.host.message_delays.undecided():  # from earlier connections
            self.active_hosts.add(leg.host)
        self.drain_controller.on_established(leg.conn)

    def detach_from_host(self, leg):
        """Removes a leg from its host, and the host if it is gone and this was its last leg."""
        host = leg.host
        host.legs.pop(leg, None)
        if not host.legs and host.address is None and self.hosts.get(host.name) is host:
            del self.hosts[host.name]

    def host_lines(self, leg, data):
        """Forwards a host's lines to the client, or handles the host's answer to the first line."""
        if leg.up:
            self.forward(leg, data)
            return
        first, _, rest = data.partition(b"\n")
        ending = lines.parse_answer(first, rest)
        conn = leg.conn
        if ending is None:
            leg.up = conn.up = conn.counted = True
            self.counters.count_answer("success", conn.type.name)
            # The host may have been removed from the list and added again meanwhile. The leg must belong to
            # the new object: nobody checks the old one for missing echoes.
            leg.host = self.get_or_add_host(leg.host.name)
            conn.setup_time = self.now - conn.accepted_at
            self.leg_established(leg)
            self.transfers.on_established(conn)
            if conn.request.held_by is None:
                self.queue_event(io.LegAccepted(conn, leg.number, 0))
            self.forward(leg, data, len(first) + 1)
        elif ending is Ending.OK:  # the call has run and ended already
            conn.answered = True
            self.end_leg(leg, ending)
            self.end_call(conn, "completed-at-once", first + b"\n")
        else:
            leg.announced_ending = ending
            self.end_leg(leg, ending)

    def forward(self, leg, data, skip=0):
        """Forwards a host's lines to the client unchanged, and evaluates loads, endings and echoes in them.

        `skip`: bytes at the start that are not evaluated.
        """
        for line in data[skip:].splitlines(keepends=True):
            load = lines.parse_load(line)
            if load is not None:
                self.echoes.load_reported(leg, load)
            elif line.rstrip(b"\r\n") in lines.ENDINGS:
                leg.announced_ending = lines.ENDINGS[line.rstrip(b"\r\n")]
            else:
                self.echoes.received(leg, leg.signals.echo_received(), self.event_time)
        self.write(leg.conn.client, data)

    # Probes

    def probe(self, name):
        """Probes a host. Each probe gets a result, because calls wait for it.

        If there is no room for the probe, the result is FULL, which says nothing about the host.
        """
        host = self.get_or_add_host(name)
        if host.address is None:
            self.queue_event(io.ProbeEnded(name, Ending.CONNECT_FAILED))
        elif (
            self.probes * PROBES_DIVISOR >= self.max_sockets
            or self.open_sockets + 2 > self.max_sockets
            or self.drain_controller.answers_due()
        ):
            self.queue_event(io.ProbeEnded(name, Ending.FULL))
        else:
            self.probing.add(name)
            self.probes += 1
            self.open_sockets += 1
            self.effects.append(ev.Probe(name, host.address, PROBE_TIMEOUT))

    def probe_done(self, e):
        """Reports the result to the balancer, unless it was told to stop waiting for it."""
        self.probes -= 1
        self.open_sockets -= 1
        if e.host in self.probing:
            self.probing.discard(e.host)
            # If this node was late itself, the answer may have arrived without being read yet: then the
            # time-out says nothing about the host.
            late = e.ending is Ending.TIMEOUT and self.lateness.recent_max(self.now)
            self.queue_event(probe_ended(e.host, Ending.FULL if late else e.ending, e.waited, e.report))

    # Moving and ending connections

    def move(self, conn, reason):
        """Asks the client to reconnect (MOVE), once the line that is being written to it is out.

        A call that was open before this process started is moved once its host has accepted it again.
        """
        reattaching = conn.request is not None and conn.request.held_by is not None
        if not (conn.up or reattaching) or conn.reason or conn.move_reason:
            return
        conn.move_reason = reason
        if conn.up and conn is not self.transfers.offered:
            self.move_when_written(conn)

    def move_when_written(self, conn):
        """Moves a client now, or after the line that is being written to it, see `read_next`."""
        if not conn.client.writing_since:
            self.move_now(conn)

    def move_now(self, conn):
        """Sends MOVE and closes the connection."""
        leg = conn.legs[-1]
        conn.answered = True
        self.end_call(conn, conn.move_reason, lines.MOVE)
        self.end_leg(leg, Ending.CANCELLED)

    def read_ended(self, e):
        """Handles the end of a side's input, or a malformed line."""
        end, conn = e.end, e.end.conn
        # more input may follow after a malformed line
        end.read_pending, end.input_ended = False, not e.cause.endswith("-line")
        if not end.closing_since and not end.shutdown_when_written:
            if end.is_client:
                self.client_ended(conn, e.cause)
            else:
                self.host_ended(end.leg, e.cause)
        if not end.input_ended:
            self.read(end)
        elif not end.writing_since:
            self.free(end)

    def client_ended(self, conn, cause):
        """Ends a connection whose client has closed or reset it, stopped reading or sent a malformed line."""
        reset = cause == "reset"
        # The client is still connected: it gets an answer, and its unread input must not turn the close into
        # a reset.
        if cause.endswith("-line"):
            self.abandon(conn, "client-" + cause if conn.up else cause)
            if conn.up:
                self.close(conn.client)
            else:
                self.dismiss(conn, cause)
            return
        if conn.up:
            conn.reason = conn.reason or ("client-end" if cause == "end" else "client-" + cause)
            conn.answered = True
            self.end_leg(conn.legs[-1], Ending.CANCELLED, reset)
        elif conn.request is not None:
            self.abandon(conn, "left-in-setup")
        conn.reason = conn.reason or (
            "ping" if conn.pings else "no-first-line" if cause in ("end", "reset") else cause
        )
        self.shut_down(conn.client)

    def host_ended(self, leg, cause):
        """Ends a leg, and its client if established, when the host has closed or reset the connection."""
        conn = leg.conn
        if not leg.up:
            self.end_leg(leg, Ending.ERROR if cause.endswith("-line") else Ending.RESET)
            return
        reason_codes = {Ending.OK: "completed", Ending.CANCELLED: "host-moved"}
        conn.answered = True
        conn.reason = conn.reason or reason_codes.get(leg.announced_ending, "host-" + cause)
        self.end_leg(leg, leg.announced_ending or Ending.RESET)
        if cause == "reset":
            self.shut_down(conn.client, reset=True)
        else:
            self.close(conn.client)

    # Reading, writing, closing

    def read(self, end):
        """Reads the next lines, or discards the input of a socket that is being closed."""
        if not end.read_pending and not end.input_ended:
            end.read_pending = True
            self.effects.append(ev.DiscardInput(end) if end.closing_since else ev.Read(end))

    def write(self, end, data):
        """Writes data, unless the socket is freed."""
        if not end.freed:
            end.writing_since = self.now or 1
            self.active_conns.add(end.conn)
            self.effects.append(ev.Write(end, data))

    def write_done(self, e):
        """Continues with what was waiting for the end of a write."""
        end, conn = e.end, e.end.conn
        first_line_written = e.ok and not end.is_client and not end.leg.written
        if first_line_written:  # also if the leg has ended meanwhile: the host has got the line
            end.leg.written = True
            self.counters.backend_calls += 1
        if (
            end.is_client
            and conn.up
            and self.now - end.writing_since - self.lateness.recent_max(self.now) > self.slow_threshold
        ):
            # The client was slow to read, so the echoes were late through no fault of the host.
            conn.legs[-1].signals.awaiting_echo.clear()
        elif not end.is_client and end.leg.up and e.at:
            end.leg.signals.line_written(end.writing_since, e.at)
        end.writing_since = 0
        if end.input_ended:
            self.free(end)
        elif end.closing_since:
            return
        elif end.shutdown_when_written:
            self.close(end)
        elif not e.ok:
            self.write_failed(end, e.skip_reason)
        else:
            self.read_next(end, first_line_written)

    def write_failed(self, end, skip_reason):
        """Ends what a failed write belongs to. `skip_reason`: see `WriteDone`."""
        conn = end.conn
        if end.is_client:
            self.client_ended(conn, "reset")
        elif skip_reason == "client-gone":  # `ReadEnded` follows too, perhaps much later
            self.client_ended(conn, "end")
        elif skip_reason:
            self.leg_not_sent(end.leg, skip_reason)
        elif not end.leg.written:
            self.end_leg(end.leg, Ending.CONNECT_FAILED)
        else:
            self.host_ended(end.leg, "reset")

    def read_next(self, end, first_line_written):
        """Starts the next read after a write is done. `first_line_written`: it was a leg's first line."""
        conn = end.conn
        if first_line_written:
            self.read(end)
        elif not end.is_client:
            self.read(conn.client)  # only now, so that no lines queue up here
        elif conn.move_reason and not conn.reason:
            self.move_now(conn)
        elif conn.up:
            self.read(conn.legs[-1].end)
        else:
            self.read(end)

    def close(self, end):
        """Half-closes a connection, after a pending write.

        Input is read until the other side closes too: a close with unread input would be a reset, which can
        destroy the last line on its way.
        """
        if end.closing_since or end.freed:
            return
        if end.writing_since:
            end.shutdown_when_written = True
            return
        end.closing_since = self.now
        self.active_conns.add(end.conn)
        if end.input_ended:
            self.free(end)
            return
        self.effects.append(ev.ShutdownWrite(end))
        if end.is_client:
            self.lingering[end] = None
        self.read(end)

    def shut_down(self, end, reset=False):
        """Ends both directions of a connection at once."""
        if end.freed:
            return
        end.closing_since = end.closing_since or self.now
        self.active_conns.add(end.conn)
        self.lingering.pop(end, None)
        if end.worker is not None:
            self.effects.append(ev.Shutdown(end, reset))
        # The end is noticed only by reading. Without this read, a socket that was waiting for the other side
        # to take its lines was never freed.
        if end.is_client or end.connected:
            self.read(end)
        if end.input_ended and not end.writing_since:
            self.free(end)

    def free(self, end):
        """Closes a socket with nothing pending; for a client's, also ends the connection and logs it."""
        if end.freed:
            return
        end.freed = True
        self.lingering.pop(end, None)
        self.open_sockets -= 1
        self.effects.append(ev.Free(end))
        if end.is_client:
            self.conns.pop(end.conn, None)
            self.awaiting_first_line.pop(end.conn, None)
            self.retire_id(end.conn)
            self.effects.append(ev.Log("closed", self.summary(end.conn)))

    def retire_id(self, conn):
        """Records that a connection's call, if it has one, has ended."""
        if conn.request:
            self.call_ids.end(conn.request.id, conn)

    def summary(self, conn):
        """What is logged about a connection at its end."""
        leg = conn.legs[-1] if conn.legs else None
        pairs = {"reason": conn.reason or "unknown", "s": (self.now - conn.accepted_at) / SECOND}
        if conn.request:
            pairs |= {"call": conn.request.id, "type": conn.type.name, "legs": len(conn.legs)}
        if leg:
            pairs["host"] = leg.host.name
        if conn.up:
            pairs["setup_ms"] = conn.setup_time / 1000
        return pairs

    def sweep(self):
        """Checks the time-outs of connections, four times a second."""
        self.call_later(SWEEP_INTERVAL, self.sweep)
        late = self.lateness.recent_max(self.now)
        for conn in self.active_conns.active():
            self.check_end(conn.client)
            if (
                conn.request is None
                and not conn.reason
                and self.now - conn.registered_at - late
                > (LATE_ARRIVAL_TIME if self.drain_controller.stopping else FIRST_LINE_TIMEOUT)
            ):
                self.dismiss(conn, "ping" if conn.pings else "no-first-line")
            for leg in conn.legs:
                if leg.end is not None:
                    self.check_end(leg.end)
        self.counters.hosts_down = self.balancer.membership.count_unavailable(self.now)
        if self.drain_controller.stopping:
            self.transfers.retry()
            self.drain_controller.stop_when_done()

    def check_end(self, end):
        """Gives up a peer that has not read for too long, and repeats a shutdown that had no effect."""
        if end.freed:
            return
        if (
            end.writing_since
            and self.now - end.writing_since - self.lateness.recent_max(self.now) > WRITE_TIMEOUT
            and not end.closing_since
        ):
            self.effects.append(ev.Log("stuck", {"client": end.is_client}, "warning"))
            if end.is_client:
                self.client_ended(end.conn, "stuck")
            elif end.leg.up:
                self.move(end.conn, "host-stuck")
            else:
                self.host_ended(end.leg, "stuck")
        elif end.closing_since and self.now - end.closing_since > LINGER_TIMEOUT:
            end.closing_since = self.now
            self.effects.append(ev.Shutdown(end))

    # The host list

    def get_or_add_host(self, name):
        """The host of that name, which is added if it is not known."""
        if name not in self.hosts:
            self.hosts[name] = Host(name, MessageDelays(self.slow_threshold), order=self.next_order())
        return self.hosts[name]

    def list_received(self, e):
        """Takes over an update of the host list and passes it to the balancer."""
        for name, address in e.addresses.items():
            self.get_or_add_host(name).address = address
        self.has_hosts = self.has_hosts or any(entry.state is io.HostState.UP for entry in e.update.entries)
        self.queue_event(e.update)
        # Dynamic weights arrive every second; only hosts that were added, removed or restarted are logged.
        new = [
            entry
            for entry in e.update.entries
            if not entry.equals_except_weight(self.entries.get(entry.host, NOT_LISTED))
        ]
        self.entries.update((entry.host, entry) for entry in new)
        gone = {entry.host for entry in e.update.entries if entry.state is io.HostState.GONE}
        if e.update.kind is not io.ListUpdateKind.CHANGES:
            gone |= self.hosts.keys() - e.addresses.keys()
        for name in gone:
            self.entries.pop(name, None)
            host = self.hosts.get(name)  # None: reported gone without ever having been known
            if host is not None:
                host.address = None
                if not host.legs:
                    del self.hosts[name]
        self.counters.hosts_listed = len(self.entries)
        if new or gone or e.update.kind is not io.ListUpdateKind.CHANGES:
            self.effects.append(
                ev.Log(
                    "list",
                    {
                        "news": e.update.kind.name.lower(),
                        "version": e.update.version,
                        "entries": len(e.update.entries),
                    },
                )
            )

    def list_failed(self, e):
        """Reports a failed request to a balancer that polls the list."""
        if self.config.server_list.polled:  # otherwise the last list stays in use
            self.queue_event(io.ListUpdate(io.ListUpdateKind.FAILED, took=e.took))

    # Reloads and the next process

    def settings_reloaded(self, e):
        """Applies other settings.

        Open calls and connections keep the traffic type and the limit on legs that they were opened with.
        """
        self.names, self.host_protocol = e.names, e.host_protocol
        self.apply_config(e.config)
        for host in self.hosts.values():
            host.message_delays.slow_threshold = self.slow_threshold
        self.counters.reconfig_ok += 1
        self.queue_event(io.Reconfigured(e.config))

    def reload_rejected(self, e):
        """Counts a rejected reload."""
        self.counters.reconfig_failed += 1

    def state_inherited(self, e):
        """Takes over the state of the previous process."""
        self.call_ids.remember(e.state.ids)
        self.queue_event(io.Inherited(e.state.records, e.state.sent))
        if e.state.draining:
            self.drain_controller.drain(ev.DrainRequested(True))

    def ids_requested(self, e):
        """Tells all ids that are taken. From now on `LinesRead.id_taken` tells what the successor takes."""
        e.reply(self.call_ids.all())

    def ids_learned(self, e):
        """Remembers ids that another process of this node has taken."""
        self.call_ids.remember(e.ids)

    def hand_over_requested(self, e):
        """Hands the state to the successor, with half of the sockets that are still free."""
        free = max(0, self.max_sockets - self.open_sockets)
        self.max_sockets -= free // 2
        e.reply(
            handover.snapshot(
                self.balancer,
                self.now,
                room=free // 2,
                draining=bool(self.drain_controller.draining),
                ids=tuple(self.call_ids.open),
            )
        )
