"""Plays the scenarios in tests/reducer/*.txt against the reducer, without sockets.

Settings as in tests/test_scenarios.py, and `site sockets=N` for the limit on sockets. Each line is TIME EVENT
ARGS, with times in milliseconds and these events:
  list changes|full|saved HOST[:WORD=VALUE]    an update of the host list
  list_failed                                  a request to discovery fails
  accept C                                     a client connects
  read END TEXT [| TEXT]                       complete lines arrive; read_half: and part of one more
  connected H, connect_failed H                the result of a connect
  hold_write END                               writes to END are not done at once
  written END [failed|REASON]                  a write held by `hold_write` is done (REASON: it was not sent)
  end END [CAUSE]                              the input ends (end, reset or a malformed line)
  stop [successor] [transfer]                  SIGTERM (a successor accepts new clients, and open connections)
  tick                                         time passes
  transfer_done C accepted|refused|retry       the result of a transfer (retry: C was being read just then)
  offer C H ID TYPE HOST [KEY [LOAD]]          an open connection of the previous process
  reload WORD=VALUE .. | TYPE WORD=VALUE .. | ..
                                               SIGHUP: other settings and types; alone: an invalid file
  inherit [draining] [id=ID ..] [KEY=HOST ..]  the state that the previous process hands over
  handover                                     the next process asks for the state: > state room=N WORD ..
  drain, resume                                as the operators request
  counters NAME=N ..                           checks the node's counters: success.TYPE, inflight, ..
  probe_done HOST ENDING [X0]                  a probe has ended, with the load it reported
  stall                                        the node did not run until now
  at TIME read ..                              the lines have been waiting since then
What must follow:
> probe HOST, connect H HOST, write END TEXT, half_close END, shutdown END [reset], closed C REASON, exit
> transfer C ID TYPE HOST LINES, free END, offer accepted|refused
The sockets to hosts are named h1, h2, .. in the order in which they are opened. Writes are done at once
unless held.

`World` checks in every scenario: at most one pending read and write per socket, nothing after a
socket is freed, exactly one final answer per call, in time (unless the node was stalled), no socket, call or
leg left at the end, and counters that agree with the lines on the connections.
"""

from collections import Counter
from pathlib import Path

import pytest
from notation import entry, ms, node_config, pairs, play, traffic_type

from cottonspread import config
from cottonspread import interface as io
from cottonspread.front import handover
from cottonspread.net import events as ev
from cottonspread.net.reducer import Reducer
from cottonspread.state import SeededRandom

FILES = sorted((Path(__file__).parent / "reducer").glob("*.txt"))


def type_names(types):
    return config.Names({t.name: n for n, t in enumerate(types)}, {}, {})


