"""Clients. Open loop: every call goes out at its intended time, whatever has become of the others.

Latency counts from the intended time, so that a stalled node is not flattered; how late the generator itself
was (from the intended time to when the kernel had its connection) is kept beside it.
"""

import errno
import socket
import struct
import time

import numpy as np
from hdrh.histogram import HdrHistogram

from cottonspread.lab import plan as plans
from cottonspread.lab import wire
from cottonspread.lab.client_policy import next_attempt
from cottonspread.lab.loop import IN, OUT
from cottonspread.lab.process import Part
from cottonspread.lab.wire import now

SECOND = 1_000_000
BROKEN = struct.pack("ii", 1, 0)
LATE = 1000  # microseconds at p99.9: a run whose generator was later is not used
HIGHEST = 600 * SECOND
SO_TIMESTAMPNS, STAMP, STAMP_ROOM = 35, struct.Struct("qq"), 64
BIND_NO_PORT = 24  # IP_BIND_ADDRESS_NO_PORT: the port is chosen at connect, one for each destination
TOLD_LATER = 50_000  # after its guard time a client waits so long before it leaves: sockets are late
SPIN = 400  # microseconds before an arrival that a spinning generator stays awake for


def came_at(stamps):
    """When the kernel got the bytes, on the shared clock: whether this process
    had its core just then does not count.
    """
    at = now()
    for level, kind, value in stamps:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
            seconds, rest = STAMP.unpack(value)
            age = (time.time_ns() - seconds * 1_000_000_000 - rest) // 1000
            if 0 <= age < SECOND:  # else the wall clock was set meanwhile
                return at - age
    return at


def histogram():
    return HdrHistogram(1, HIGHEST, 3)


class Call:
    """One connection of a client: a first try, a retry, or one that comes again."""

    __slots__ = (
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
        "sock",
        "sent",
        "begun",
        "answers",
        "up",
        "lines",
        "out",
        "echoes",
        "asked",
        "slowest",
        "how",
        "line",
    )

    def __init__(self, first, kind, key, group, intended, again, retry, tries):
        self.first, self.kind, self.key, self.group = first, kind, key, group
        self.intended, self.again, self.retry, self.tries = intended, again, retry, tries
        self.id, self.node, self.sock, self.sent, self.begun = "", None, None, 0, 0
        self.answers, self.up, self.lines, self.out, self.echoes, self.asked = (
            [],
            0,
            wire.LineSplitter(),
            b"",
            0,
            [],
        )
        self.slowest, self.how, self.line = 0, "", 0


