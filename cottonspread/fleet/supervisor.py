"""Carries out what the core decides: processes, sockets, files, signals.

One thread, one loop; it decides nothing about instances.

Why one loop and no threads: nothing here is on a client's path except the door, which sends one line, and a
supervisor with one thread has no order of events that its tests do not have.
"""

import contextlib
import heapq
import json
import logging
import os
import selectors
import signal
import socket
import subprocess
import time

from cottonspread import config
from cottonspread.config import operator as op
from cottonspread.fleet import carrying, control, notify
from cottonspread.fleet import plan as plans
from cottonspread.fleet.core import Apply, Core, Door, Forget, Kill, Leave, Outcome, Over, Say, Start, Take
from cottonspread.lists.saved import write_atomically

log = logging.getLogger("cottonspread.fleet")

TICK = 0.05
DOOR_WAIT = 1.0  # what a client gets to send its first line, and then to close, at the door
MOST_AT_DOOR = 64
STATUS_EVERY = 5.0


def now():
    return time.monotonic_ns() // 1000


class Guest:
    """A client at the door: its first line is read, for closing on unread bytes would eat the BUSY."""

    def __init__(self, sock):
        self.sock, self.data, self.answered = sock, b"", False


class Supervisor:
    def __init__(self, path, program, check):
        self.path, self.own_program, self.check = os.path.abspath(path), tuple(program), check
        self.logging, _, self.fleet, section = op.read_fleet(self.path)
        self.follower = carrying.Carrying(self, section) if section else None
        self.folder, self.logs = plans.folders(self.path, self.fleet)
        self.manager, self.selector, self.timers = notify.ServiceManager(), selectors.DefaultSelector(), []
        self.sockets, self.doors, self.guests = {}, {}, {}  # by address; by name; by socket
        self.children, self.pidfds, self.channels = {}, {}, {}  # by (name, generation)
        self.waiting = {}  # control sockets not yet there
        self.answers, self.was_ready, self.done, self.began = [], False, False, time.monotonic()
        self.handlers = {
            Start: self.start,
            Take: lambda effect: self.order(effect, {"do": "take"}),
            Leave: lambda effect: self.order(effect, {"do": "leave", "handed": effect.handed}),
            Apply: lambda effect: self.order(effect, {"do": "apply", "live": effect.spec.live}),
            Kill: lambda effect: self.end(effect.name, effect.generation),
            Door: self.turn_door,
            Forget: self.forget,
            Say: self.say,
            Outcome: self.outcome,
            Over: self.over,
        }

    # The start

    def prepare(self):
        """Everything that can be in the way is found before anything is started."""
        try:
            os.makedirs(self.folder, exist_ok=True)
            os.makedirs(self.logs, exist_ok=True)
        except OSError as fault:
            raise op.OperatorFileError([f"{self.path}: fleet.state: {fault}"]) from fault
        longest = os.path.join(self.folder, f"{self.fleet.name}-255.{10**6}.sock")
        if len(longest) > control.MAX_SOCKET_PATH:
            raise op.OperatorFileError(
                [
                    f"{self.path}: fleet.state: {self.folder}: too long a path for sockets: "
                    f"{len(longest)} bytes with their names, {control.LONGEST_PATH} are possible"
                ]
            )
        self.lock = control.Lock(os.path.join(self.folder, "fleet.pid"))
        if not self.lock.acquire():
            raise op.OperatorFileError(
                [
                    f"{self.path}: fleet.state: {self.folder}: a supervisor runs there already, "
                    f"pid {self.lock.holder_pid()}"
                ]
            )
        self.room(self.fleet.instances)
        kept = self.kept()
        self.program = tuple(kept.get("program") or self.own_program)
        if self.follower:
            self.follower.prepare()
        plan = self.read_plan(self.program)
        found = self.find_instances()
        self.bind(plan)
        self.core = Core(now(), plan)
        self.core.generation = kept.get("generation", 0)
        self.control = control.listen(os.path.join(self.folder, "fleet.sock"))
        self.control.setblocking(False)
        self.selector.register(self.control, selectors.EVENT_READ, self.welcome)
        for name, generation, spec, status, sock in found:
            self.core.adopted(name, generation, spec, status)
            self.follow(name, generation, sock)
        self.tell("settle")

    def read_plan(self, program):
        """The plan of files and carried configuration now."""
        carried = self.follower.wanted if self.follower else None
        return plans.read(self.path, program, self.check, carried)

    def bind(self, plan):
        """The addresses that are not held yet."""
        self.sockets |= plans.bind_all(s for s in plan.specs.values() if s.address not in self.sockets)

    def room(self, instances):
        """Each instance costs a listener, a control socket and a pidfd, twice while it is
        changed; its process has its own limit.
        """
        need = 5 * instances + MOST_AT_DOOR + 32
        hard = control.raise_descriptor_limit(need)
        if hard < need:
            raise op.OperatorFileError(
                [
                    f"{self.path}: fleet.instances: {instances} need {need} descriptors; "
                    f"the limit is {hard} (ulimit -n)"
                ]
            )

    def kept(self):
        try:
            with open(os.path.join(self.folder, "fleet.json"), encoding="utf-8") as file:
                return json.load(file)
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as fault:
            log.warning("state", extra={"pairs": {"why": fault, "kept": "nothing"}})
            return {}

    def keep(self):
        try:
            write_atomically(
                os.path.join(self.folder, "fleet.json"),
                json.dumps({"program": list(self.program), "generation": self.core.generation}),
            )
        except OSError as fault:
            log.error("state", extra={"pairs": {"why": fault}})

    def find_instances(self):
        """Those that an earlier supervisor left: asked who they are.

        One that does not answer is ended; what is stale goes.
        """
        found = []
        running = instances_running()
        for file in sorted(os.listdir(self.folder)):
            path = os.path.join(self.folder, file)
            if not file.endswith(".sock") or file == "fleet.sock":
                continue
            pid = running.get(path)
            if pid is None:
                control.unlink(path)
                continue
            try:
                sock = control.connect(path)
                line, said, until = control.JsonConnection(sock), [], time.monotonic() + 1
                while len(said) < 2 and time.monotonic() < until:
                    said += line.receive()[0]
                    time.sleep(0.005)
                hello, status = said[0], said[1]["status"]
                line.send({"do": "socket"})
                sock.settimeout(1.0)
                _, fds, _, _ = socket.recv_fds(sock, 1, 1)
                listener = socket.socket(fileno=fds[0])
                spec = plans.Spec(hello["hello"], listener.getsockname()[:2], hello["start"], hello["live"])
                if spec.address in self.sockets:
                    listener.close()
                else:
                    self.sockets[spec.address] = listener
                self.pidfds[spec.name, hello["generation"]] = os.pidfd_open(pid)
                found.append((spec.name, hello["generation"], spec, status, sock))
            except (OSError, ValueError, LookupError) as fault:
                log.error(
                    "not-adopted",
                    extra={"pairs": {"pid": pid, "socket": file, "why": fault or type(fault).__name__}},
                )
                end_process(pid)
                control.unlink(path)
        return found

    def follow(self, name, generation, sock):
        """A control connection that stands, and the process behind it."""
        line = control.JsonConnection(sock)
        self.channels[name, generation] = line
        self.selector.register(sock, selectors.EVENT_READ, lambda: self.hear(name, generation, line))
        if (name, generation) in self.pidfds and (name, generation) not in self.children:
            self.watch_process(name, generation)

    # The loop

    def run(self):
        wake, ring = socket.socketpair()
        for sock in (wake, ring):
            sock.setblocking(False)
        signal.set_wakeup_fd(ring.fileno(), warn_on_full_buffer=False)
        signals = []
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda n, _: signals.append(n))
        self.selector.register(wake, selectors.EVENT_READ, lambda: wake.recv(4096))
        self.tell("tick")
        self.begin_regular_work()
        while not self.done:
            left = max(0.0, self.timers[0][0] - time.monotonic()) if self.timers else TICK
            self.hear_all(min(TICK, left))
            while signals:
                number = signals.pop(0)
                if number == signal.SIGHUP:
                    self.guarded(self.reload, None)
                else:
                    self.manager.notify_stopping()
                    self.tell("stop")
            while self.timers and self.timers[0][0] <= time.monotonic():
                self.guarded(heapq.heappop(self.timers)[2])
            self.connect_waiting()
            self.tell("tick")
        if self.follower:
            self.follower.stop()
        self.close_up()
        control.unlink(os.path.join(self.folder, "fleet.sock"))
        return 0

    def begin_regular_work(self):
        self.at(0, self.regularly)
        if self.manager.watchdog_interval:
            self.at(0, self.alive)
        if self.follower:
            self.follower.start()
            self.at(0, self.follow_on)

    def follow_on(self):
        self.at(TICK, self.follow_on)
        self.follower.look()

    def hear_all(self, wait):
        for key, _ in self.selector.select(wait):
            if self.selector.get_map().get(key.fd) is not key:  # closed by what came before it in this round
                continue
            self.guarded(key.data)

    def guarded(self, what, *args):
        """Our own faults: in plain sight, and the fleet goes on."""
        try:
            what(*args)
        except Exception:
            log.exception("fault", extra={"pairs": {"while": getattr(what, "__qualname__", "event")}})

    def at(self, after, what):
        heapq.heappush(self.timers, (time.monotonic() + after, id(what), what))

    def alive(self):
        self.manager.notify_watchdog()
        self.at(self.manager.watchdog_interval, self.alive)

    def regularly(self):
        self.at(STATUS_EVERY, self.regularly)
        self.manager.send(f"STATUS={self.summary()}")

    def summary(self):
        slots = self.core.slots.values()
        return f"{sum(s.serving() for s in slots)} of {len(slots)} instances serve"

    def tell(self, what, *args):
        effects = self.core.step(now(), what, *args)
        if any(isinstance(effect, Start) for effect in effects):
            self.keep()  # the generations, once for all that start now
        for effect in effects:
            self.carry_out(effect)
        if not self.was_ready and self.core.ready():
            self.was_ready = True
            log.info(
                "ready",
                extra={"pairs": {"instances": len(self.core.slots), "s": time.monotonic() - self.began}},
            )
            self.manager.notify_ready(self.summary())

    def carry_out(self, effect):
        self.handlers[type(effect)](effect)

    def turn_door(self, effect):
        self.close_door(effect.name)
        if effect.open:
            self.open_door(effect.name)

    def forget(self, effect):
        self.close_door(effect.name)
        self.drop_sockets()

    def say(self, effect):
        log.log(logging.getLevelName(effect.level.upper()), effect.event, extra={"pairs": effect.pairs})

    def over(self, effect):
        log.info("stopped")
        self.answer({"ok": True, "why": "stopped"}, "stop")
        self.done = True

    # Processes

    def start(self, effect):
        """-P: the folder that we happen to run in is not searched, or it would shadow the
        program asked for.
        """
        name, generation, spec = effect.name, effect.generation, effect.spec
        path = os.path.join(self.folder, f"{name}.{generation}.sock")
        python, checkout = json.loads(spec.start)["program"]
        listener = self.sockets[spec.address]
        told = {
            "name": name,
            "generation": generation,
            "start": with_live(spec),
            "spec": spec.start,
            "live": spec.live,
            "folder": self.folder,
            "socket": path,
            "listener": listener.fileno(),
        }
        try:
            with open_log(os.path.join(self.logs, f"{name}.log")) as out:
                child = subprocess.Popen(
                    [python, "-P", "-m", "cottonspread", "instance", "--socket", path],
                    stdin=subprocess.PIPE,
                    stdout=out,
                    stderr=out,
                    pass_fds=[listener.fileno()],
                    start_new_session=True,
                    env={**os.environ, "PYTHONPATH": checkout} if checkout else None,
                )
            self.children[name, generation] = child
            self.pidfds[name, generation] = os.pidfd_open(child.pid)
            self.watch_process(name, generation)
            with child.stdin:
                child.stdin.write(json.dumps(told).encode() + b"\n")
        except OSError as fault:
            child, why = self.children.get((name, generation)), str(fault)
            if child is not None:
                child.kill()
                if (name, generation) in self.pidfds:
                    return  # its end will be noticed
                child.wait()
                del self.children[name, generation]
            # not inside of a step of the core
            self.at(0, lambda: self.tell("not_started", name, generation, why))
            return
        self.waiting[name, generation] = path

    def connect_waiting(self):
        for (name, generation), path in list(self.waiting.items()):
            try:
                sock = control.connect(path)
            except OSError:
                continue
            del self.waiting[name, generation]
            self.follow(name, generation, sock)

    def watch_process(self, name, generation):
        fd = self.pidfds[name, generation]
        self.selector.register(fd, selectors.EVENT_READ, lambda: self.process_over(name, generation))

    def process_over(self, name, generation):
        fd = self.pidfds.pop((name, generation))
        self.selector.unregister(fd)
        os.close(fd)
        child, how = self.children.pop((name, generation), None), "gone"
        if child:
            code = child.wait()
            how = f"signal {-code}" if code < 0 else f"exit {code}"
        self.waiting.pop((name, generation), None)
        self.drop_channel(name, generation)
        self.tell("exited", name, generation, how)
        if not self.core.rollout:
            self.drop_sockets()

    def end(self, name, generation):
        fd = self.pidfds.get((name, generation))
        if fd is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(fd, signal.SIGKILL)

    def hear(self, name, generation, line):
        said, stands = line.receive()
        if not stands:
            self.drop_channel(name, generation)
        for one in said:
            if isinstance(one.get("status"), dict):
                self.tell("told", name, generation, one["status"])

    def drop_channel(self, name, generation):
        line = self.channels.pop((name, generation), None)
        if line:
            self.let_go(line.sock)

    def let_go(self, sock):
        self.selector.unregister(sock)
        sock.close()

    def order(self, effect, said):
        line = self.channels.get((effect.name, effect.generation))
        if line:
            line.send(said)

    def drop_sockets(self):
        """Addresses that nobody wants any more."""
        wanted = {s.spec.address for s in self.core.slots.values()} | {
            p.spec.address for p in self.core.processes()
        }
        wanted |= {s.address for s in self.core.plan.specs.values()}
        for address in self.sockets.keys() - wanted:
            self.sockets.pop(address).close()

    # The door

    def open_door(self, name):
        sock = self.sockets.get(self.core.slots[name].spec.address)
        if sock and sock not in self.doors.values():
            self.doors[name] = sock
            self.selector.register(sock, selectors.EVENT_READ, lambda: self.at_door(sock))

    def close_door(self, name):
        sock = self.doors.pop(name, None)
        if sock:
            self.selector.unregister(sock)

    def at_door(self, listener, at_once=False):
        """Whether there was one."""
        try:
            sock = listener.accept()[0]
        except OSError:
            return False
        sock.setblocking(False)
        guest = Guest(sock)
        if at_once:  # its line is here, or it comes too late
            with contextlib.suppress(OSError):
                guest.data = sock.recv(4096)
            self.turn_away(guest)
            sock.close()
            return True
        self.guests[sock] = guest
        self.selector.register(sock, selectors.EVENT_READ, lambda: self.guest(guest))
        self.at(DOOR_WAIT, lambda: self.guest_late(guest))
        if len(self.guests) > MOST_AT_DOOR:
            oldest = next(iter(self.guests.values()))
            self.guest(oldest)  # its line, if it is here
            self.turn_away(oldest)
            self.see_out(oldest)
        return True

    def close_up(self):
        """The end of all addresses.

        Who is in the queue of one when it closes gets a reset, so nobody is left in it.
        """
        for name in list(self.doors):
            self.close_door(name)
        for sock in list(self.sockets.values()):
            self.at_door(sock)
        until = time.monotonic() + DOOR_WAIT
        while self.guests and time.monotonic() < until:
            self.hear_all(TICK)
        for sock in self.sockets.values():
            while self.at_door(sock, at_once=True):
                pass
            sock.close()

    def guest(self, guest):
        try:
            data = guest.sock.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        guest.data = (guest.data + data)[:4096]
        if not data:
            self.see_out(guest)
        elif b"\n" in guest.data or len(guest.data) == 4096:
            self.turn_away(guest)

    def turn_away(self, guest):
        if guest.answered:
            return
        guest.answered = True
        try:
            guest.sock.send(b"ERR\r\n" if guest.data.strip() == b"PING" else b"BUSY\r\n")
            guest.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.see_out(guest)

    def guest_late(self, guest):
        if guest.sock in self.guests:
            late = guest.answered
            self.turn_away(guest)
            self.see_out(guest) if late else self.at(DOOR_WAIT, lambda: self.see_out(guest))

    def see_out(self, guest):
        if self.guests.pop(guest.sock, None):
            self.let_go(guest.sock)

    # Commands

    def welcome(self):
        try:
            line = control.JsonConnection(self.control.accept()[0])
        except OSError:
            return
        self.selector.register(line.sock, selectors.EVENT_READ, lambda: self.command(line))

    def command(self, line):
        said, stands = line.receive()
        for one in said:
            try:
                self.obey(line, one)
            except config.ConfigurationError as fault:
                line.send({"ok": False, "why": str(fault)})
            except Exception as fault:  # our own: told, and the fleet goes on
                log.exception("fault", extra={"pairs": {"while": one.get("do")}})
                line.send({"ok": False, "why": f"our own fault: {type(fault).__name__}: {fault}"})
        if not stands or not line.flush():
            self.answers = [(k, other) for k, other in self.answers if other is not line]
            self.let_go(line.sock)

    def obey(self, line, one):
        do, name = one.get("do"), one.get("name")
        if name is not None and name not in self.core.slots:
            raise config.ConfigurationError(
                f"{name}: no such instance" + op.suggestion(str(name), self.core.slots)
            )
        if do == "status":
            line.send({"ok": True, "status": self.status()})
        elif do == "reload":
            self.reload(line)
        elif do == "upgrade":
            self.change(
                (one["python"], one["checkout"]) if one.get("python") else self.own_program, "upgrade", line
            )
        elif do in ("drain", "restart"):
            self.tell(do, name)
            line.send({"ok": True, "why": "begun"})
        elif do == "stop":
            self.answers.append(("stop", line))
            self.manager.notify_stopping()
            self.tell("stop")
        else:
            raise config.ConfigurationError(f"{do}: no such command")

    def reload(self, line):
        self.manager.notify_reloading()
        try:
            pending = self.core.pending
            self.change((pending[0] if pending else self.core.plan).program, "reload", line)
        except config.ConfigurationError as fault:
            log.error("reload", extra={"pairs": {"why": fault, "kept": "the old configuration"}})
            self.manager.notify_ready(self.summary())
            if line:
                raise

    def change(self, program, why, line):
        if self.core.stopping:
            raise config.ConfigurationError("the fleet is stopping")
        plan = self.read_plan(program)
        fixed = [
            key
            for key, _, meta in op.fields(op.Fleet)
            if meta.extra["reload"] == "new" and getattr(plan.fleet, key) != getattr(self.fleet, key)
        ]
        if fixed:
            raise op.OperatorFileError(
                [f"{self.path}: fleet.{key}: only a new supervisor takes this over" for key in fixed]
            )
        if self.follower and op.read(self.path)[3] != self.follower.section:
            raise op.OperatorFileError([f"{self.path}: configuration: only a new supervisor takes this over"])
        self.begin(plan, why, line)

    def begin(self, plan, why, line):
        """`line`, if any, is told the outcome."""
        self.bind(plan)
        if line:
            self.answers.append((plan, line))
        self.tell("replan", plan, why)

    def outcome(self, effect):
        # only now: a supervisor that dies in an upgrade has a successor that goes back
        self.program = effect.plan.program
        self.keep()
        self.manager.notify_ready(self.summary())
        self.answer({"ok": effect.ok, "why": effect.why or "done"}, effect.target)

    def answer(self, said, kind):
        for k, line in self.answers:
            if k is kind:
                line.send(said)
        self.answers = [(k, line) for k, line in self.answers if k is not kind]

    def status(self):
        rows = []
        for slot in self.core.slots.values():
            p = slot.holder or slot.next
            seen = p.seen if p else {}
            rows.append(
                {
                    "instance": slot.name,
                    "address": "{}:{}".format(*slot.spec.address),
                    "pid": seen.get("pid"),
                    "state": self.core.state_of(slot),
                    "generation": p.generation if p else None,
                    "since_s": round((self.core.now - p.since) / 1e6, 1) if p else None,
                    "connections": seen.get("connections"),
                    "calls": seen.get("calls"),
                    "list": seen.get("list"),
                    "version": seen.get("version"),
                    "ended": seen.get("ended"),
                    "bad": seen.get("bad"),
                    "restarts": slot.restarts,
                    "why": slot.why,
                    "leaving": len(slot.leaving),
                }
            )
        r = self.core.rollout
        return {
            "fleet": self.fleet.name,
            "pid": os.getpid(),
            "ready": self.core.ready(),
            "program": list(self.core.plan.program),
            "configuration": self.follower.status() if self.follower else None,
            "rollout": {"of": r.why, "to_do": len(r.todo), "under_way": len(r.doing), "going_back": r.back}
            if r
            else None,
            "instances": rows,
        }


