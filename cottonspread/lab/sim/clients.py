"""Simulated clients: the lab's schedule of first calls, retries and reconnects; and misbehaving clients."""

import contextlib

import numpy as np

from cottonspread.lab import wire
from cottonspread.lab.client_policy import next_attempt
from cottonspread.lab.sim.network import Endpoint
from cottonspread.lab.sim.world import SECOND

ANSWER_TOLERANCE = 50_000  # microseconds that a client waits for an answer beyond its guard time
CONNECT_TIMEOUT = 3 * SECOND
BAD_KINDS = (
    "garbage",
    "endless",
    "half",
    "silent",
    "early",
    "unknown-type",
    "no-wait",
    "long-wait",
    "same-id",
    "hangs-up",
    "crowd",
    "shuts",
)


class Call:
    """One connection of a client."""

    __slots__ = (
        "clients",
        "schedule_index",
        "id",
        "traffic_type",
        "key",
        "group",
        "again",
        "retry",
        "tries",
        "node",
        "intended",
        "begun",
        "sent",
        "side",
        "answers",
        "up",
        "splitter",
        "lines_sent",
        "unanswered_lines",
        "echo_count",
        "max_echo_delay",
        "how",
        "done",
        "slow_until",
        "accepted_at",
    )

    def __init__(
        self, clients, schedule_index, traffic_type, key, group, intended, again=False, retry=False, tries=0
    ):
        """`intended`: when the call was due; `again`: it is a reconnect; `tries`: retries before this one."""
        self.clients, self.schedule_index, self.traffic_type, self.key, self.group = (
            clients,
            schedule_index,
            traffic_type,
            key,
            group,
        )
        self.intended, self.again, self.retry, self.tries = intended, again, retry, tries
        self.id, self.node, self.begun, self.sent, self.side = "", None, 0, 0, None
        self.answers, self.up, self.splitter, self.lines_sent, self.unanswered_lines = (
            [],
            0,
            wire.LineSplitter(),
            0,
            [],
        )
        self.echo_count, self.max_echo_delay, self.how, self.done, self.slow_until, self.accepted_at = (
            0,
            0,
            "",
            False,
            0,
            0,
        )

    def on_connected(self, side, why):
        """Sends the first line once the connection is established; ends the call if it failed."""
        world = self.clients.world
        if self.done:
            if side is not None:
                side.close()
            return
        if side is None:
            self.clients.end_call(self, "refused" if why == "ECONNREFUSED" else "lost")
            return
        self.side = side
        self.clients.open_calls[self] = None
        try:
            side.send(
                wire.format_open(
                    self.id,
                    self.key,
                    self.traffic_type.name,
                    int(self.traffic_type.guard_ms),
                    self.group,
                    self.again,
                    self.retry,
                )
            )
        except BrokenPipeError:
            self.clients.end_call(self, "reset")
            return
        self.sent = world.now
        self.clients.fleet.invariants.on_call_sent(self)
        world.after(int(self.traffic_type.guard_ms) * 1000 + ANSWER_TOLERANCE, self.on_guard_expired)

    def on_readable(self, side):
        """Reads what has arrived, unless this client is a slow reader at present."""
        world = self.clients.world
        if self.done or world.now < self.slow_until:
            return
        if side.received:
            for line in self.splitter.feed(side.recv()):
                self.on_line(line)
                if self.done:
                    return
        if side.was_reset or side.eof:
            self.clients.on_node_ended(self, "reset" if side.was_reset else "end")

    def on_writable(self, side):
        """Does nothing: a client never waits to write."""
        pass

    def on_line(self, line):
        """Handles a line from the node."""
        now, clients = self.clients.world.now, self.clients
        clients.fleet.invariants.on_client_line(self, line)
        if not self.up or line.startswith(b"UP "):
            what, value = wire.parse_answer(line)
            self.answers.append([now, what, value])
            if len(self.answers) == 1 and what == "UP":
                self.up = now
                clients.on_up(self)
        elif line == b"MOVE":
            self.how = self.how or "moved"
        elif line == b"BYE":
            self.how = self.how or "bye"
        elif line.startswith(b"e") and self.unanswered_lines:
            self.echo_count += 1
            self.max_echo_delay = max(self.max_echo_delay, now - self.unanswered_lines.pop(0))

    def send_echo_line(self, every):
        """Sends a line for the host to echo, and schedules the next one `every` microseconds later."""
        world = self.clients.world
        if self.done:
            return
        world.after(every, self.send_echo_line, every)
        if world.now < self.slow_until:
            return
        self.lines_sent += 1
        self.unanswered_lines.append(world.now)
        with contextlib.suppress(BrokenPipeError):  # on_readable will report the end
            self.side.send(b"e%d\r\n" % self.lines_sent)

    def leave(self):
        """Ends the call at the end of its lifetime."""
        if not self.done:
            self.clients.end_call(self, "left")

    def on_guard_expired(self):
        """Ends a call that has had no answer within its guard time."""
        if not self.done and not self.answers:
            self.clients.end_call(self, "gave-up")


