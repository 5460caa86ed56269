"""What must hold at every step of a simulated fleet, checked at the machines' edges: on
what is written, heard and closed there.

No code is shared with the node, and none of its words is believed but where its own books are counted
over (`books`). Times allow the 50 ms that sockets get. The first promise that breaks ends the play:
`InvariantError` says which, of whom, and when.
"""

from collections import Counter, defaultdict, deque

from cottonspread.lab.sim.world import SECOND
from cottonspread.net import events as ev

SLACK = 50_000
PASSED_ON, SILENCE, BAD, DRAINED = SECOND, 7 * SECOND, 3 * SECOND, 4 * SECOND
CALM = 20 * SECOND  # after the last trouble: by then every sound client is served
BOOKS = 40  # steps of a process between two counts of all its sums
TIMERS, LONGEST = 8, 50 * SECOND  # what a call may leave in the node's timers at most, and for how long

ANSWER, EFFECTS, DRAINS, COLD, BOOK, BOUND, PROGRESS, ORDER = (
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
    """A promise did not hold."""

    def __init__(self, invariant, what, at, full):
        super().__init__(f"{invariant}: {what}, at {at / SECOND:.6f} s: {full}")
        self.invariant, self.what, self.at, self.full = invariant, what, at, full


class Leg:
    """A first line on its way to a host, as the node's machine sees it."""

    __slots__ = ("host", "sent", "side", "out", "never", "up", "ended", "watch")

    def __init__(self, host, sent, side, watch):
        self.host, self.sent, self.side, self.watch = host, sent, side, watch
        self.out, self.never, self.up, self.ended = True, False, False, 0


class Watch:
    """One call of a client, from its line on."""

    __slots__ = (
        "id",
        "kind",
        "call",
        "process",
        "node",
        "sent",
        "guard",
        "said",
        "said_at",
        "legs",
        "moved",
        "closed",
        "excused",
        "side",
        "taken",
        "leg",
    )

    def __init__(self, id, kind, call):
        self.id, self.kind, self.call, self.process, self.node = id, kind, call, None, None
        self.sent, self.guard, self.said, self.said_at, self.legs = 0, 0, b"", 0, []
        self.moved, self.closed, self.excused, self.side, self.taken = False, 0, "", None, 0
        self.leg = None  # the one whose UP was passed on

    def __repr__(self):
        legs = [(leg.host, round(leg.sent / SECOND, 6), leg.up, leg.never, leg.out) for leg in self.legs]
        return (
            f"{self.id} {self.kind.name} at {self.node and self.node.name}: sent {self.sent / SECOND:.6f}, "
            f"said {self.said!r} {self.said_at / SECOND:.6f}, legs {legs}"
        )


class Invariants:
    def __init__(self, fleet, checked=True):
        self.fleet, self.world, self.checked = fleet, fleet.world, checked
        self.kinds = fleet.plan.experiment.load.types
        self.grace = round(fleet.plan.experiment.nodes.grace_ms * 1000)
        self.calls, self.watches, self.receipts, self.still = {}, {}, set(), defaultdict(list)
        self.unfit, self.starts, self.known = defaultdict(dict), {}, defaultdict(list)
        self.ran, self.legs_of, self.seen = Counter(), {}, Counter()
        # ids that others use too; echoes that hosts have sent
        self.stolen, self.echoed = set(), defaultdict(deque)
        self.quiet_from, self.lines, self.echoes, self.reached, self.most = 0, {}, {}, set(), Counter()
        self.drains, self.shaky, self.came = {}, set(), defaultdict(deque)

    def broken(self, invariant, what, *full):
        raise InvariantError(invariant, what, self.world.now, full)

    def need(self, true, invariant, what, *full):
        self.seen[invariant] += 1
        if not true and self.checked:
            self.broken(invariant, what, *full)

    # Troubles, as far as they excuse

    def trouble(self, one):
        self.quiet_from = max(self.quiet_from, self.world.now + round(one.seconds * SECOND))

    def stood_still(self, node, since, until):
        self.still[node].append((since, until))

    def stood(self, node, since, until):
        """Whether a node's process was stopped at some time between."""
        return any(a <= until and b >= since for a, b in self.still.get(node, ()))

    def snapped(self, links):
        pass

    def went_dead(self, link):
        self.shaky.add(link)

    # Calls

    def calls_made(self, call):
        self.calls[call.id] = self.watches[call] = Watch(call.id, call.kind, call)

    def opened(self, call):
        """Its line is on its way to the node's machine."""
        watch = self.calls[call.id]
        watch.node, watch.side = call.node, call.side
        watch.sent, watch.guard = (
            call.side.last_arrival,
            call.side.last_arrival + round(call.kind.guard_ms * 1000),
        )
        self.world.at(watch.guard + SLACK + 1, self.overdue, watch)

    def accepted(self, process, side):
        self.came[process].append(self.world.now)
        side.peer.owner.accepted_at = self.world.now
        watch = self.of_client(side)
        if watch is not None:
            watch.process, watch.node, watch.taken = process, process.node, self.world.now

    def of_client(self, side):
        """The call on this side of a node's, if it is a player's."""
        return self.watches.get(side.peer.owner)

    def overdue(self, watch):
        if (
            watch.said
            or watch.excused
            or watch.call.done
            and watch.call.how in ("left",)
            or self.stood(watch.node, watch.sent, watch.guard + SLACK)
        ):
            return
        if self.waited(watch):
            return
        self.need(False, ANSWER, "no answer before the guard time", watch)

    def writes(self, process, end, data):
        """A node's machine is to carry this."""
        side = end.worker.side
        if end.client:
            watch = self.of_client(side)
            if watch is not None:
                self.answers(watch, data)
        elif side not in self.legs_of:
            self.leg(process, end, side, data)

    @staticmethod
    def waited(watch):
        """Whether it has lost its time in the platform's listener, while there was no process to take it."""
        return watch.node.shares_listener and (not watch.taken or watch.taken > watch.guard - 2 * SLACK)

    def turned_away(self, process, side, line):
        watch = self.of_client(side)
        if watch is not None:
            watch.process, watch.node, watch.taken = process, process.node, self.world.now
            self.answers(watch, line)

    def answers(self, watch, data):
        now = self.world.now
        if data.startswith(b"MOVE"):
            watch.moved = True
        if watch.said.startswith(b"UP"):
            return
        self.need(not watch.said, ANSWER, "more than one final answer", watch, data)
        self.need(
            now <= watch.guard + SLACK
            or watch.guard == 0
            or self.waited(watch)
            or self.stood(watch.node, watch.sent, now),
            ANSWER,
            "answered after the guard time",
            watch,
            data,
        )
        watch.said, watch.said_at = data.split(b"\r\n")[0], now
        if watch.said.startswith(b"UP"):
            watch.leg = next((leg for leg in reversed(watch.legs) if leg.up and leg.out), None)
        ran = [leg for leg in watch.legs if not leg.never]
        if data.startswith(b"BUSY") and ran and watch.kind.effect != "repeatable":
            self.need(
                watch.kind.effect == "referenced" and watch.kind.scope == "all",
                EFFECTS,
                "rejected though it may have run",
                watch,
            )

    # Legs

    def leg(self, process, end, side, line):
        now, host = self.world.now, side.peer.endpoint.name
        client = end.conn.client.worker  # what its client calls itself may be another's id
        owner = client.side.peer.owner if client is not None else None
        watch = self.watches.get(owner) or self.watches.setdefault(
            owner, Watch(f"bad {owner and owner.id}", self.kinds[0], None)
        )
        if watch.node is None:
            watch.process, watch.node = process, process.node
        leg = self.legs_of[side] = Leg(host, now, side, watch)
        if not watch.said.startswith(b"UP"):
            self.need(not watch.said, ANSWER, "a leg after the final answer", watch, host)
        if watch.guard:
            self.need(
                now <= watch.guard + SLACK or self.stood(watch.node, watch.sent, now),
                ANSWER,
                "a leg after the guard time",
                watch,
                host,
            )
        self.need(not any(one.out for one in watch.legs), EFFECTS, "two legs at once", watch, host)
        ran, kind = [one for one in watch.legs if not one.never], watch.kind
        if ran and kind.effect == "once-only":
            self.need(False, EFFECTS, "once-only sent again though it may have run", watch, host)
        elif ran and kind.effect == "referenced":
            first, this = self.fleet.hosts[ran[0].host].machine, self.fleet.hosts[host].machine
            self.need(
                kind.scope == "all" or getattr(first, kind.scope) == getattr(this, kind.scope),
                EFFECTS,
                "referenced sent where its repeats are not known",
                watch,
                host,
            )
            self.need(
                not kind.remembered_ms or now <= ran[0].sent + kind.remembered_ms * 1000 + SLACK,
                EFFECTS,
                "referenced sent again after its time",
                watch,
                host,
            )
        since = self.unfit[process].get(host)
        self.need(
            since is None or now <= since + self.grace + SLACK,
            DRAINS,
            "a leg to a host that drains or is gone",
            watch,
            host,
            since,
        )
        watch.legs.append(leg)

    def node_hears(self, process, event):
        """A word of the workers for the reducer: from then on the node knows."""
        end = getattr(event, "end", None)
        if end is None or end.client or end.worker is None:
            return
        leg = self.legs_of.get(end.worker.side)
        if leg is None or not leg.out:  # what comes from one that was given up is dropped
            return
        if isinstance(event, ev.Got) and not leg.up:
            word = event.data.split(None, 1)[0] if event.data.strip() else b""
            leg.up = word == b"UP"
            leg.never |= word == b"BUSY"
            leg.out &= leg.up
        elif isinstance(event, ev.Over):
            leg.out = False
            self.host_ended(leg)
        elif isinstance(event, ev.Written) and not event.ok and not leg.up:
            leg.never = leg.never or not end.leg.written
            leg.out = False

    def ends(self, process, end, how):
        """The node ends a connection, or its sending."""
        if end.worker is None or end.worker.side is None:
            return
        side = end.worker.side
        if not end.client:
            leg = self.legs_of.get(side)
            if leg is not None:
                leg.out = False
            return
        watch = self.of_client(side)
        if watch is None or watch.closed or end.worker.gone:
            return
        watch.closed = self.world.now
        if watch.said.startswith(b"UP") and not watch.moved:
            self.cut_off(watch, side)

    def cut_off(self, watch, side):
        """A standing connection was ended without MOVE: by its client, by its
        host, or by nobody's will but the node's.
        """
        leg = watch.leg
        theirs = (
            side.eof
            or side.was_reset
            or watch.call is not None
            and (watch.call.done or watch.call.slow_until)
        )
        host = self.fleet.hosts[leg.host] if leg else None
        self.need(
            theirs
            or leg is None
            or leg.ended
            or leg.side.eof
            or leg.side.was_reset
            or leg.side.link in self.shaky
            or host.gone
            or host.model.deaf,
            ANSWER,
            "cut off without MOVE while its host answered",
            watch,
        )

    def host_ended(self, leg):
        """A host's end has come to the node: it is passed on within a second."""
        if leg.up and not leg.ended:
            leg.ended = self.world.now
            self.world.after(PASSED_ON + SLACK, self.passed_on, leg)

    def passed_on(self, leg):
        watch, call = leg.watch, leg.watch.call
        if call is None or call.done or call.slow_until or watch.closed or watch.moved or watch.excused:
            return
        if self.stood(watch.node, leg.ended, self.world.now) or watch.process is None or watch.process.dead:
            return
        self.need(False, ANSWER, "a host's end passed on late", watch)

    # Hosts and clients

    def host_has(self, conn, data):
        """Bytes at a host: a client's lines come in their order, each once."""
        call = conn.call
        if call is None or not self.checked:
            return
        text = self.lines.get(conn, b"") + data
        *whole, self.lines[conn] = text.split(b"\r\n")
        for line in whole:
            if line.startswith(b"e"):
                last = self.echoes.get(conn, 0)
                self.need(
                    line == b"e%d" % (last + 1), ORDER, "lines to a host out of order", call.id, line, last
                )
                self.echoes[conn] = last + 1

    def host_writes(self, conn, line):
        if line.startswith(b"e"):
            self.echoed[conn].append(line)

    def host_said(self, line):
        kind = line["k"]
        if kind == "ran":
            self.ran[line["id"]] += 1
            watch = self.calls.get(line["id"])
            if watch is not None and self.ran[line["id"]] > 1 and line["id"] not in self.stolen:
                self.need(watch.kind.effect != "once-only", EFFECTS, "ran twice", watch)
        elif kind == "up":
            self.receipts.add((line["id"], line["receipt"]))
        elif kind == "started":
            self.starts[line["host"]] = self.world.now
        elif kind == "syntax":
            self.need(False, ANSWER, "a host could not read its first line", line)
        elif kind == "tipped":
            host, started = line["host"], self.starts.get(line["host"], 0)
            known = [at for at in self.known[host] if at >= started]
            # Nobody could hold back for a start that no list had told yet.
            self.need(
                not known or self.world.now < min(known) + SLACK,
                COLD,
                "a cold host was pushed over",
                host,
                line["v"],
            )

    def client_has(self, call, line):
        if line.startswith(b"UP "):
            self.need(
                (call.id, line[3:].decode()) in self.receipts,
                ANSWER,
                "UP that no host gave",
                self.calls[call.id],
                line,
            )
        elif line.startswith(b"e"):
            watch = self.calls[call.id]
            echoed = self.echoed[watch.leg and watch.leg.side.peer.owner]
            self.need(
                echoed and echoed.popleft() == line,
                ORDER,
                "a host's lines, lost, changed or out of order",
                watch,
                line,
            )

    def client_done(self, call, how):
        watch = self.calls[call.id]
        if call.up:
            self.reached.add(call.schedule_index)
        now = self.world.now
        # A client that broke off or was cut asks for nothing more.
        if (
            call.unanswered_lines
            and not call.slow_until
            and how not in ("left", "broke-off", "cut")
            and not self.stood(call.node, call.unanswered_lines[0], now)
            and (watch.process is not None and not watch.excused)
        ):
            self.need(
                now - call.unanswered_lines[0] <= SILENCE + SLACK,
                ANSWER,
                "silent for over 7 s",
                watch,
                now - call.unanswered_lines[0],
            )
        if how in ("end", "reset") and call.up and not call.slow_until:
            process = watch.process
            excused = watch.excused or process is None or process.dead
            self.need(
                excused or watch.closed or self.stood(watch.node, call.up, now),
                ANSWER,
                "a standing connection broke",
                watch,
                how,
            )
        if how in ("end", "reset") and not call.answers and call.sent and not watch.said:
            process = watch.process
            self.need(
                watch.excused or process is None or process.dead,
                ANSWER,
                "ended without an answer",
                watch,
                how,
            )

    def on_bad_client(self, one):
        if one.kind not in ("hangs-up", "crowd") and one.kind != "same-id":
            self.world.after(BAD + SLACK, self.bad_waited, one)

    def bad_waited(self, one):
        if one.closed or self.stood(one.node, one.connected_at, self.world.now) or not one.accepted_at:
            return
        left = one.accepted_at + BAD + SLACK - self.world.now
        if left > 0:
            self.world.after(left, self.bad_waited, one)
        else:
            self.need(False, ANSWER, "a bad client was neither told nor closed", one.kind, one.id)

    # The list

    def told(self, process, whole, hosts):
        now, unfit, named = self.world.now, self.unfit[process], set()
        for name, state, started in hosts:
            named.add(name)
            if state in ("Terminating", "Gone"):
                unfit.setdefault(name, now)
            else:
                unfit.pop(name, None)
                if started:
                    self.known[name].append(now)
        if whole:
            for name in self.fleet.hosts:
                if name not in named:
                    unfit.setdefault(name, now)

    # Processes

    def after_step(self, process):
        """After every step of a reducer."""
        if not self.checked:
            return
        reducer, contract = process.reducer, process.contract
        held = len(contract.ends) + sum(contract.probes.values())
        if reducer.ends != held:  # what waits in its queue is not in its count yet
            waiting = [event for _, event in process.queue]
            held -= sum(isinstance(e, ev.Came) + 2 * isinstance(e, ev.Adopted) for e in waiting)
            held += sum(isinstance(e, ev.Asked) for e in waiting)
            self.need(reducer.ends == held, BOOK, "descriptors", process.node.name, reducer.ends, held)
        if process.steps % BOOKS == 0:
            self.books(process)

    def books(self, process):
        reducer, module, name = process.reducer, process.reducer.module, process.node.name
        hosts = module.membership.hosts.values()
        up = [h for h in hosts if h.up]
        self.need(
            module.sums.legs == sum(len(h.legs) for h in up),
            BOOK,
            "legs on hosts that are up",
            name,
            module.sums.legs,
        )
        for h in hosts:
            load = sum(leg.load for leg in h.legs) + module.loads.GROUP * len(+h.groups)
            self.need(h.load == load, BOOK, "load of a host", name, h.name, h.load, load)
            self.need(
                h.setups == sum(not leg.accepted for leg in h.legs), BOOK, "set-ups of a host", name, h.name
            )
        self.need(
            module.sums.load == sum(h.load for h in up),
            BOOK,
            "load on hosts that are up",
            name,
            module.sums.load,
        )
        open_ids = {c.opening.id for c in reducer.conns if c.opening and not c.reason}
        self.need(open_ids <= reducer.by_id.keys(), BOOK, "ids of calls that are open", name)
        standing = sum(len(s.legs) for s in reducer.servers.values())
        self.need(
            standing == sum(c.up and not c.legs[-1].ended for c in reducer.conns),
            BOOK,
            "standing legs",
            name,
            standing,
        )
        conns = len(reducer.conns)
        self.need(len(module.records) <= module.records.MOST + reducer.most_ends + 1, BOUND, "records", name)
        self.need(
            len(reducer.unopened) <= conns and len(reducer.told) == 0, BOUND, "clients without a line", name
        )
        self.need(
            process.most_queue <= 3 * (process.all + 64) + 64,
            BOUND,
            "the queue of events",
            name,
            process.most_queue,
        )
        self.need(
            len(module.calls) <= conns + reducer.probes,
            BOUND,
            "the module's calls",
            name,
            len(module.calls),
            conns,
        )
        came = self.came[process]
        while came and came[0] < self.world.now - LONGEST:
            came.popleft()
        self.need(
            len(reducer.timers) <= 64 + TIMERS * (len(came) + conns),
            BOUND,
            "timers",
            name,
            len(reducer.timers),
            len(came),
        )

    def process_ended(self, process):
        for watch in self.calls.values():
            if watch.process is process and not watch.closed:
                if process.dead == "killed":
                    watch.excused = watch.excused or "killed"
                elif watch.call is not None and not watch.call.done and not watch.moved and self.checked:
                    self.left_behind(watch)

    def left_behind(self, watch):
        """Its node ended by itself with this call open."""
        if watch.side is None or watch.sent > self.world.now:
            watch.excused = "not taken"  # its line had not come yet
        elif not watch.said:
            self.need(False, ANSWER, "a node ended with a call that it had not answered", watch)
        elif watch.said.startswith(b"UP"):
            self.cut_off(watch, watch.side.peer)

    def overstayed(self, process):
        self.need(
            self.stood(process.node, self.world.now - 8 * SECOND, self.world.now),
            ANSWER,
            "a node was still there at its SIGKILL",
            process.node.name,
            len(process.reducer.conns),
        )

    def passed(self, process, order, new):
        """A standing connection is another process's now."""
        client, _ = new
        watch = self.of_client(client.side)
        if watch is not None:
            watch.process = client.process

    def drained(self, process):
        since = self.drains[process] = self.world.now
        self.world.after(DRAINED + SLACK, self.drained_by_now, process, since)

    def resumed(self, process):
        self.drains.pop(process, None)

    def drained_by_now(self, process, since):
        if (
            self.drains.get(process) != since
            or process.dead
            or self.stood(process.node, since, self.world.now)
        ):
            return
        for watch in self.calls.values():
            if (
                watch.process is process
                and watch.said.startswith(b"UP")
                and not watch.moved
                and not watch.closed
                and (watch.call is not None and not watch.call.done and not watch.call.slow_until)
            ):
                self.need(False, ANSWER, "held by a drained node, and not moved", watch)

    # The end

    def check_at_end(self):
        if not self.checked:
            return
        calm, asked = self.quiet_from + CALM, {}
        if 2 * sum(host.model.state == "up" and not host.gone for host in self.fleet.hosts.values()) < len(
            self.fleet.hosts
        ):
            calm = self.world.now  # too few are left to bear it all
        for watch in self.calls.values():
            call = watch.call
            if call is not None and not call.retry and not call.again and call.intended >= calm:
                asked[call.schedule_index] = watch
        for first, watch in asked.items():
            if watch.call.intended < self.fleet.clients.traffic_end - 5 * SECOND:
                self.need(
                    first in self.reached, PROGRESS, "a sound client was not served though all is calm", watch
                )
        for node in self.fleet.nodes:
            for process in node.processes:
                self.books(process)

    def check_all_released(self):
        """Every process was told to stop, and has."""
        for node in self.fleet.nodes:
            for process in node.processes:
                self.need(
                    self.stood(node, self.world.now - 8 * SECOND, self.world.now),
                    BOOK,
                    "a node that did not end",
                    node.name,
                    len(process.reducer.conns),
                    process.reducer.ends,
                )