def with_live(spec):
    """The starting part with its whole configuration: programs of earlier releases read it there."""
    start, live = json.loads(spec.start), json.loads(spec.live)
    start["config"] |= {key: live[key] for key in plans.LIVE if key in live}
    return plans.canonical(start)


def open_log(path):
    """The instance's log; where it cannot be opened the instance runs all the same."""
    try:
        return open(path, "ab")
    except OSError as fault:
        log.error("log", extra={"pairs": {"file": path, "why": fault}})
        return open(os.devnull, "ab")


def instances_running():
    """pid by control socket of every instance on this machine, by their command lines: a
    pid in a file may be anybody's by now.
    """
    found = {}
    for pid in filter(str.isdigit, os.listdir("/proc")):
        try:
            with open(f"/proc/{pid}/cmdline", "rb") as file:
                words = file.read().split(b"\0")
        except OSError:
            continue
        if b"instance" in words and b"--socket" in words[:-1]:
            found[os.fsdecode(words[words.index(b"--socket") + 1])] = int(pid)
    return found


def end_process(pid, wait=5.0):
    """SIGKILL, and wait until it is gone."""
    try:
        fd = os.pidfd_open(pid)
    except OSError:
        return
    try:
        signal.pidfd_send_signal(fd, signal.SIGKILL)
        with selectors.DefaultSelector() as selector:
            selector.register(fd, selectors.EVENT_READ)
            selector.select(wait)
    except ProcessLookupError:
        pass
    finally:
        os.close(fd)
