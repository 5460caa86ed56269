"""The load generator: emulated clients as an open loop.

Every call is made at its intended time, whatever happens to the others. Latency counts from the intended
time, so that a stalled node does not look better than it is; the lateness of the generator itself (from the
intended time until the kernel has its connection) is recorded as well.
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
from cottonspread.lab.process import LabProcess
from cottonspread.lab.wire import now

SECOND = 1_000_000
LINGER_RESET = struct.pack("ii", 1, 0)
MAX_LATENESS = 1000  # microseconds at p99.9: the results of a run whose generator was later are invalid
MAX_RECORDED = 600 * SECOND
SO_TIMESTAMPNS, TIMESPEC, CONTROL_SIZE = 35, struct.Struct("qq"), 64
BIND_NO_PORT = 24  # IP_BIND_ADDRESS_NO_PORT: the port is chosen at connect, separately for each destination
GUARD_TOLERANCE = 50_000  # microseconds that a client waits beyond its guard time, as sockets deliver late
SPIN_TIME = 400  # microseconds before an arrival in which a busy-waiting generator does not sleep


def received_at(control_messages):
    """Returns when the kernel received the bytes, on the monotonic clock.

    The time that this process waited for its core is thus not counted as the node's latency.
    """
    at = now()
    for level, kind, value in control_messages:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
            seconds, rest = TIMESPEC.unpack(value)
            age = (time.time_ns() - seconds * 1_000_000_000 - rest) // 1000
            if 0 <= age < SECOND:  # otherwise the wall clock was set meanwhile
                return at - age
    return at


def histogram():
    """Returns an empty histogram of microseconds with three significant digits."""
    return HdrHistogram(1, MAX_RECORDED, 3)


class Call:
    """One connection of a client: a first call, a retry or a reconnect."""

    __slots__ = (
        "schedule_index",
        "id",
        "type_index",
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
        "splitter",
        "out",
        "echo_count",
        "unanswered_lines",
        "max_echo_delay",
        "how",
        "lines_sent",
    )

    def __init__(self, schedule_index, type_index, key, group, intended, again, retry, tries):
        """`intended`: when the call was due; `again`: it is a reconnect; `tries`: retries before this one."""
        self.schedule_index, self.type_index, self.key, self.group = schedule_index, type_index, key, group
        self.intended, self.again, self.retry, self.tries = intended, again, retry, tries
        self.id, self.node, self.sock, self.sent, self.begun = "", None, None, 0, 0
        self.answers, self.up, self.splitter, self.out, self.echo_count, self.unanswered_lines = (
            [],
            0,
            wire.LineSplitter(),
            b"",
            0,
            [],
        )
        self.max_echo_delay, self.how, self.lines_sent = 0, "", 0


class Clients(LabProcess):
    """One load process: its share of the plan's clients."""

    kind = "load"

    def prepare(self):
        """Takes this process's share of the schedule."""
        load = self.plan.experiment.load
        whole = plans.schedule(self.plan)
        self.digest = whole.digest()
        at = slice(self.number, None, load.processes)
        self.schedule = plans.Schedule(**{f: getattr(whole, f)[at] for f in whole.__struct_fields__})
        self.at, self.type_indices = self.schedule.at.tolist(), self.schedule.kind.tolist()
        self.lives, self.draws, self.groups = (
            getattr(self.schedule, n).tolist() for n in ("life", "draw", "group")
        )
        self.tenants = self.schedule.tenant.tolist()
        rng = np.random.default_rng([self.plan.seed, 3, self.number])
        # They determine which clients reset their connections in a mass reconnect, and when they come back.
        self.reconnect_draws = rng.random(max(1, len(self.at))).tolist()
        self.types, self.load = load.types, load
        self.nodes, self.active_nodes = self.plan.nodes, list(range(len(self.plan.nodes)))
        self.sources = [s for n, s in enumerate(self.plan.sources) if n % load.processes == self.number] or [
            ""
        ]
        self.next_index, self.call_count, self.established, self.open = 0, 0, {}, {}
        self.loop.spin = SPIN_TIME if load.spins else 0
        self.latency = {k.name: histogram() for k in self.types}
        self.lateness, self.echo = histogram(), histogram()
        self.counts_since_report = {
            "offered": 0,
            "up": 0,
            "busy": 0,
            "other": 0,
            "none": 0,
            "moved": 0,
            "broken": 0,
        }
        self.total, self.recent_latencies, self.max_lateness, self.connect_errors = (
            dict(self.counts_since_report),
            [],
            0,
            {},
        )
        self.addresses = [(n.ip, n.port) for n in self.nodes]
        self.end_of_arrivals = round(self.plan.experiment.seconds * SECOND)

    def begin(self):
        """Schedules the first arrival and the mass reconnects."""
        if self.at:
            self.loop.at(self.start + self.at[0], self.arrive)
        for shape in self.load.shapes:
            if shape.kind == "reconnect":
                self.loop.at(self.start + round(shape.start * SECOND), self.reset_connections, shape)

    def on_command(self, words):
        """`up N` and `down N`: from now on clients are sent to a node, or no longer."""
        number = int(words[1])
        if words[0] == "up" and number not in self.active_nodes:
            self.active_nodes = sorted([*self.active_nodes, number])
        elif words[0] == "down" and number in self.active_nodes:
            self.active_nodes.remove(number)

    # Arrivals

    def arrive(self):
        """Makes all first calls that are due and sets the timer for the next one."""
        n = self.next_index
        while n < len(self.at) and self.start + self.at[n] <= now():
            self.next_index = n + 1
            self.start_call(
                Call(
                    n,
                    self.type_indices[n],
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

    def schedule_call(self, call, wait, again):
        """Makes the client of `call` open another connection after `wait` microseconds."""
        when = now() + wait
        if when - self.start > self.end_of_arrivals + SECOND:
            return
        self.loop.at(
            when,
            self.start_call,
            Call(
                call.schedule_index,
                call.type_index,
                call.key,
                call.group,
                when,
                again or call.again,
                not again,
                0 if again else call.tries + 1,
            ),
        )

    def choose_node(self, call):
        """Returns the number of the node that a call goes to: by the seed, among the active nodes.

        A retry or reconnect uses another draw than the first call.
        """
        draw = self.draws[call.schedule_index] + 2654435761 * (call.tries + call.again)
        candidates = self.active_nodes or range(len(self.nodes))
        return candidates[draw % len(candidates)]

    def start_call(self, call):
        """Connects and sends the first line."""
        traffic_type = self.types[call.type_index]
        self.call_count += 1
        call.id, call.node = f"{self.number}x{self.call_count:x}", self.choose_node(call)
        self.counts_since_report["offered"] += 1
        wait = int(traffic_type.guard_ms)
        call.out = wire.format_open(
            call.id, call.key, traffic_type.name, wait, call.group, call.again, call.retry
        )
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            source = self.sources[self.call_count % len(self.sources)]
            if source:
                sock.setsockopt(socket.IPPROTO_IP, BIND_NO_PORT, 1)
                sock.bind((source, 0))
            code = sock.connect_ex(self.addresses[call.node])
        except OSError as error:
            code = error.errno
        call.begun = now()
        lateness = max(1, call.begun - call.intended)
        self.max_lateness = max(self.max_lateness, lateness)
        self.lateness.record_value(min(MAX_RECORDED, lateness))
        if code not in (0, errno.EINPROGRESS):
            if sock is not None:
                sock.close()
            name = errno.errorcode.get(code, str(code))
            self.connect_errors[name] = self.connect_errors.get(name, 0) + 1
            self.finish_call(call, "refused" if code == errno.ECONNREFUSED else "lost-by-generator:" + name)
            return
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        call.sock = sock
        self.open[call] = None
        self.loop.watch(sock, lambda mask: self.on_ready(call, mask), IN)
        self.send(call)
        if call.sock is not None:
            self.loop.at(call.begun + wait * 1000 + GUARD_TOLERANCE, self.on_guard_timeout, call)

    def send(self, call):
        """Sends what is buffered; on the same machine the connection and the line mostly succeed at once."""
        try:
            sent = call.sock.send(call.out)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                self.on_end(call, "reset" if call.sent else "refused")
                return
            sent = 0
        call.out = call.out[sent:]
        if not call.out and not call.sent:
            call.sent = now()
        self.loop.set_mask(call.sock, IN | OUT if call.out else IN)

    def on_ready(self, call, mask):
        """Handles socket events of a call."""
        if mask & OUT and call.out:
            self.send(call)
        if call.sock is None or not mask & ~OUT:
            return
        try:
            data, control_messages, _, _ = call.sock.recvmsg(65536, CONTROL_SIZE)
        except BlockingIOError:
            return
        except OSError:
            self.on_end(call, "reset" if call.sent else "refused")
            return
        if not data:
            self.on_end(call, "end")
            return
        at = received_at(control_messages)
        for line in call.splitter.feed(data):
            self.on_line(call, line, at)

    def on_line(self, call, line, at):
        """Handles a line that the client received at the time `at`."""
        if not call.up or line.startswith(b"UP "):
            what, value = wire.parse_answer(line)
            call.answers.append([at, what, value])
            if len(call.answers) == 1:
                self.counts_since_report[what.lower()] += 1
                if what == "UP":
                    self.on_up(call, at)
        elif line == b"MOVE":
            call.how = call.how or "moved"
        elif line == b"BYE":
            call.how = call.how or "bye"
        elif line.startswith(b"e") and call.unanswered_lines:
            sent = call.unanswered_lines.pop(0)
            call.echo_count += 1
            call.max_echo_delay = max(call.max_echo_delay, at - sent)
            self.echo.record_value(max(1, at - sent))

    def on_up(self, call, at):
        """Counts the call as established and schedules its lines and its end."""
        call.up = at
        took = max(1, min(MAX_RECORDED, at - call.intended))
        self.latency[self.types[call.type_index].name].record_value(took)
        self.recent_latencies.append(took)
        self.established[call] = None
        life = self.lives[call.schedule_index]
        self.loop.at(at + life, self.leave, call)
        interval = round(self.load.line_s * SECOND)
        if interval and life > interval:
            self.loop.at(at + interval, self.send_echo_line, call, at + interval, interval)

    def send_echo_line(self, call, intended, interval):
        """Sends a line that the host echoes, and schedules the next one."""
        if call.sock is None:
            return
        call.lines_sent += 1
        call.unanswered_lines.append(intended)
        call.out += b"e%d\r\n" % call.lines_sent
        self.loop.at(intended + interval, self.send_echo_line, call, intended + interval, interval)
        self.send(call)

    # Ends

    def leave(self, call):
        """Ends an established connection at the end of the client's stay."""
        if call.sock is not None and call.up:
            self.close(call)
            self.finish_call(call, "left")

    def on_guard_timeout(self, call):
        """Ends a call that got no answer within its guard time."""
        if call.sock is not None and not call.answers:
            self.counts_since_report["none"] += 1
            self.close(call)
            self.finish_call(call, "gave-up")

    def reset_connections(self, shape):
        """Mass reconnect: resets a share of the connections; their clients return within the interval."""
        for call in list(self.established):
            draw = self.reconnect_draws[call.schedule_index]
            if draw < shape.share and call.sock is not None:
                call.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                self.close(call)
                self.finish_call(call, "broke-off")
                self.schedule_call(call, round(draw / shape.share * shape.seconds * SECOND), True)

    def on_end(self, call, how):
        """Handles a connection that the node has ended."""
        self.close(call)
        if not call.up and not call.answers:
            self.counts_since_report["none"] += 1
        if call.up:
            self.counts_since_report["moved" if call.how in ("moved", "bye") else "broken"] += 1
        self.finish_call(call, call.how or how)

    def close(self, call):
        """Closes a call's socket."""
        self.loop.unwatch(call.sock)
        call.sock.close()
        call.sock = None
        self.established.pop(call, None)
        self.open.pop(call, None)

    def finish_call(self, call, how):
        """Writes the call's record and schedules the client's next connection, if it makes one."""
        start = self.start
        self.record.put(
            {
                "k": "call",
                "id": call.id,
                "type": self.types[call.type_index].name,
                "key": call.key,
                "group": call.group,
                "tenant": self.tenants[call.schedule_index],
                "node": self.nodes[call.node].name,
                "again": call.again,
                "retry": call.retry,
                "d": self.types[call.type_index].guard_ms,
                "intended": call.intended - start,
                "begun": call.begun - start,
                "sent": call.sent - start if call.sent else 0,
                "answers": [[t - start, w, v] for t, w, v in call.answers],
                "end": now() - start,
                "how": how,
                "lines": call.lines_sent,
                "echoes": call.echo_count,
                "slowest": call.max_echo_delay,
                "unanswered": now() - call.unanswered_lines[0]
                if call.unanswered_lines and how not in ("left", "broke-off", "cut")
                else 0,
            }
        )
        call.unanswered_lines = []
        after = next_attempt(
            self.load,
            self.types[call.type_index],
            how,
            call.up,
            call.answers[0][1:] if call.answers else None,
            call.tries,
            self.draws[call.schedule_index] % 1000 < 1000 * self.load.honour,
            self.reconnect_draws[call.schedule_index],
        )
        if after:
            self.schedule_call(call, *after)

    # Reports to the runner

    def counts(self):
        """Returns the counts since the last report and the latencies, for the run's timeline."""
        out, self.counts_since_report = self.counts_since_report, dict.fromkeys(self.counts_since_report, 0)
        for key, value in out.items():
            self.total[key] += value
        (recent, self.recent_latencies), (lateness, self.max_lateness) = (
            (self.recent_latencies, []),
            (self.max_lateness, 0),
        )
        # A sample of a thousand at most: sorting more, or importing a numerical library on first use,
        # made calls late by milliseconds.
        recent = sorted(recent[:: len(recent) // 1000 + 1])
        took = [recent[len(recent) // 2], recent[len(recent) * 99 // 100]] if recent else [0, 0]
        return {
            **out,
            "standing": len(self.established),
            "p50_us": took[0],
            "p99_us": took[1],
            "late_max_us": lateness,
        }

    def finish(self):
        """Records the calls that are still open, and the totals."""
        for call in list(self.open):
            self.close(call)
            self.finish_call(call, "cut")
        self.counts()
        self.record.put(
            {
                "k": "sum",
                "digest": self.digest,
                "total": self.total,
                "faults": self.connect_errors,
                "planned": len(self.at),
                "begun": self.next_index,
                "latency": {name: h.encode().decode() for name, h in self.latency.items()},
                "lateness": self.lateness.encode().decode(),
                "echo": self.echo.encode().decode(),
            }
        )
