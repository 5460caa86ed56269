"""Simulated clients: the lab's schedule of first calls, and what players do after
them; and clients that are no players.
"""

import contextlib

import numpy as np

from cottonspread.lab import wire
from cottonspread.lab.players import comes_back
from cottonspread.lab.sim.network import Place
from cottonspread.lab.sim.world import SECOND

TOLD_LATER = 50_000  # after its guard time a client waits so long before it leaves
CONNECT_WAIT = 3 * SECOND
ALL_BAD = (
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
        "first",
        "id",
        "kind",
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
        "lines",
        "line",
        "asked",
        "echoes",
        "slowest",
        "how",
        "done",
        "slow",
        "taken",
    )

    def __init__(self, clients, first, kind, key, group, intended, again=False, retry=False, tries=0):
        self.clients, self.first, self.kind, self.key, self.group = clients, first, kind, key, group
        self.intended, self.again, self.retry, self.tries = intended, again, retry, tries
        self.id, self.node, self.begun, self.sent, self.side = "", None, 0, 0, None
        self.answers, self.up, self.lines, self.line, self.asked = [], 0, wire.Lines(), 0, []
        self.echoes, self.slowest, self.how, self.done, self.slow, self.taken = 0, 0, "", False, 0, 0

    def connected(self, side, why):
        world = self.clients.world
        if self.done:
            if side is not None:
                side.close()
            return
        if side is None:
            self.clients.end_call(self, "refused" if why == "ECONNREFUSED" else "lost")
            return
        self.side = side
        self.clients.open[self] = None
        try:
            side.send(
                wire.opening(
                    self.id,
                    self.key,
                    self.kind.name,
                    int(self.kind.guard_ms),
                    self.group,
                    self.again,
                    self.retry,
                )
            )
        except BrokenPipeError:
            self.clients.end_call(self, "reset")
            return
        self.sent = world.now
        self.clients.fleet.invariants.opened(self)
        world.after(int(self.kind.guard_ms) * 1000 + TOLD_LATER, self.waited_out)

    def arrived(self, side):
        world = self.clients.world
        if self.done or world.now < self.slow:
            return
        if side.inbox:
            for line in self.lines.take(side.take()):
                self.hear(line)
                if self.done:
                    return
        if side.broke or side.ended:
            self.clients.ended(self, "reset" if side.broke else "end")

    def room(self, side):
        pass

    def hear(self, line):
        now, clients = self.clients.world.now, self.clients
        clients.fleet.invariants.client_has(self, line)
        if not self.up or line.startswith(b"UP "):
            what, value = wire.answer(line)
            self.answers.append([now, what, value])
            if len(self.answers) == 1 and what == "UP":
                self.up = now
                clients.on_up(self)
        elif line == b"MOVE":
            self.how = self.how or "moved"
        elif line == b"BYE":
            self.how = self.how or "bye"
        elif line.startswith(b"e") and self.asked:
            self.echoes += 1
            self.slowest = max(self.slowest, now - self.asked.pop(0))

    def say(self, every):
        world = self.clients.world
        if self.done:
            return
        world.after(every, self.say, every)
        if world.now < self.slow:
            return
        self.line += 1
        self.asked.append(world.now)
        with contextlib.suppress(BrokenPipeError):  # it hears of its end in a moment
            self.side.send(b"e%d\r\n" % self.line)

    def leave(self):
        if not self.done:
            self.clients.end_call(self, "left")

    def waited_out(self):
        if not self.done and not self.answers:
            self.clients.end_call(self, "gave-up")