class Clients:
    """All clients of a run, and the front that distributes them over the nodes."""

    def __init__(self, fleet, schedule, only=None):
        """`schedule`: the first calls; `only`: the numbers of those to make, None for all."""
        self.fleet, self.world, self.plan = fleet, fleet.world, fleet.plan
        experiment = self.plan.experiment
        self.load, self.types, self.calls = experiment.load, experiment.load.types, schedule
        self.schedule_columns = {
            name: getattr(schedule, name).tolist() for name in schedule.__struct_fields__
        }
        self.reconnect_draws = (
            np.random.default_rng([self.plan.seed, 3, 0])
            .random(max(1, len(self.schedule_columns["at"])))
            .tolist()
        )
        self.traffic_end = round(experiment.seconds * SECOND)
        self.in_rotation, self.endpoint, self.connection_count, self.open_calls, self.established = (
            list(fleet.nodes),
            Endpoint("client"),
            0,
            {},
            {},
        )
        self.counts = {"offered": 0, "up": 0, "busy": 0, "other": 0, "none": 0, "moved": 0, "broken": 0}
        self.random, self.sole_target, self.late = self.world.random_stream("bad"), None, schedule.at.tolist()
        for n, at in enumerate(self.schedule_columns["at"]):
            if only is None or n in only:
                self.world.at(at, self.arrive, n, at)
        for shape in self.load.shapes:
            if shape.kind == "reconnect":
                self.world.at(
                    round(shape.start * SECOND),
                    self.disconnect_share,
                    shape.share,
                    round(shape.seconds * SECOND),
                )

    # The front

    def set_in_rotation(self, node, enabled):
        """Adds a node to those that the front sends clients to, or removes it."""
        if enabled and node not in self.in_rotation:
            self.in_rotation = [each for each in self.fleet.nodes if each in self.in_rotation or each is node]
        elif not enabled and node in self.in_rotation:
            self.in_rotation.remove(node)

    # Arrivals

    def arrive(self, n, at):
        """Starts the first call number `n` of the schedule."""
        c = self.schedule_columns
        self.start_call(Call(self, n, self.types[c["kind"][n]], f"k0-{n}", f"g{c['group'][n]}", at))

    def start_call(self, call):
        """Connects a call to a node."""
        self.connection_count += 1
        call.id, call.begun = f"0x{self.connection_count:x}", self.world.now
        candidates = self.in_rotation or self.fleet.nodes
        if self.sole_target is not None and self.world.now < self.sole_target[0]:
            candidates = [self.sole_target[1]]
        # a retry or reconnect uses another draw than the first call
        draw = self.schedule_columns["draw"][call.schedule_index] + 2654435761 * (call.tries + call.again)
        call.node = candidates[draw % len(candidates)]
        self.counts["offered"] += 1
        self.fleet.invariants.on_call_made(call)
        self.world.network.connect(
            call, self.endpoint, call.node.endpoint, CONNECT_TIMEOUT, call.on_connected
        )

    def schedule_call(self, call, wait, again):
        """Schedules the client's next call after `wait` microseconds, as a reconnect (`again`) or a retry."""
        when = self.world.now + wait
        if when <= self.traffic_end + SECOND:
            self.world.at(
                when,
                self.start_call,
                Call(
                    self,
                    call.schedule_index,
                    call.traffic_type,
                    call.key,
                    call.group,
                    when,
                    again or call.again,
                    not again,
                    0 if again else call.tries + 1,
                ),
            )

    def on_up(self, call):
        """Counts an established connection, and schedules its lines and its end."""
        self.counts["up"] += 1
        self.established[call] = None
        self.fleet.on_call_up(call)
        life, every = self.schedule_columns["life"][call.schedule_index], round(self.load.line_s * SECOND)
        self.world.after(life, call.leave)
        if every and life > every:
            self.world.after(every, call.send_echo_line, every)

    def disconnect_share(self, share, span):
        """Resets a share (0 to 1) of the established connections; their clients reconnect within `span`."""
        for call in list(self.established):
            position = self.reconnect_draws[call.schedule_index]
            if position < share and not call.done:
                call.side.reset()
                self.end_call(call, "broke-off")
                self.schedule_call(call, round(position / share * span), True)

    def slow_readers(self, share, span):
        """Makes a share (0 to 1) of the connected clients read nothing for `span`."""
        for call in list(self.established):
            if self.reconnect_draws[call.schedule_index] < share:
                call.slow_until = self.world.now + span
                self.world.at(call.slow_until, call.on_readable, call.side)

    # End of calls

    def on_node_ended(self, call, how):
        """Handles the end of a connection by its node."""
        if call.up:
            self.counts["moved" if call.how in ("moved", "bye") else "broken"] += 1
        self.end_call(call, call.how or how)

    def end_call(self, call, how):
        """Ends a call, records it, and schedules the client's next one."""
        if call.done:
            return
        call.done, now = True, self.world.now
        if not call.answers:
            self.counts["none"] += 1
        elif call.answers[0][1] != "UP":
            self.counts["busy" if call.answers[0][1] == "BUSY" else "other"] += 1
        if call.side is not None:
            call.side.close()
        self.open_calls.pop(call, None)
        self.established.pop(call, None)
        self.fleet.invariants.on_client_done(call, how)
        self.fleet.add_record(
            "load",
            {
                "k": "call",
                "id": call.id,
                "type": call.traffic_type.name,
                "key": call.key,
                "group": call.group,
                "tenant": 0,
                "node": call.node.name,
                "again": call.again,
                "retry": call.retry,
                "d": call.traffic_type.guard_ms,
                "intended": call.intended,
                "begun": call.begun,
                "sent": call.sent,
                "answers": call.answers,
                "end": now,
                "how": how,
                "lines": call.lines_sent,
                "echoes": call.echo_count,
                "slowest": call.max_echo_delay,
                "unanswered": now - call.unanswered_lines[0]
                if call.unanswered_lines and not call.slow_until and how not in ("left", "broke-off", "cut")
                else 0,
            },
        )
        next_call = next_attempt(
            self.load,
            call.traffic_type,
            how,
            call.up,
            call.answers[0][1:] if call.answers else None,
            call.tries,
            self.schedule_columns["draw"][call.schedule_index] % 1000 < 1000 * self.load.honour,
            self.reconnect_draws[call.schedule_index],
        )
        if next_call:
            self.schedule_call(call, *next_call)

    def finish(self):
        """Ends all open calls at the end of the run."""
        for call in list(self.open_calls):
            self.end_call(call, "cut")

    # Misbehaving clients

    def start_bad_clients(self, kinds, rate, span):
        """Starts misbehaving clients of these kinds, or of all if empty, `rate` a second for `span`."""
        for _ in range(round(rate * span / SECOND)):
            self.world.after(
                self.random.randbelow(span), self.start_bad_client, self.random.choice(kinds or BAD_KINDS)
            )

    def start_bad_client(self, kind):
        """Connects a misbehaving client to a random node, or 20 of them for "crowd"."""
        node = self.random.choice(self.in_rotation or self.fleet.nodes)
        for _ in range(20 if kind == "crowd" else 1):
            self.connection_count += 1
            bad_client = BadClient(self, kind, f"bx{self.connection_count:x}", node)
            self.world.network.connect(
                bad_client, self.endpoint, node.endpoint, CONNECT_TIMEOUT, bad_client.on_connected
            )