class Clients(Part):
    kind = "load"

    def prepare(self):
        load = self.plan.experiment.load
        whole = plans.schedule(self.plan)
        self.digest = whole.digest()
        at = slice(self.number, None, load.processes)
        self.calls = plans.Schedule(**{f: getattr(whole, f)[at] for f in whole.__struct_fields__})
        self.at, self.kinds = self.calls.at.tolist(), self.calls.kind.tolist()
        self.lives, self.draws, self.groups = (
            getattr(self.calls, n).tolist() for n in ("life", "draw", "group")
        )
        self.tenants = self.calls.tenant.tolist()
        rng = np.random.default_rng([self.plan.seed, 3, self.number])
        self.backs = rng.random(max(1, len(self.at))).tolist()  # who breaks off, and when it is back
        self.types, self.load = load.types, load
        self.nodes, self.alive = self.plan.nodes, list(range(len(self.plan.nodes)))
        self.sources = [s for n, s in enumerate(self.plan.sources) if n % load.processes == self.number] or [
            ""
        ]
        self.next, self.made, self.standing, self.open = 0, 0, {}, {}
        self.loop.spin = SPIN if load.spins else 0
        self.latency = {k.name: histogram() for k in self.types}
        self.lateness, self.echo = histogram(), histogram()
        self.window = {"offered": 0, "up": 0, "busy": 0, "other": 0, "none": 0, "moved": 0, "broken": 0}
        self.total, self.recent, self.latest, self.faults = dict(self.window), [], 0, {}
        self.addresses = [(n.ip, n.port) for n in self.nodes]
        self.end_of_arrivals = round(self.plan.experiment.seconds * SECOND)

    def begin(self):
        if self.at:
            self.loop.at(self.start + self.at[0], self.arrive)
        for shape in self.load.shapes:
            if shape.kind == "reconnect":
                self.loop.at(self.start + round(shape.start * SECOND), self.break_off, shape)

    def told(self, words):
        """`up N` and `down N`: the front takes a node in, or deals no more to it."""
        number = int(words[1])
        if words[0] == "up" and number not in self.alive:
            self.alive = sorted([*self.alive, number])
        elif words[0] == "down" and number in self.alive:
            self.alive.remove(number)

    # Arrivals

    def arrive(self):
        """All first calls that are due; the timer for the next one."""
        n = self.next
        while n < len(self.at) and self.start + self.at[n] <= now():
            self.next = n + 1
            self.call(
                Call(
                    n,
                    self.kinds[n],
                    f"k{self.number}-{n}",
                    f"g{self.groups[n]}",
                    self.start + self.at[n],
                    False,
                    False,
                    0,
                )
            )
            n += 1
        if n < len(self.at):
            self.loop.at(self.start + self.at[n], self.arrive)

    def later(self, call, wait, again):
        """The client of `call` comes again after `wait` microseconds, with a connection of its own."""
        when = now() + wait
        if when - self.start > self.end_of_arrivals + SECOND:
            return
        self.loop.at(
            when,
            self.call,
            Call(
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

    def pick(self, call):
        draw = self.draws[call.first] + 2654435761 * (call.tries + call.again)
        among = self.alive or range(len(self.nodes))
        return among[draw % len(among)]

    def call(self, call):
        kind = self.types[call.kind]
        self.made += 1
        call.id, call.node = f"{self.number}x{self.made:x}", self.pick(call)
        self.window["offered"] += 1
        wait = int(kind.guard_ms)
        call.out = wire.format_open(call.id, call.key, kind.name, wait, call.group, call.again, call.retry)
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            source = self.sources[self.made % len(self.sources)]
            if source:
                sock.setsockopt(socket.IPPROTO_IP, BIND_NO_PORT, 1)
                sock.bind((source, 0))
            code = sock.connect_ex(self.addresses[call.node])
        except OSError as fault:
            code = fault.errno
        call.begun = now()
        late = max(1, call.begun - call.intended)
        self.latest = max(self.latest, late)
        self.lateness.record_value(min(HIGHEST, late))
        if code not in (0, errno.EINPROGRESS):
            if sock is not None:
                sock.close()
            name = errno.errorcode.get(code, str(code))
            self.faults[name] = self.faults.get(name, 0) + 1
            self.done(call, "refused" if code == errno.ECONNREFUSED else "lost-by-generator:" + name)
            return
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        call.sock = sock
        self.open[call] = None
        self.loop.watch(sock, lambda mask: self.ready(call, mask), IN)
        self.send(call)
        if call.sock is not None:
            self.loop.at(call.begun + wait * 1000 + TOLD_LATER, self.waited_out, call)

    def send(self, call):
        """What is to go out; in most cases the connection is up at once on this machine,
        and so is the line.
        """
        try:
            sent = call.sock.send(call.out)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as fault:
            if fault.errno != errno.ENOTCONN:
                self.ended(call, "reset" if call.sent else "refused")
                return
            sent = 0
        call.out = call.out[sent:]
        if not call.out and not call.sent:
            call.sent = now()
        self.loop.change(call.sock, IN | OUT if call.out else IN)

    def ready(self, call, mask):
        if mask & OUT and call.out:
            self.send(call)
        if call.sock is None or not mask & ~OUT:
            return
        try:
            data, stamps, _, _ = call.sock.recvmsg(65536, STAMP_ROOM)
        except BlockingIOError:
            return
        except OSError:
            self.ended(call, "reset" if call.sent else "refused")
            return
        if not data:
            self.ended(call, "end")
            return
        at = came_at(stamps)
        for line in call.lines.feed(data):
            self.line(call, line, at)

    def line(self, call, line, at):
        if not call.up or line.startswith(b"UP "):
            what, value = wire.parse_answer(line)
            call.answers.append([at, what, value])
            if len(call.answers) == 1:
                self.window[what.lower()] += 1
                if what == "UP":
                    self.came_up(call, at)
        elif line == b"MOVE":
            call.how = call.how or "moved"
        elif line == b"BYE":
            call.how = call.how or "bye"
        elif line.startswith(b"e") and call.asked:
            sent = call.asked.pop(0)
            call.echoes += 1
            call.slowest = max(call.slowest, at - sent)
            self.echo.record_value(max(1, at - sent))

    def came_up(self, call, at):
        call.up = at
        took = max(1, min(HIGHEST, at - call.intended))
        self.latency[self.types[call.kind].name].record_value(took)
        self.recent.append(took)
        self.standing[call] = None
        life = self.lives[call.first]
        self.loop.at(at + life, self.leave, call)
        every = round(self.load.line_s * SECOND)
        if every and life > every:
            self.loop.at(at + every, self.say, call, at + every, every)

    def say(self, call, intended, every):
        if call.sock is None:
            return
        call.line += 1
        call.asked.append(intended)
        call.out += b"e%d\r\n" % call.line
        self.loop.at(intended + every, self.say, call, intended + every, every)
        self.send(call)

    # Ends

    def leave(self, call):
        """The client has what it came for."""
        if call.sock is not None and call.up:
            self.close(call)
            self.done(call, "left")

    def waited_out(self, call):
        if call.sock is not None and not call.answers:
            self.window["none"] += 1
            self.close(call)
            self.done(call, "gave-up")

    def break_off(self, shape):
        """A mass reconnection: this share of those standing break off, and come back within the stretch."""
        for call in list(self.standing):
            draw = self.backs[call.first]
            if draw < shape.share and call.sock is not None:
                call.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, BROKEN)
                self.close(call)
                self.done(call, "broke-off")
                self.later(call, round(draw / shape.share * shape.seconds * SECOND), True)

    def ended(self, call, how):
        """The node has ended it."""
        self.close(call)
        if not call.up and not call.answers:
            self.window["none"] += 1
        if call.up:
            self.window["moved" if call.how in ("moved", "bye") else "broken"] += 1
        self.done(call, call.how or how)

    def close(self, call):
        self.loop.drop(call.sock)
        call.sock.close()
        call.sock = None
        self.standing.pop(call, None)
        self.open.pop(call, None)

    def done(self, call, how):
        """The record of it, and what its client does next."""
        start = self.start
        self.record.put(
            {
                "k": "call",
                "id": call.id,
                "type": self.types[call.kind].name,
                "key": call.key,
                "group": call.group,
                "tenant": self.tenants[call.first],
                "node": self.nodes[call.node].name,
                "again": call.again,
                "retry": call.retry,
                "d": self.types[call.kind].guard_ms,
                "intended": call.intended - start,
                "begun": call.begun - start,
                "sent": call.sent - start if call.sent else 0,
                "answers": [[t - start, w, v] for t, w, v in call.answers],
                "end": now() - start,
                "how": how,
                "lines": call.line,
                "echoes": call.echoes,
                "slowest": call.slowest,
                "unanswered": now() - call.asked[0]
                if call.asked and how not in ("left", "broke-off", "cut")
                else 0,
            }
        )
        call.asked = []
        after = next_attempt(
            self.load,
            self.types[call.kind],
            how,
            call.up,
            call.answers[0][1:] if call.answers else None,
            call.tries,
            self.draws[call.first] % 1000 < 1000 * self.load.honour,
            self.backs[call.first],
        )
        if after:
            self.later(call, *after)

    # What the runner gets

    def counts(self):
        out, self.window = self.window, dict.fromkeys(self.window, 0)
        for key, value in out.items():
            self.total[key] += value
        (recent, self.recent), (late, self.latest) = (self.recent, []), (self.latest, 0)
        # Of a thousand at most: sorting more, or the first use of a larger
        # library, made calls late by milliseconds.
        recent = sorted(recent[:: len(recent) // 1000 + 1])
        took = [recent[len(recent) // 2], recent[len(recent) * 99 // 100]] if recent else [0, 0]
        return {
            **out,
            "standing": len(self.standing),
            "p50_us": took[0],
            "p99_us": took[1],
            "late_max_us": late,
        }

    def finish(self):
        for call in list(self.open):
            self.close(call)
            self.done(call, "cut")
        self.counts()
        self.record.put(
            {
                "k": "sum",
                "digest": self.digest,
                "total": self.total,
                "faults": self.faults,
                "planned": len(self.at),
                "begun": self.next,
                "latency": {name: h.encode().decode() for name, h in self.latency.items()},
                "lateness": self.lateness.encode().decode(),
                "echo": self.echo.encode().decode(),
            }
        )