class World:
    """The clients, hosts and workers around one reducer."""

    def __init__(self, site, types):
        self.reducer = Reducer(
            0,
            node_config(site, types),
            type_names(types),
            config.HostProtocol(ms(50), "no_loads" not in site, True, "loads_only" not in site),
            int(site.get("sockets", 100)),
        )
        self.ends, self.names, self.held_writes, self.out = {}, {}, set(), []
        self.reading, self.writing, self.freed, self.answers = set(), set(), set(), {}
        self.probes = []
        # a `Transfer` in progress; the sockets that the successor has got
        self.transferring, self.transferred = None, set()
        self.got_first_line = set()  # hosts' sockets on which a first line was written completely
        self.taken_over = set()  # sockets of connections that the previous process opened
        self.now = 0
        self.answered_at = {}  # when each client got its first answer
        self.stalled = False  # whether the scenario stalls the node
        self.handlers = {
            ev.Connect: self.connect,
            ev.Read: self.read,
            ev.DiscardInput: self.read,
            ev.Write: self.write,
            ev.ShutdownWrite: lambda effect, end, name: self.out.append(["half_close", name]),
            ev.Shutdown: lambda effect, end, name: self.out.append(
                ["shutdown", name] + ["reset"] * effect.reset
            ),
            ev.Free: self.free,
            ev.Transfer: self.transfer,
            ev.Probe: self.probe,
            ev.Log: self.log,
            ev.Exit: lambda effect, end, name: self.out.append(["exit"]),
        }
        self.perform(self.reducer.step(0, ev.Tick()))

    def add_end(self, end, name):
        self.ends[name], self.names[end], end.worker = end, name, "a thread"
        return end

    def step(self, event, at=0):
        self.perform(self.reducer.step(self.now, event, at))

    def perform(self, effects):
        for effect in effects:
            end = getattr(effect, "end", None)
            name = self.names.get(end)
            assert end is None or end not in self.freed, f"{effect} after {name} was freed"
            if handler := self.handlers.get(type(effect)):
                handler(effect, end, name)
        for effect in effects:
            end = getattr(effect, "end", None)
            if isinstance(effect, ev.Shutdown) and end in self.reading:  # its reader wakes up
                self.reading.discard(end)
                self.step(ev.ReadEnded(end, "end"))
            elif (
                isinstance(effect, ev.Write)
                and end in self.writing
                and self.names[end] not in self.held_writes
            ):
                self.written(end, True)

    def connect(self, effect, end, _):
        name = f"h{1 + sum(n[0] == 'h' for n in self.ends)}"
        self.add_end(end, name)
        self.out.append(["connect", name, effect.address[0]])

    def read(self, _, end, name):
        assert end not in self.reading, f"two reads at a time on {name}"
        self.reading.add(end)

    def write(self, effect, end, name):
        assert end not in self.writing, f"two writes at a time on {name}"
        self.writing.add(end)
        if end.is_client and effect.data.split()[0] != b"PONG":
            self.answers.setdefault(name, []).append(effect.data)
            self.answered_at.setdefault(name, self.now)
        self.out += [["write", name, *line.split()] for line in effect.data.decode().splitlines()]

    def free(self, _, end, name):
        assert end not in self.reading and end not in self.writing, (
            f"{name} freed with a read or write pending"
        )
        self.freed.add(end)
        if end in self.transferred:
            self.out.append(["free", name])

    def transfer(self, effect, *_):
        assert {effect.client, effect.host} <= self.reading, "transferred while not being read"
        assert not {effect.client, effect.host} & self.writing and not self.transferring
        self.transferring = effect
        one = effect.connection
        self.out.append(
            ["transfer", self.names[effect.client], one.id, one.type, one.host, str(len(one.waiting))]
        )

    def probe(self, effect, *_):
        self.probes.append(effect.host)
        self.out.append(["probe", effect.host])

    def log(self, effect, *_):
        """Records the log lines about closed clients."""
        if effect.event != "closed":
            return
        logged = self.answers.setdefault("closed", [])
        client = next(
            n
            for n, e in self.ends.items()
            if e.is_client and e.conn is not None and e.freed and n not in logged
        )
        logged.append(client)
        self.out.append(["closed", client, effect.pairs["reason"]])

    def written(self, end, ok, skip_reason=""):
        self.writing.discard(end)
        if ok and not end.is_client:
            self.got_first_line.add(end)
        self.step(ev.WriteDone(end, ok, skip_reason=skip_reason))

    def expected_counters(self):
        """The counters as they follow from the lines on the connections, not from the node's own count."""
        counted = Counter(backend_calls=len(self.got_first_line - self.taken_over))
        for name, end in self.ends.items():
            answers = self.answers.get(name)
            if end.is_client and end not in self.taken_over and end.conn.request and answers:
                word = answers[0].split()[0]
                answer = {b"UP": "success", b"BUSY": "busy"}.get(word, "failure")
                counted[answer, end.conn.type.name] += 1
        return +counted

    def actual_counters(self):
        counters = self.reducer.counters
        return +Counter(counters.answers | {"backend_calls": counters.backend_calls})

    def act(self, now, verb, args):
        while verb != "stall" and self.reducer.due() < now:  # the steps that the node's loop runs in between
            self.now = max(self.now, self.reducer.due())
            self.step(ev.Tick())
        self.now, at = now, 0
        if verb == "at":
            at, verb, *args = ms(args[0]), *args[1:]
        end = self.ends.get(args[0]) if args else None
        getattr(self, "on_" + verb)(end, args, at)  # an unknown verb is an error
        out, self.out = self.out, []
        return out

    def on_list(self, end, args, at):
        listed = io.ListUpdate(
            io.ListUpdateKind.SAVED if args[0] == "saved" else io.ListUpdateKind[args[0].upper()],
            1,
            tuple(entry(word) for word in args[1:]),
        )
        ports = {
            word.partition(":")[0]: pairs(word.partition(":")[2].split(",")).get("port", 80)
            for word in args[1:]
        }
        self.step(ev.ListReceived(listed, {e.host: (e.host, int(ports[e.host])) for e in listed.entries}))

    def on_list_failed(self, end, args, at):
        self.step(ev.ListFailed())

    def on_accept(self, end, args, at):
        self.step(ev.ClientAccepted(self.add_end(ev.ConnectionEnd(True), args[0])))

    def on_read(self, end, args, at, more=False):
        assert end in self.reading, f"{args[0]} is not being read"
        self.reading.discard(end)
        data = "".join(text.strip() + "\r\n" for text in " ".join(args[1:]).split("|"))
        self.step(ev.LinesRead(end, data.encode(), more, at), at)

    def on_read_half(self, end, args, at):
        self.on_read(end, args, at, more=True)

    def on_connected(self, end, args, at):
        self.step(ev.ConnectDone(end, True))

    def on_connect_failed(self, end, args, at):
        self.step(ev.ConnectDone(end, False))

    def on_hold_write(self, end, args, at):
        self.held_writes.add(args[0])

    def on_written(self, end, args, at):
        self.held_writes.discard(args[0])
        self.written(end, len(args) == 1, "".join(args[1:]).replace("failed", ""))

    def on_transfer_done(self, end, args, at):
        effect, self.transferring = self.transferring, None
        assert effect.client is end
        if args[1] == "accepted":
            self.transferred |= {effect.client, effect.host}
            self.reading -= self.transferred
        self.step(ev.TransferDone(effect.conn, args[1] == "accepted", args[1] == "retry"))

    def on_offer(self, end, args, at):
        ends = self.add_end(ev.ConnectionEnd(True), args[0]), self.add_end(ev.ConnectionEnd(False), args[1])
        key, load = [*args[5:], None, 0][:2]
        self.taken_over.update(ends)
        self.step(
            ev.TransferOffered(
                *ends,
                handover.OpenConnection(
                    args[2], args[3], args[4], self.now, 0, key, key, load=float(load or 0)
                ),
                lambda accepted: self.out.append(["offer", "accepted" if accepted else "refused"]),
            )
        )

    def on_end(self, end, args, at):
        assert end in self.reading, f"{args[0]} is not being read"
        self.reading.discard(end)
        self.step(ev.ReadEnded(end, args[1] if len(args) > 1 else "end"))

    def on_probe_done(self, end, args, at):
        self.probes.remove(args[0])
        report = {"x0": float(args[2])} if len(args) > 2 else {}
        self.step(ev.ProbeDone(args[0], io.Ending[args[1].upper()], report))

    def on_stop(self, end, args, at):
        self.step(ev.StopRequested("successor" in args, "transfer" in args))

    def on_reload(self, end, args, at):
        if not args:
            self.step(ev.ReloadRejected())
            return
        site, *types = [part.split() for part in " ".join(args).split("|")]
        types = [traffic_type(words[0], pairs(words[1:])) for words in types]
        self.step(
            ev.SettingsReloaded(
                node_config(pairs(site), types), type_names(types), self.reducer.host_protocol
            )
        )

    def on_inherit(self, end, args, at):
        words = [word.partition("=")[::2] for word in args]
        self.step(
            ev.StateInherited(
                handover.HandoverState(
                    50,
                    "draining" in args,
                    tuple(v for k, v in words if k == "id"),
                    tuple((k, v) for k, v in words if v and k != "id"),
                )
            )
        )

    def on_handover(self, end, args, at):
        self.step(
            ev.HandOverRequested(
                lambda state: self.out.append(
                    [
                        "state",
                        f"room={state.room}",
                        *state.ids,
                        *(f"{k}={h}" for k, h in state.records),
                        *(f"{h}:{n}" for h, _, n in state.sent),
                        *["draining"] * state.draining,
                    ]
                )
            )
        )

    def on_drain(self, end, args, at):
        self.step(ev.DrainRequested(True))

    def on_resume(self, end, args, at):
        self.step(ev.DrainRequested(False))

    def on_counters(self, end, args, at):
        values = {
            name + "." * bool(labels) + labels[7:-2]: value
            for name, labels, value in self.reducer.counters.samples(len(self.reducer.call_ids.open))
        }
        for word in args:
            assert values[word.split("=")[0]] == int(word.split("=")[1]), (word, values)

    def on_tick(self, end, args, at):
        self.step(ev.Tick())

    def on_stall(self, end, args, at):
        self.stalled = True
        self.step(ev.Tick())

    def finish(self):
        """Ends all connections; nothing may be left, and each call must have one final answer."""
        for name in list(self.probes):
            self.act(self.now, "probe_done", [name, "full"])
        if self.transferring:
            self.act(self.now, "transfer_done", [self.names[self.transferring.client], "refused"])
        for _ in range(10):  # the end of one may cause further lines, ends and legs
            for name in [name for name, end in self.ends.items() if end not in self.freed]:
                end = self.ends[name]
                if end in self.writing:
                    self.act(self.now, "written", [name, "failed"])
                elif not end.is_client and not end.connected and end not in self.freed:
                    self.act(self.now, "connect_failed", [name])
                elif end in self.reading:
                    self.act(self.now, "end", [name])
        self.act(self.now + ms(60_000), "tick", [])
        assert (
            set(self.ends.values()) == self.freed and not self.reducer.conns and not self.reducer.open_sockets
        )
        assert not self.reducer.balancer.calls and not any(s.legs for s in self.reducer.hosts.values())
        for name, end in self.ends.items():
            if end.is_client and end.conn and end.conn.request and end not in self.taken_over:
                answers = self.answers.get(name, [])
                # after UP, lines are only forwarded
                finals = 1 if answers and answers[0].startswith(b"UP") else len(answers)
                left_in_setup = end.conn.reason == "left-in-setup"  # a call that was transferred has its UP
                assert finals + left_in_setup == 1, f"{name}: {answers}, {end.conn.reason}"
                in_time = (
                    left_in_setup
                    or self.stalled
                    or end.conn.request.held_by
                    or self.answered_at[name] <= end.conn.guard
                )
                assert in_time, (
                    f"{name}: answered {self.answered_at[name] - end.conn.guard} us after its time"
                )
        assert self.actual_counters() == self.expected_counters()