class BadClient:
    """A misbehaving client. It must get an error or a close, and must not affect other clients."""

    # What a client of each kind sends first. "silent" and "crowd" send nothing, and "same-id" uses the ID of
    # an open call; "hangs-up" closes the connection soon afterwards, and "shuts" its sending direction.
    LINES = {
        "garbage": b"\x00\xff GET / HTTP/1.1\r\n",
        "endless": b"x" * 9000,
        "half": b"OPEN half",
        "early": b"OPEN %s k c=%s,d=900\r\ne1\r\n",
        "unknown-type": b"OPEN %s k c=nobody,d=900\r\n",
        "no-wait": b"OPEN %s k c=%s,d=soon\r\n",
        "long-wait": b"OPEN %s k c=%s,d=999999999999\r\n",
        "hangs-up": b"OPEN %s k c=%s,d=900\r\n",
        "shuts": b"OPEN %s k c=%s,d=900\r\n",
    }
    LIFETIME = 12 * SECOND

    def __init__(self, clients, kind, id, node):
        """`kind`: one of BAD_KINDS."""
        self.clients, self.kind, self.id, self.node, self.side, self.connected_at, self.closed = (
            clients,
            kind,
            id,
            node,
            None,
            0,
            False,
        )
        self.accepted_at = 0  # when a process accepted it

    def on_connected(self, side, why):
        """Sends the line of its kind."""
        if side is None:
            return
        self.side, self.connected_at, world = side, self.clients.world.now, self.clients.world
        name = self.clients.types[0].name
        line = self.LINES.get(self.kind, b"")
        if self.kind == "same-id":
            victim = next(iter(self.clients.open_calls), None)
            line = b"OPEN %s k c=%s,d=900\r\n" % ((victim.id if victim else self.id).encode(), name.encode())
            self.clients.fleet.invariants.reused_ids.add(victim.id if victim else self.id)
        elif line.count(b"%s") == 2:
            line %= self.id.encode(), name.encode()
        elif b"%s" in line:
            line %= self.id.encode()
        try:
            if line:
                side.send(line)
        except BrokenPipeError:
            return
        if self.kind == "hangs-up":
            world.after(self.clients.random.randbelow(4000), self.leave)
        elif self.kind == "shuts":
            side.shutdown_write()
        world.after(self.LIFETIME, self.leave)
        self.clients.fleet.invariants.on_bad_client(self)

    def leave(self):
        """Closes the connection."""
        if not self.closed:
            self.closed = True
            self.side.close()

    def on_readable(self, side):
        """Discards what arrives, and closes the connection once the node has ended it."""
        if side.received:
            side.recv()
        if side.eof or side.was_reset:
            self.leave()

    def on_writable(self, side):
        """Does nothing: this client never waits to write."""
        pass
