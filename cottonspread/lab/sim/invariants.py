"""Invariants of a simulated fleet, checked at every step on what machines write, receive and close.

No code is shared with the node, and none of its state is trusted, except that its own counters are recounted
(`check_counters`). Times have the tolerance of 50 ms that runs on sockets have. The first violation ends the
run: `InvariantError` says which invariant, for whom, and when.
"""

from collections import Counter, defaultdict, deque

from cottonspread.lab.sim.world import SECOND
from cottonspread.net import events as ev

TOLERANCE = 50_000
END_FORWARD_TIMEOUT, MAX_ECHO_DELAY, BAD_CLIENT_TIMEOUT, DRAIN_TIMEOUT = (
    SECOND,
    7 * SECOND,
    3 * SECOND,
    4 * SECOND,
)
CALM_PERIOD = 20 * SECOND  # after the last fault; from then on every well-behaved client must be served
COUNTER_CHECK_INTERVAL = 40  # steps of a process between two recounts of its counters
# How many timers a call may leave at the node, and for how long, in microseconds
TIMERS_PER_CALL, TIMER_LIFETIME = 8, 50 * SECOND

ANSWER, EFFECTS, DRAINS, COLD, COUNTERS, BOUND, PROGRESS, ORDER = (
    "rule 1",
    "rule 2",
    "rule 3",
    "rule 4",
    "books",
    "bounds",
    "progress",
    "order",
)


class InvariantError(AssertionError):
    """An invariant was violated."""

    def __init__(self, invariant, what, at, context):
        """`what`: the violation; `at`: its time in microseconds; `context`: the objects concerned."""
        super().__init__(f"{invariant}: {what}, at {at / SECOND:.6f} s: {context}")
        self.invariant, self.what, self.at, self.context = invariant, what, at, context


class Leg:
    """A first line on its way to a host, as observed at the node's machine.

    `active`: not ended or given up; `never_ran`: it cannot have run at the host; `up`: the host answered UP.
    """

    __slots__ = ("host", "sent", "side", "active", "never_ran", "up", "ended_at", "observed")

    def __init__(self, host, sent, side, observed):
        """`observed`: the call that the leg belongs to."""
        self.host, self.sent, self.side, self.observed = host, sent, side, observed
        self.active, self.never_ran, self.up, self.ended_at = True, False, False, 0


class ObservedCall:
    """One call of a client, observed from its first line on.

    `deadline`: the end of its guard time; `answer`: the node's final answer; `excuse`: why none is required.
    """

    __slots__ = (
        "id",
        "traffic_type",
        "call",
        "process",
        "node",
        "sent",
        "deadline",
        "answer",
        "answered_at",
        "legs",
        "moved",
        "closed_at",
        "excuse",
        "side",
        "accepted_at",
        "up_leg",
    )

    def __init__(self, id, traffic_type, call):
        """`traffic_type`: of the call; `call`: the client's call, None for a misbehaving client."""
        self.id, self.traffic_type, self.call, self.process, self.node = id, traffic_type, call, None, None
        self.sent, self.deadline, self.answer, self.answered_at, self.legs = 0, 0, b"", 0, []
        self.moved, self.closed_at, self.excuse, self.side, self.accepted_at = False, 0, "", None, 0
        self.up_leg = None  # the leg whose UP was forwarded to the client

    def __repr__(self):
        """Returns the call's history, for messages."""
        legs = [
            (leg.host, round(leg.sent / SECOND, 6), leg.up, leg.never_ran, leg.active) for leg in self.legs
        ]
        return (
            f"{self.id} {self.traffic_type.name} at {self.node and self.node.name}: "
            f"sent {self.sent / SECOND:.6f}, "
            f"said {self.answer!r} {self.answered_at / SECOND:.6f}, legs {legs}"
        )