class Clients:
    def __init__(self, fleet, schedule, only=None):
        """`only`: of the first calls, those with these numbers; None: all."""
        self.fleet, self.world, self.plan = fleet, fleet.world, fleet.plan
        x = self.plan.experiment
        self.load, self.types, self.calls = x.load, x.load.types, schedule
        self.columns = {name: getattr(schedule, name).tolist() for name in schedule.__struct_fields__}
        self.backs = (
            np.random.default_rng([self.plan.seed, 3, 0]).random(max(1, len(self.columns["at"]))).tolist()
        )
        self.ending = round(x.seconds * SECOND)
        self.alive, self.place, self.made, self.open, self.established = (
            list(fleet.nodes),
            Place("client"),
            0,
            {},
            {},
        )
        self.counts = {"offered": 0, "up": 0, "busy": 0, "other": 0, "none": 0, "moved": 0, "broken": 0}
        self.draws, self.crowding, self.late = self.world.random_stream("bad"), None, schedule.at.tolist()
        for n, at in enumerate(self.columns["at"]):
            if only is None or n in only:
                self.world.at(at, self.arrive, n, at)
        for shape in self.load.shapes:
            if shape.kind == "reconnect":
                self.world.at(
                    round(shape.start * SECOND), self.break_off, shape.share, round(shape.seconds * SECOND)
                )

    # The front

    def front(self, node, deals):
        if deals and node not in self.alive:
            self.alive = [one for one in self.fleet.nodes if one in self.alive or one is node]
        elif not deals and node in self.alive:
            self.alive.remove(node)

    # Arrivals

    def arrive(self, n, at):
        c = self.columns
        self.call(Call(self, n, self.types[c["kind"][n]], f"k0-{n}", f"g{c['group'][n]}", at))

    def call(self, call):
        self.made += 1
        call.id, call.begun = f"0x{self.made:x}", self.world.now
        among = self.alive or self.fleet.nodes
        if self.crowding is not None and self.world.now < self.crowding[0]:
            among = [self.crowding[1]]
        draw = self.columns["draw"][call.first] + 2654435761 * (call.tries + call.again)
        call.node = among[draw % len(among)]
        self.counts["offered"] += 1
        self.fleet.invariants.calls_made(call)
        self.world.network.connect(call, self.place, call.node.place, CONNECT_WAIT, call.connected)

    def schedule_call(self, call, wait, again):
        when = self.world.now + wait
        if when <= self.ending + SECOND:
            self.world.at(
                when,
                self.call,
                Call(
                    self,
                    call.first,
                    call.kind,
                    call.key,
                    call.group,
                    when,
                    again or call.again,
                    not again,
                    0 if again else call.tries + 1,
                ),
            )

    def on_up(self, call):
        self.counts["up"] += 1
        self.established[call] = None
        self.fleet.served(call)
        life, every = self.columns["life"][call.first], round(self.load.line_s * SECOND)
        self.world.after(life, call.leave)
        if every and life > every:
            self.world.after(every, call.say, every)

    def break_off(self, share, span):
        for call in list(self.established):
            part = self.backs[call.first]
            if part < share and not call.done:
                call.side.reset()
                self.end_call(call, "broke-off")
                self.schedule_call(call, round(part / share * span), True)

    def slow_readers(self, share, span):
        for call in list(self.established):
            if self.backs[call.first] < share:
                call.slow = self.world.now + span
                self.world.at(call.slow, call.arrived, call.side)

    # Ends

    def ended(self, call, how):
        """Its node has ended it."""
        if call.up:
            self.counts["moved" if call.how in ("moved", "bye") else "broken"] += 1
        self.end_call(call, call.how or how)

    def end_call(self, call, how):
        if call.done:
            return
        call.done, now = True, self.world.now
        if not call.answers:
            self.counts["none"] += 1
        elif call.answers[0][1] != "UP":
            self.counts["busy" if call.answers[0][1] == "BUSY" else "other"] += 1
        if call.side is not None:
            call.side.close()
        self.open.pop(call, None)
        self.established.pop(call, None)
        self.fleet.invariants.client_done(call, how)
        self.fleet.put(
            "load",
            {
                "k": "call",
                "id": call.id,
                "type": call.kind.name,
                "key": call.key,
                "group": call.group,
                "tenant": 0,
                "node": call.node.name,
                "again": call.again,
                "retry": call.retry,
                "d": call.kind.guard_ms,
                "intended": call.intended,
                "begun": call.begun,
                "sent": call.sent,
                "answers": call.answers,
                "end": now,
                "how": how,
                "lines": call.line,
                "echoes": call.echoes,
                "slowest": call.slowest,
                "unanswered": now - call.asked[0]
                if call.asked and not call.slow and how not in ("left", "broke-off", "cut")
                else 0,
            },
        )
        after = comes_back(
            self.load,
            call.kind,
            how,
            call.up,
            call.answers[0][1:] if call.answers else None,
            call.tries,
            self.columns["draw"][call.first] % 1000 < 1000 * self.load.honour,
            self.backs[call.first],
        )
        if after:
            self.schedule_call(call, *after)

    def finish(self):
        for call in list(self.open):
            self.end_call(call, "cut")

    # No players

    def bad(self, kinds, rate, span):
        for _ in range(round(rate * span / SECOND)):
            self.world.after(self.draws.randbelow(span), self.bad_one, self.draws.choice(kinds or ALL_BAD))

    def bad_one(self, kind):
        node = self.draws.choice(self.alive or self.fleet.nodes)
        for _ in range(20 if kind == "crowd" else 1):
            self.made += 1
            one = Bad(self, kind, f"bx{self.made:x}", node)
            self.world.network.connect(one, self.place, node.place, CONNECT_WAIT, one.connected)


class Bad:
    """A client that is no player: it is owed an error or a close, and must cost the others nothing."""

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
    PATIENCE = 12 * SECOND

    def __init__(self, clients, kind, id, node):
        self.clients, self.kind, self.id, self.node, self.side, self.began, self.over = (
            clients,
            kind,
            id,
            node,
            None,
            0,
            False,
        )
        self.taken = 0  # when a process had it

    def connected(self, side, why):
        if side is None:
            return
        self.side, self.began, world = side, self.clients.world.now, self.clients.world
        name = self.clients.types[0].name
        line = self.LINES.get(self.kind, b"")
        if self.kind == "same-id":
            victim = next(iter(self.clients.open), None)
            line = b"OPEN %s k c=%s,d=900\r\n" % ((victim.id if victim else self.id).encode(), name.encode())
            self.clients.fleet.invariants.stolen.add(victim.id if victim else self.id)
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
            world.after(self.clients.draws.randbelow(4000), self.leave)
        elif self.kind == "shuts":
            side.end()
        world.after(self.PATIENCE, self.leave)
        self.clients.fleet.invariants.bad(self)

    def leave(self):
        if not self.over:
            self.over = True
            self.side.close()

    def arrived(self, side):
        if side.inbox:
            side.take()
        if side.ended or side.broke:
            self.leave()

    def room(self, side):
        pass