@pytest.mark.parametrize("file", FILES, ids=lambda f: f.stem)
def test_scenario(file):
    def start(site, types):
        return World(site, types), []

    play(file, start, lambda world, now, verb, args, bound: world.act(now, verb, args)).finish()


LINES = [
    "UP r",
    "BUSY",
    "ERR",
    "MOVE",
    "BYE",
    "LOAD 5000.5",
    "LOAD 250.5",
    "M 1 ab",
    "M 1 ab | M 2 ab",
    "WHAT",
]


@pytest.mark.parametrize("seed", range(150))
def test_random_events_give_one_answer_per_call_and_free_all_sockets(seed):
    """Plays a hundred random events, each possible in its state; `World` checks the results."""
    rng = SeededRandom(seed)

    def choice(choices):
        return choices[rng.below(len(choices))]

    world = World(
        {"moving": "0.03", "retry_after": "1000"},
        [
            traffic_type(name, {"effect": effect})
            for name, effect in (("again", "may_run_again"), ("once", "must_never_run_twice"))
        ],
    )
    now = 0
    world.act(0, "list", ["full", "a", "b", "c"])
    for n in range(100):
        now += ms(choice([0, 1, 3, 40, 400, 1100]))
        world.act(now, "tick", [])
        possible_events = [("accept", [f"c{n}"])] * 3 + [("tick", []), ("list_failed", [])]
        possible_events += [
            ("list", ["changes", f"{choice('abc')}:state={choice(['up', 'draining', 'gone', 'up'])}"])
        ]
        possible_events += (
            [("stop", [[], ["transfer"]][rng.below(2)])] if n > 80 else [("drain", []), ("resume", [])]
        )
        if world.transferring:
            possible_events += [
                (
                    "transfer_done",
                    [world.names[world.transferring.client], choice(["accepted", "refused", "retry"])],
                )
            ] * 9
        possible_events += [
            (
                "offer",
                [
                    f"c{n}",
                    f"g{n}",
                    f"a{n % 40}",
                    choice(["again", "once", "gone"]),
                    choice("abcd"),
                    f"k{n % 5}",
                ],
            )
        ]
        for name, end in world.ends.items():
            if world.transferring and end in (world.transferring.client, world.transferring.host):
                continue  # it is not read meanwhile
            if end in world.writing:
                possible_events += [("written", [name]), ("written", [name, "failed"])]
            elif not end.is_client and not end.freed and not end.connected:
                possible_events += [("connected", [name])] * 3 + [("connect_failed", [name])]
            elif end in world.reading and end.is_client and end.conn.request is None:
                possible_events += [
                    (
                        "read",
                        [
                            name,
                            choice(
                                ["PING", "HELLO", f"OPEN x{n} k{n % 5} c=once,d=900,g=g{n % 3}"]
                                + [f"OPEN x{n} k c=again,d={choice([500, 1200])}", "OPEN y k c=again,at=b"]
                            ),
                        ],
                    )
                ] * 3
            elif end in world.reading:
                possible_events += [("read", [name, choice(LINES) if not end.is_client else f"M {n} cd"])] * 4
                possible_events += [
                    ("end", [name, choice(["end", "reset", "half-line"])]),
                    ("hold_write", [name]),
                ]
        verb, args = choice(possible_events)
        world.act(now, verb, " ".join(args).split())
    world.finish()


def test_late_echoes_are_reported_once_a_second_and_then_the_first_in_time():
    world, reported = World({}, [traffic_type("any", {})]), []
    handle = world.reducer.balancer.handle

    def record(now, event):
        if isinstance(event, io.DelayReported):
            reported.append((now // 1000, event.delay // 1000))
        return handle(now, event)

    world.reducer.balancer.handle = record
    for line in (
        "0 list full a",
        "0 accept c1",
        "0 read c1 OPEN x k c=any,d=1200",
        "1 connected h1",
        "2 read h1 UP r",
        "100 read c1 M 1",
        "130 read h1 M 1",
        "200 read c1 M 2",
        "240 read h1 M 2",
        "1200 read c1 M 3",
        "1240 read h1 M 3",
        "1300 read c1 M 4",
        "1301 read h1 M 4",
        "1400 read c1 M 5",
        "1401 read h1 M 5",
    ):
        time, verb, *args = line.split()
        world.act(ms(time), verb, args)
    assert reported == [(130, 30), (1240, 40), (1301, 1)]