class Invariants:
    """Checks all invariants of a fleet."""

    def __init__(self, fleet, checked=True):
        """`checked`: if false, violations are ignored."""
        self.fleet, self.world, self.checked = fleet, fleet.world, checked
        self.traffic_types = fleet.plan.experiment.load.types
        self.grace = round(fleet.plan.experiment.nodes.grace_ms * 1000)
        self.calls, self.by_client, self.receipts, self.pauses = {}, {}, set(), defaultdict(list)
        self.host_drained_since, self.host_started_at, self.host_start_reported_at = (
            defaultdict(dict),
            {},
            defaultdict(list),
        )
        self.run_counts, self.legs_by_side, self.check_counts = Counter(), {}, Counter()
        # IDs that another connection uses too; echoes that hosts have sent and clients have not received
        self.reused_ids, self.host_echoes = set(), defaultdict(deque)
        self.last_fault_end, self.partial_lines, self.last_echoes, self.served_clients, self.most = (
            0,
            {},
            {},
            set(),
            Counter(),
        )
        self.node_drained_since, self.dead_links, self.accept_times = {}, set(), defaultdict(deque)

    def fail(self, invariant, what, *context):
        """Raises InvariantError."""
        raise InvariantError(invariant, what, self.world.now, context)

    def require(self, holds, invariant, what, *context):
        """Counts a check, and fails if it does not hold."""
        self.check_counts[invariant] += 1
        if not holds and self.checked:
            self.fail(invariant, what, *context)

    # Faults that excuse violations

    def on_fault(self, fault):
        """Records a fault that was started."""
        self.last_fault_end = max(self.last_fault_end, self.world.now + round(fault.seconds * SECOND))

    def on_pause(self, node, since, until):
        """Records a time for which a node's process is stopped."""
        self.pauses[node].append((since, until))

    def was_paused(self, node, since, until):
        """Returns whether a node's process was stopped at some time in the interval."""
        return any(a <= until and b >= since for a, b in self.pauses.get(node, ()))

    def on_links_reset(self, links):
        """Does nothing: both sides see the reset."""
        pass

    def on_link_dead(self, link):
        """Records a link that delivers nothing more."""
        self.dead_links.add(link)

    # Calls

    def on_call_made(self, call):
        """Starts to observe a client's call."""
        self.calls[call.id] = self.by_client[call] = ObservedCall(call.id, call.traffic_type, call)

    def on_call_sent(self, call):
        """Handles a call whose first line is on its way to the node's machine."""
        observed = self.calls[call.id]
        observed.node, observed.side = call.node, call.side
        observed.sent, observed.deadline = (
            call.side.last_arrival,
            call.side.last_arrival + round(call.traffic_type.guard_ms * 1000),
        )
        self.world.at(observed.deadline + TOLERANCE + 1, self.check_answered, observed)

    def on_accepted(self, process, side):
        """Handles a connection that a node's process has accepted."""
        self.accept_times[process].append(self.world.now)
        side.peer.owner.accepted_at = self.world.now
        observed = self.call_of(side)
        if observed is not None:
            observed.process, observed.node, observed.accepted_at = process, process.node, self.world.now

    def call_of(self, side):
        """Returns the observed call on a node's side of a client connection, None for other connections."""
        return self.by_client.get(side.peer.owner)

    def check_answered(self, observed):
        """Requires that the call got its answer before its deadline, unless that is excused."""
        if (
            observed.answer
            or observed.excuse
            or observed.call.done
            and observed.call.how in ("left",)
            or self.was_paused(observed.node, observed.sent, observed.deadline + TOLERANCE)
        ):
            return
        if self.waited_in_listener(observed):
            return
        self.require(False, ANSWER, "no answer before the guard time", observed)

    def on_node_write(self, process, end, data):
        """Handles data that a node's machine is about to send."""
        side = end.worker.side
        if end.is_client:
            observed = self.call_of(side)
            if observed is not None:
                self.on_answer(observed, data)
        elif side not in self.legs_by_side:
            self.on_leg(process, end, side, data)

    @staticmethod
    def waited_in_listener(observed):
        """Returns whether the call lost its time in a shared listener while no process accepted."""
        return observed.node.shares_listener and (
            not observed.accepted_at or observed.accepted_at > observed.deadline - 2 * TOLERANCE
        )

    def on_rejected(self, process, side, line):
        """Handles a connection that was rejected: answered and closed as soon as it was accepted."""
        observed = self.call_of(side)
        if observed is not None:
            observed.process, observed.node, observed.accepted_at = process, process.node, self.world.now
            self.on_answer(observed, line)

    def on_answer(self, observed, data):
        """Handles a line to a client: its final answer, or what follows it."""
        now = self.world.now
        if data.startswith(b"MOVE"):
            observed.moved = True
        if observed.answer.startswith(b"UP"):
            return
        self.require(not observed.answer, ANSWER, "more than one final answer", observed, data)
        self.require(
            now <= observed.deadline + TOLERANCE
            or observed.deadline == 0
            or self.waited_in_listener(observed)
            or self.was_paused(observed.node, observed.sent, now),
            ANSWER,
            "answered after the guard time",
            observed,
            data,
        )
        observed.answer, observed.answered_at = data.split(b"\r\n")[0], now
        if observed.answer.startswith(b"UP"):
            observed.up_leg = next((leg for leg in reversed(observed.legs) if leg.up and leg.active), None)
        ran = [leg for leg in observed.legs if not leg.never_ran]
        if data.startswith(b"BUSY") and ran and observed.traffic_type.effect != "repeatable":
            self.require(
                observed.traffic_type.effect == "referenced" and observed.traffic_type.scope == "all",
                EFFECTS,
                "rejected though it may have run",
                observed,
            )

    # Legs

    def on_leg(self, process, end, side, line):
        """Handles the first line of a leg: checks that the call may be sent to this host now."""
        now, host = self.world.now, side.peer.endpoint.name
        client = end.conn.client.worker  # not by its ID, which may be another call's
        owner = client.side.peer.owner if client is not None else None
        observed = self.by_client.get(owner) or self.by_client.setdefault(
            owner, ObservedCall(f"bad {owner and owner.id}", self.traffic_types[0], None)
        )
        if observed.node is None:
            observed.process, observed.node = process, process.node
        leg = self.legs_by_side[side] = Leg(host, now, side, observed)
        if not observed.answer.startswith(b"UP"):
            self.require(not observed.answer, ANSWER, "a leg after the final answer", observed, host)
        if observed.deadline:
            self.require(
                now <= observed.deadline + TOLERANCE or self.was_paused(observed.node, observed.sent, now),
                ANSWER,
                "a leg after the guard time",
                observed,
                host,
            )
        self.require(
            not any(leg.active for leg in observed.legs), EFFECTS, "two legs at once", observed, host
        )
        ran, traffic_type = [leg for leg in observed.legs if not leg.never_ran], observed.traffic_type
        if ran and traffic_type.effect == "once-only":
            self.require(False, EFFECTS, "once-only sent again though it may have run", observed, host)
        elif ran and traffic_type.effect == "referenced":
            first, this = self.fleet.hosts[ran[0].host].machine, self.fleet.hosts[host].machine
            self.require(
                traffic_type.scope == "all"
                or getattr(first, traffic_type.scope) == getattr(this, traffic_type.scope),
                EFFECTS,
                "referenced sent where its repeats are not known",
                observed,
                host,
            )
            self.require(
                not traffic_type.remembered_ms
                or now <= ran[0].sent + traffic_type.remembered_ms * 1000 + TOLERANCE,
                EFFECTS,
                "referenced sent again after its time",
                observed,
                host,
            )
        since = self.host_drained_since[process].get(host)
        self.require(
            since is None or now <= since + self.grace + TOLERANCE,
            DRAINS,
            "a leg to a host that drains or is gone",
            observed,
            host,
            since,
        )
        observed.legs.append(leg)

    def on_worker_event(self, process, event):
        """Handles an event that the workers pass to the reducer; from then on the node knows of it."""
        end = getattr(event, "end", None)
        if end is None or end.is_client or end.worker is None:
            return
        leg = self.legs_by_side.get(end.worker.side)
        if leg is None or not leg.active:  # the node ignores what a leg sends after the node has given it up
            return
        if isinstance(event, ev.LinesRead) and not leg.up:
            word = event.data.split(None, 1)[0] if event.data.strip() else b""
            leg.up = word == b"UP"
            leg.never_ran |= word == b"BUSY"
            leg.active &= leg.up
        elif isinstance(event, ev.ReadEnded):
            leg.active = False
            self.on_host_ended(leg)
        elif isinstance(event, ev.WriteDone) and not event.ok and not leg.up:
            leg.never_ran = leg.never_ran or not end.leg.written
            leg.active = False

    def on_node_close(self, process, end, how):
        """Handles a connection that the node closes, or whose sending it ends."""
        if end.worker is None or end.worker.side is None:
            return
        side = end.worker.side
        if not end.is_client:
            leg = self.legs_by_side.get(side)
            if leg is not None:
                leg.active = False
            return
        observed = self.call_of(side)
        if observed is None or observed.closed_at or end.worker.transferred:
            return
        observed.closed_at = self.world.now
        if observed.answer.startswith(b"UP") and not observed.moved:
            self.check_closed_without_move(observed, side)

    def check_closed_without_move(self, observed, side):
        """Checks that a connection closed without MOVE was not closed by the node's own decision.

        The reason must be the client, the host, or a fault.
        """
        leg = observed.up_leg
        closed_by_others = (
            side.eof
            or side.was_reset
            or observed.call is not None
            and (observed.call.done or observed.call.slow_until)
        )
        host = self.fleet.hosts[leg.host] if leg else None
        self.require(
            closed_by_others
            or leg is None
            or leg.ended_at
            or leg.side.eof
            or leg.side.was_reset
            or leg.side.link in self.dead_links
            or host.vanished
            or host.model.unresponsive,
            ANSWER,
            "cut off without MOVE while its host answered",
            observed,
        )

    def on_host_ended(self, leg):
        """Handles the end of a host's connection at the node, which must be forwarded within a second."""
        if leg.up and not leg.ended_at:
            leg.ended_at = self.world.now
            self.world.after(END_FORWARD_TIMEOUT + TOLERANCE, self.check_end_forwarded, leg)

    def check_end_forwarded(self, leg):
        """Requires that the end of a host's connection was forwarded to the client."""
        observed, call = leg.observed, leg.observed.call
        if (
            call is None
            or call.done
            or call.slow_until
            or observed.closed_at
            or observed.moved
            or observed.excuse
        ):
            return
        if (
            self.was_paused(observed.node, leg.ended_at, self.world.now)
            or observed.process is None
            or observed.process.dead
        ):
            return
        self.require(False, ANSWER, "a host's end passed on late", observed)

    # Hosts and clients

    def on_host_data(self, conn, data):
        """Handles data at a host: a client's lines must arrive in order, each once."""
        call = conn.call
        if call is None or not self.checked:
            return
        text = self.partial_lines.get(conn, b"") + data
        *complete_lines, self.partial_lines[conn] = text.split(b"\r\n")
        for line in complete_lines:
            if line.startswith(b"e"):
                last = self.last_echoes.get(conn, 0)
                self.require(
                    line == b"e%d" % (last + 1), ORDER, "lines to a host out of order", call.id, line, last
                )
                self.last_echoes[conn] = last + 1

    def on_host_write(self, conn, line):
        """Records an echo that a host sends."""
        if line.startswith(b"e"):
            self.host_echoes[conn].append(line)

    def on_host_record(self, line):
        """Handles a line of the hosts' record."""
        kind = line["k"]
        if kind == "ran":
            self.run_counts[line["id"]] += 1
            observed = self.calls.get(line["id"])
            if observed is not None and self.run_counts[line["id"]] > 1 and line["id"] not in self.reused_ids:
                self.require(observed.traffic_type.effect != "once-only", EFFECTS, "ran twice", observed)
        elif kind == "up":
            self.receipts.add((line["id"], line["receipt"]))
        elif kind == "started":
            self.host_started_at[line["host"]] = self.world.now
        elif kind == "syntax":
            self.require(False, ANSWER, "a host could not read its first line", line)
        elif kind == "tipped":
            host, started = line["host"], self.host_started_at.get(line["host"], 0)
            known = [at for at in self.host_start_reported_at[host] if at >= started]
            # A node cannot spare a cold host before a list has reported its start.
            self.require(
                not known or self.world.now < min(known) + TOLERANCE,
                COLD,
                "a cold host was overloaded",
                host,
                line["v"],
            )

    def on_client_line(self, call, line):
        """Handles a line that a client receives."""
        if line.startswith(b"UP "):
            self.require(
                (call.id, line[3:].decode()) in self.receipts,
                ANSWER,
                "UP that no host gave",
                self.calls[call.id],
                line,
            )
        elif line.startswith(b"e"):
            observed = self.calls[call.id]
            host_echoes = self.host_echoes[observed.up_leg and observed.up_leg.side.peer.owner]
            self.require(
                host_echoes and host_echoes.popleft() == line,
                ORDER,
                "a host's lines, lost, changed or out of order",
                observed,
                line,
            )

    def on_client_done(self, call, how):
        """Handles the end of a client's call."""
        observed = self.calls[call.id]
        if call.up:
            self.served_clients.add(call.schedule_index)
        now = self.world.now
        # A client that has disconnected, or was ended with the run, expects no more echoes.
        if (
            call.unanswered_lines
            and not call.slow_until
            and how not in ("left", "broke-off", "cut")
            and not self.was_paused(call.node, call.unanswered_lines[0], now)
            and (observed.process is not None and not observed.excuse)
        ):
            self.require(
                now - call.unanswered_lines[0] <= MAX_ECHO_DELAY + TOLERANCE,
                ANSWER,
                "silent for over 7 s",
                observed,
                now - call.unanswered_lines[0],
            )
        if how in ("end", "reset") and call.up and not call.slow_until:
            process = observed.process
            excused = observed.excuse or process is None or process.dead
            self.require(
                excused or observed.closed_at or self.was_paused(observed.node, call.up, now),
                ANSWER,
                "an established connection broke",
                observed,
                how,
            )
        if how in ("end", "reset") and not call.answers and call.sent and not observed.answer:
            process = observed.process
            self.require(
                observed.excuse or process is None or process.dead,
                ANSWER,
                "ended without an answer",
                observed,
                how,
            )

    def on_bad_client(self, bad_client):
        """Schedules the check that a misbehaving client gets an error or a close."""
        if bad_client.kind not in ("hangs-up", "crowd") and bad_client.kind != "same-id":
            self.world.after(BAD_CLIENT_TIMEOUT + TOLERANCE, self.check_bad_client, bad_client)

    def check_bad_client(self, bad_client):
        """Requires that a misbehaving client was answered or closed in time after a process accepted it."""
        if (
            bad_client.closed
            or self.was_paused(bad_client.node, bad_client.connected_at, self.world.now)
            or not bad_client.accepted_at
        ):
            return
        left = bad_client.accepted_at + BAD_CLIENT_TIMEOUT + TOLERANCE - self.world.now
        if left > 0:
            self.world.after(left, self.check_bad_client, bad_client)
        else:
            self.require(
                False,
                ANSWER,
                "a misbehaving client was neither answered nor closed",
                bad_client.kind,
                bad_client.id,
            )

    # The list

    def on_list_answer(self, process, is_full, hosts):
        """Handles an answer of the list; `hosts` holds (name, lifecycle, start time)."""
        now, drained_since, named = self.world.now, self.host_drained_since[process], set()
        for name, state, started in hosts:
            named.add(name)
            if state in ("Terminating", "Gone"):
                drained_since.setdefault(name, now)
            else:
                drained_since.pop(name, None)
                if started:
                    self.host_start_reported_at[name].append(now)
        if is_full:
            for name in self.fleet.hosts:
                if name not in named:
                    drained_since.setdefault(name, now)

    # Processes

    def after_step(self, process):
        """Checks the descriptor count after a step of a reducer, and all counters from time to time."""
        if not self.checked:
            return
        reducer, contract = process.reducer, process.contract
        held = len(contract.ends) + sum(contract.probes.values())
        if reducer.open_sockets != held:  # events that are still queued are not in its count
            waiting = [event for _, event in process.queue]
            held -= sum(
                isinstance(e, ev.ClientAccepted) + 2 * isinstance(e, ev.TransferOffered) for e in waiting
            )
            held += sum(isinstance(e, ev.ProbeDone) for e in waiting)
            self.require(
                reducer.open_sockets == held,
                COUNTERS,
                "descriptors",
                process.node.name,
                reducer.open_sockets,
                held,
            )
        if process.steps % COUNTER_CHECK_INTERVAL == 0:
            self.check_counters(process)

    def check_counters(self, process):
        """Recounts the sums that a node keeps, and checks the bounds of its tables."""
        reducer, balancer, name = process.reducer, process.reducer.balancer, process.node.name
        hosts = balancer.membership.hosts.values()
        up = [h for h in hosts if h.up]
        self.require(
            balancer.sums.legs == sum(len(h.legs) for h in up),
            COUNTERS,
            "legs on hosts that are up",
            name,
            balancer.sums.legs,
        )
        for h in hosts:
            load = sum(leg.load for leg in h.legs) + balancer.loads.GROUP_COST * len(+h.groups)
            self.require(h.load == load, COUNTERS, "load of a host", name, h.name, h.load, load)
            self.require(
                h.setups == sum(not leg.accepted for leg in h.legs),
                COUNTERS,
                "set-ups of a host",
                name,
                h.name,
            )
        self.require(
            balancer.sums.load == sum(h.load for h in up),
            COUNTERS,
            "load on hosts that are up",
            name,
            balancer.sums.load,
        )
        open_ids = {c.request.id for c in reducer.conns if c.request and not c.reason}
        self.require(open_ids <= reducer.call_ids.open.keys(), COUNTERS, "ids of calls that are open", name)
        established = sum(len(s.legs) for s in reducer.hosts.values())
        self.require(
            established == sum(c.up and not c.legs[-1].ended for c in reducer.conns),
            COUNTERS,
            "established legs",
            name,
            established,
        )
        conns = len(reducer.conns)
        self.require(
            len(balancer.records) <= balancer.records.MAX_IDLE_KEYS + reducer.max_sockets + 1,
            BOUND,
            "records",
            name,
        )
        self.require(
            len(reducer.awaiting_first_line) <= conns and len(reducer.balancer_events) == 0,
            BOUND,
            "clients without a line",
            name,
        )
        self.require(
            process.max_queue <= 3 * (process.own_max_sockets + 64) + 64,
            BOUND,
            "the event queue",
            name,
            process.max_queue,
        )
        self.require(
            len(balancer.calls) <= conns + reducer.probes,
            BOUND,
            "the balancer's calls",
            name,
            len(balancer.calls),
            conns,
        )
        accept_times = self.accept_times[process]
        while accept_times and accept_times[0] < self.world.now - TIMER_LIFETIME:
            accept_times.popleft()
        self.require(
            len(reducer.timers) <= 64 + TIMERS_PER_CALL * (len(accept_times) + conns),
            BOUND,
            "timers",
            name,
            len(reducer.timers),
            len(accept_times),
        )

    def on_process_exit(self, process):
        """Handles the end of a process: its open calls are excused if it was killed, else checked."""
        for observed in self.calls.values():
            if observed.process is process and not observed.closed_at:
                if process.dead == "killed":
                    observed.excuse = observed.excuse or "killed"
                elif (
                    observed.call is not None
                    and not observed.call.done
                    and not observed.moved
                    and self.checked
                ):
                    self.check_unfinished_call(observed)

    def check_unfinished_call(self, observed):
        """Checks a call that was open when its node ended by itself."""
        if observed.side is None or observed.sent > self.world.now:
            observed.excuse = "not received"  # its line had not arrived yet
        elif not observed.answer:
            self.require(False, ANSWER, "a node ended with a call that it had not answered", observed)
        elif observed.answer.startswith(b"UP"):
            self.check_closed_without_move(observed, observed.side.peer)

    def on_forced_kill(self, process):
        """Handles a SIGKILL that follows SIGTERM: only a process that was paused may need it."""
        self.require(
            self.was_paused(process.node, self.world.now - 8 * SECOND, self.world.now),
            ANSWER,
            "a node was still running at its SIGKILL",
            process.node.name,
            len(process.reducer.conns),
        )

    def on_connection_transferred(self, process, effect, new):
        """Handles an established connection that was passed on to another process."""
        client, _ = new
        observed = self.call_of(client.side)
        if observed is not None:
            observed.process = client.process

    def on_drain(self, process):
        """Schedules the check that a drained node moves its clients."""
        since = self.node_drained_since[process] = self.world.now
        self.world.after(DRAIN_TIMEOUT + TOLERANCE, self.check_drained, process, since)

    def on_resume(self, process):
        """Records that a drained node serves again."""
        self.node_drained_since.pop(process, None)

    def check_drained(self, process, since):
        """Requires that a drained node has moved its established connections."""
        if (
            self.node_drained_since.get(process) != since
            or process.dead
            or self.was_paused(process.node, since, self.world.now)
        ):
            return
        for observed in self.calls.values():
            if (
                observed.process is process
                and observed.answer.startswith(b"UP")
                and not observed.moved
                and not observed.closed_at
                and (observed.call is not None and not observed.call.done and not observed.call.slow_until)
            ):
                self.require(False, ANSWER, "kept by a drained node and not moved", observed)

    # The end

    def check_at_end(self):
        """Checks at the end of the traffic that clients were served, and recounts all counters."""
        if not self.checked:
            return
        calm_since, latest_calls = self.last_fault_end + CALM_PERIOD, {}
        if 2 * sum(
            host.model.state == "up" and not host.vanished for host in self.fleet.hosts.values()
        ) < len(self.fleet.hosts):
            calm_since = self.world.now  # too few hosts are left for the load
        for observed in self.calls.values():
            call = observed.call
            if call is not None and not call.retry and not call.again and call.intended >= calm_since:
                latest_calls[call.schedule_index] = observed
        for index, observed in latest_calls.items():
            if observed.call.intended < self.fleet.clients.traffic_end - 5 * SECOND:
                self.require(
                    index in self.served_clients,
                    PROGRESS,
                    "a well-behaved client was not served although there was no fault",
                    observed,
                )
        for node in self.fleet.nodes:
            for process in node.processes:
                self.check_counters(process)

    def check_all_released(self):
        """Requires that every process has ended after SIGTERM."""
        for node in self.fleet.nodes:
            for process in node.processes:
                self.require(
                    self.was_paused(node, self.world.now - 8 * SECOND, self.world.now),
                    COUNTERS,
                    "a node did not end after SIGTERM",
                    node.name,
                    len(process.reducer.conns),
                    process.reducer.open_sockets,
                )
