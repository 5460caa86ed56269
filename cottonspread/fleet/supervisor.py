"""The supervisor's I/O shell: executes the core's effects on processes, sockets, files and signals.

It is a single-threaded event loop and makes no decisions about instances. It needs no threads because nothing
here is in the path of client traffic except the BUSY answers, which are one line each; and with a single
thread no order of events occurs that the tests of the core do not cover.
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
from dataclasses import replace

from cottonspread import config
from cottonspread.config import operator as op
from cottonspread.fleet import control, notify, store_follower
from cottonspread.fleet import plan as plans
from cottonspread.fleet.addresses import AnswerBusy, CloseListener
from cottonspread.fleet.adoption import Adoption
from cottonspread.fleet.busy import MAX_CLIENTS, BusyResponder
from cottonspread.fleet.connection import BackgroundWriter, JsonConnection
from cottonspread.fleet.core import (
    AllStopped,
    ApplyLive,
    Core,
    Kill,
    LogEvent,
    RolloutEnded,
    Start,
    StartAccepting,
    StopAccepting,
)
from cottonspread.lists.saved import write_atomically

log = logging.getLogger("cottonspread.fleet")

POLL_INTERVAL = 0.05  # seconds
STATUS_INTERVAL = 5.0  # seconds between status lines to the service manager


def now():
    """Returns microseconds of the monotonic clock."""
    return time.monotonic_ns() // 1000


class Supervisor:
    """Runs the instances of a fleet."""

    def __init__(self, path, program, check):
        """`path`: the operator's file. `program` and `check`: see `plan.read`."""
        self.path, self.own_program, self.check = os.path.abspath(path), tuple(program), check
        self.logging, _, self.fleet, section = op.read_fleet(self.path)
        self.store_follower = store_follower.StoreFollower(self, section) if section else None
        self.folder, self.logs = plans.folders(self.path, self.fleet)
        self.manager, self.selector, self.timers = notify.ServiceManager(), selectors.DefaultSelector(), []
        self.listeners, self.busy = {}, BusyResponder(self.selector, self.call_later)  # listeners: by address
        self.children, self.pidfds, self.instance_connections = {}, {}, {}  # by (name, generation)
        self.unconnected = set()  # (name, generation) of processes without a control connection
        self.pending_replies, self.was_ready, self.done, self.started_at = [], False, False, time.monotonic()
        self.handlers = {
            Start: self.start_instance,
            StartAccepting: lambda effect: self.send_to_instance(effect, {"do": "take"}),
            StopAccepting: lambda effect: self.send_to_instance(
                effect, {"do": "leave", "handed": effect.has_successor}
            ),
            ApplyLive: lambda effect: self.send_to_instance(
                effect, {"do": "apply", "live": effect.spec.live}
            ),
            Kill: lambda effect: self.kill_process(effect.name, effect.generation),
            AnswerBusy: self.set_answering_busy,
            CloseListener: self.close_listener,
            LogEvent: self.log_event,
            RolloutEnded: self.rollout_ended,
            AllStopped: self.all_stopped,
        }

    # Start

    def prepare(self):
        """Checks all preconditions before anything is started, and adopts running instances."""
        try:
            os.makedirs(self.folder, exist_ok=True)
            os.makedirs(self.logs, exist_ok=True)
        except OSError as error:
            raise op.OperatorFileError([f"{self.path}: fleet.state: {error}"]) from error
        longest_path = os.path.join(self.folder, f"{self.fleet.name}-255.{10**6}.sock")
        if len(longest_path) > control.MAX_SOCKET_PATH:
            raise op.OperatorFileError(
                [
                    f"{self.path}: fleet.state: {self.folder}: the path is too long for sockets: "
                    f"{len(longest_path)} bytes with their names; the limit is {control.MAX_SOCKET_PATH}"
                ]
            )
        self.lock = control.Lock(os.path.join(self.folder, "fleet.pid"))
        if not self.lock.acquire():
            raise op.OperatorFileError(
                [
                    f"{self.path}: fleet.state: {self.folder}: another supervisor is running there, "
                    f"pid {self.lock.holder_pid()}"
                ]
            )
        self.raise_descriptor_limit(self.fleet.instances)
        saved = self.load_state()
        self.program = tuple(saved.get("program") or self.own_program)
        if self.store_follower:
            self.store_follower.prepare()
        plan = self.read_plan(self.program)
        found = Adoption(self.folder, self.fleet.stuck_s).run()
        for instance in found:
            self.take_listener(instance)
        self.open_listeners(plan)
        self.core = Core(now(), plan)
        self.core.generation = saved.get("generation", 0)
        self.control = control.listen(os.path.join(self.folder, "fleet.sock"))
        self.control.setblocking(False)
        self.selector.register(self.control, selectors.EVENT_READ, self.accept_command_connection)
        for instance in found:
            self.adopt(instance)
        self.step("finish_adoption")

    def read_plan(self, program):
        """Reads the current plan from the files and the store's body."""
        published = self.store_follower.wanted_body if self.store_follower else None
        return plans.read(self.path, program, self.check, published)

    def open_listeners(self, plan):
        """Opens listening sockets for addresses that have none yet."""
        self.listeners |= plans.bind_all(s for s in plan.specs.values() if s.address not in self.listeners)

    def raise_descriptor_limit(self, instances):
        """Raises the descriptor limit to what the supervisor needs, or fails.

        It needs a listener per instance, and a control socket and a pidfd for each of its processes, of which
        there are two during a change. An instance's process has its own limit.
        """
        need = 5 * instances + MAX_CLIENTS + 32
        hard_limit = control.raise_descriptor_limit(need)
        if hard_limit < need:
            raise op.OperatorFileError(
                [
                    f"{self.path}: fleet.instances: {instances} need {need} descriptors; "
                    f"the limit is {hard_limit} (ulimit -n)"
                ]
            )

    def load_state(self):
        """Reads fleet.json; returns an empty dict if it is missing or unreadable."""
        try:
            with open(os.path.join(self.folder, "fleet.json"), encoding="utf-8") as file:
                return json.load(file)
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as error:
            log.warning("state", extra={"pairs": {"why": error, "kept": "nothing"}})
            return {}

    def save_state(self):
        """Writes fleet.json."""
        try:
            write_atomically(
                os.path.join(self.folder, "fleet.json"),
                json.dumps({"program": list(self.program), "generation": self.core.generation}),
            )
        except OSError as error:
            log.error("state", extra={"pairs": {"why": error}})

    def adopt(self, instance):
        """Adopts an instance that an earlier supervisor started."""
        key, spec = instance.key, instance.spec
        planned = self.core.plan.specs.get(spec.name)
        if planned and planned.start == spec.start:
            spec = replace(spec, start=planned.start)  # one text for both: it may be long, and is compared
        self.core.adopt(*key, spec, instance.status)
        self.pidfds[key] = instance.pidfd
        self.watch_process(*key)
        self.attach(*key, instance.connection)

    def take_listener(self, instance):
        """Takes over the listening socket that an instance has passed on."""
        if instance.spec.address in self.listeners:
            instance.listener.close()
        else:
            self.listeners[instance.spec.address] = instance.listener

    def control_path(self, name, generation):
        """Returns the path of an instance's control socket."""
        return os.path.join(self.folder, f"{name}.{generation}.sock")

    def attach(self, name, generation, connection):
        """Registers the control connection of an instance."""
        self.instance_connections[name, generation] = connection
        connection.watch(self.selector, lambda: self.receive_status(name, generation, connection))

    # The event loop

    def run(self):
        """Runs until all instances have stopped; returns the exit code."""
        wake_reader, wake_writer = socket.socketpair()
        for sock in (wake_reader, wake_writer):
            sock.setblocking(False)
        signal.set_wakeup_fd(wake_writer.fileno(), warn_on_full_buffer=False)
        signals = []
        for signum in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(signum, lambda n, _: signals.append(n))
        self.selector.register(wake_reader, selectors.EVENT_READ, lambda: wake_reader.recv(4096))
        self.step("tick")
        self.start_timers()
        while not self.done:
            remaining = max(0.0, self.timers[0][0] - time.monotonic()) if self.timers else POLL_INTERVAL
            self.poll_sockets(min(POLL_INTERVAL, remaining))
            while signals:
                signum = signals.pop(0)
                if signum == signal.SIGHUP:
                    self.call_guarded(self.reload, None)
                else:
                    self.manager.notify_stopping()
                    self.step("stop")
            while self.timers and self.timers[0][0] <= time.monotonic():
                self.call_guarded(heapq.heappop(self.timers)[2])
            self.connect_instances()
            self.step("tick")
        if self.store_follower:
            self.store_follower.stop()
        self.busy.close_all(self.listeners.values(), lambda: self.poll_sockets(POLL_INTERVAL))
        control.unlink(os.path.join(self.folder, "fleet.sock"))
        return 0

    def start_timers(self):
        """Starts the periodic tasks."""
        self.call_later(0, self.send_status)
        if self.manager.watchdog_interval:
            self.call_later(0, self.send_watchdog)
        if self.store_follower:
            self.store_follower.start()
            self.call_later(0, self.poll_store)

    def poll_store(self):
        """Rolls out what the configuration store delivered."""
        self.call_later(POLL_INTERVAL, self.poll_store)
        self.store_follower.process_records()

    def poll_sockets(self, wait):
        """Handles events of sockets and processes, waiting at most `wait` seconds."""
        for key, _ in self.selector.select(wait):
            if self.selector.get_map().get(key.fd) is not key:  # closed by an earlier event of this round
                continue
            self.call_guarded(key.data)

    def call_guarded(self, callback, *args):
        """Logs an unexpected exception and goes on."""
        try:
            callback(*args)
        except Exception:
            log.exception("fault", extra={"pairs": {"while": getattr(callback, "__qualname__", "event")}})

    def call_later(self, delay, callback):
        """Calls `callback` after `delay` seconds."""
        heapq.heappush(self.timers, (time.monotonic() + delay, id(callback), callback))

    def send_watchdog(self):
        """Sends the watchdog's keep-alive periodically."""
        self.manager.notify_watchdog()
        self.call_later(self.manager.watchdog_interval, self.send_watchdog)

    def send_status(self):
        """Sends the status line to the service manager periodically."""
        self.call_later(STATUS_INTERVAL, self.send_status)
        self.manager.send(f"STATUS={self.summary()}")

    def summary(self):
        """Returns the status line."""
        slots = self.core.slots.values()
        return f"{sum(s.serving() for s in slots)} of {len(slots)} instances serve"

    def step(self, event, *args):
        """Passes an event to the core and executes its effects."""
        effects = self.core.step(now(), event, *args)
        if any(isinstance(effect, Start) for effect in effects):
            self.save_state()  # the generation counter, once for all processes that start now
        for effect in effects:
            self.execute(effect)
        if not self.was_ready and self.core.ready():
            self.was_ready = True
            log.info(
                "ready",
                extra={"pairs": {"instances": len(self.core.slots), "s": time.monotonic() - self.started_at}},
            )
            self.manager.notify_ready(self.summary())

    def execute(self, effect):
        """Executes one effect; an unexpected exception does not lose the effects after it."""
        self.call_guarded(self.handlers[type(effect)], effect)

    def set_answering_busy(self, effect):
        """Starts or stops answering BUSY at an address."""
        if effect.enabled:
            self.busy.start(self.listeners[effect.address])
        else:
            self.busy.stop(self.listeners[effect.address])

    def close_listener(self, effect):
        """Closes the listening socket of an address that no instance uses any longer."""
        self.busy.close(self.listeners.pop(effect.address))

    def log_event(self, effect):
        """Writes a log line."""
        log.log(logging.getLevelName(effect.level.upper()), effect.event, extra={"pairs": effect.pairs})

    def all_stopped(self, effect):
        """Ends the loop."""
        log.info("stopped")
        self.reply({"ok": True, "why": "stopped"}, "stop")
        self.done = True

    # Processes

    def start_instance(self, effect):
        """Starts a process of an instance. Every failure is reported to the core, which waits for its end."""
        try:
            self.launch(effect)
        except Exception as error:
            if not isinstance(error, OSError):
                log.exception("fault", extra={"pairs": {"while": "Start"}})
            self.start_failed(effect, str(error) or type(error).__name__)

    def launch(self, effect):
        """Launches a process of an instance and passes it its configuration.

        `python -P` keeps the working directory off the module path, where it could shadow the requested
        program.
        """
        name, generation, spec = effect.name, effect.generation, effect.spec
        path = self.control_path(name, generation)
        python, checkout = json.loads(spec.start)["program"]
        listener = self.listeners[spec.address]
        start_message = {
            "name": name,
            "generation": generation,
            "start": with_live_settings(spec),
            "spec": spec.start,
            "live": spec.live,
            "folder": self.folder,
            "socket": path,
            "listener": listener.fileno(),
        }
        with open_log(os.path.join(self.logs, f"{name}.log")) as log_file:
            child = subprocess.Popen(
                [python, "-P", "-m", "cottonspread", "instance", "--socket", path],
                stdin=subprocess.PIPE,
                stdout=log_file,
                stderr=log_file,
                pass_fds=[listener.fileno()],
                start_new_session=True,
                env={**os.environ, "PYTHONPATH": checkout} if checkout else None,
            )
        self.children[name, generation] = child
        self.pidfds[name, generation] = os.pidfd_open(child.pid)
        self.watch_process(name, generation)
        BackgroundWriter(self.selector, child.stdin, json.dumps(start_message).encode() + b"\n")
        self.unconnected.add((name, generation))

    def start_failed(self, effect, why):
        """Ends a process that could not be started completely, and reports its end to the core."""
        key = effect.name, effect.generation
        child = self.children.get(key)
        if child is not None:
            child.kill()
            if key in self.pidfds:
                return  # process_exited reports its end
            child.wait()
            del self.children[key]
        # Deferred, because this runs inside a step of the core.
        self.call_later(0, lambda: self.step("not_started", *key, why))

    def connect_instances(self):
        """Connects to the control sockets of processes that are not connected."""
        for key in list(self.unconnected):
            try:
                sock = control.connect_now(self.control_path(*key))
            except OSError:
                continue
            self.unconnected.remove(key)
            self.attach(*key, JsonConnection(sock))

    def watch_process(self, name, generation):
        """Registers for the exit of a process."""
        fd = self.pidfds[name, generation]
        self.selector.register(fd, selectors.EVENT_READ, lambda: self.process_exited(name, generation))

    def process_exited(self, name, generation):
        """Cleans up after a process and passes its end to the core."""
        fd = self.pidfds.pop((name, generation))
        self.selector.unregister(fd)
        os.close(fd)
        # An adopted process is not a child of this one, so its exit status is unknown.
        child, how = self.children.pop((name, generation), None), "gone"
        if child:
            code = child.wait()
            how = f"signal {-code}" if code < 0 else f"exit {code}"
        self.unconnected.discard((name, generation))
        self.close_instance_connection(name, generation)
        self.step("exited", name, generation, how)

    def kill_process(self, name, generation):
        """Sends SIGKILL to a process."""
        fd = self.pidfds.get((name, generation))
        if fd is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(fd, signal.SIGKILL)

    def receive_status(self, name, generation, connection):
        """Passes status reports of an instance to the core."""
        messages, is_open = connection.receive()
        if not (is_open and connection.flush()):  # only the end of its process tells that it has ended
            self.close_instance_connection(name, generation)
            self.unconnected.add((name, generation))
        for message in messages:
            if isinstance(message.get("status"), dict):
                self.step("status_received", name, generation, message["status"])

    def close_instance_connection(self, name, generation):
        """Closes the control connection to an instance, if any."""
        connection = self.instance_connections.pop((name, generation), None)
        if connection:
            connection.close()

    def send_to_instance(self, effect, message):
        """Sends a message to an instance, if it is connected."""
        connection = self.instance_connections.get((effect.name, effect.generation))
        if connection:
            connection.send(message)

    # Commands

    def accept_command_connection(self):
        """Accepts a connection for operators' commands."""
        try:
            connection = JsonConnection(self.control.accept()[0])
        except OSError:
            return
        connection.watch(self.selector, lambda: self.run_commands(connection))

    def run_commands(self, connection):
        """Runs the commands that a connection received."""
        messages, is_open = connection.receive()
        for message in messages:
            try:
                self.run_command(connection, message)
            except config.ConfigurationError as error:
                connection.send({"ok": False, "why": str(error)})
            except Exception as error:  # unexpected: reported, and the supervisor goes on
                log.exception("fault", extra={"pairs": {"while": message.get("do")}})
                connection.send({"ok": False, "why": f"internal error: {type(error).__name__}: {error}"})
        if not is_open or not connection.flush():
            self.pending_replies = [
                (k, other) for k, other in self.pending_replies if other is not connection
            ]
            connection.close()

    def run_command(self, connection, message):
        """Runs one command; raises config.ConfigurationError if it is invalid."""
        command, name = message.get("do"), message.get("name")
        if name is not None and name not in self.core.slots:
            raise config.ConfigurationError(
                f"{name}: no such instance" + op.suggestion(str(name), self.core.slots)
            )
        if command == "status":
            connection.send({"ok": True, "status": self.status()})
        elif command == "reload":
            self.reload(connection)
        elif command == "upgrade":
            self.change_plan(
                (message["python"], message["checkout"]) if message.get("python") else self.own_program,
                "upgrade",
                connection,
            )
        elif command in ("drain", "restart"):
            self.step(command, name)
            connection.send({"ok": True, "why": "begun"})
        elif command == "stop":
            self.pending_replies.append(("stop", connection))
            self.manager.notify_stopping()
            self.step("stop")
        else:
            raise config.ConfigurationError(f"{command}: no such command")

    def reload(self, connection):
        """Reads the files again and rolls out what changed. `connection`: the command's, or None."""
        self.manager.notify_reloading()
        try:
            pending = self.core.pending
            self.change_plan((pending[0] if pending else self.core.plan).program, "reload", connection)
        except config.ConfigurationError as error:
            log.error("reload", extra={"pairs": {"why": error, "kept": "the old configuration"}})
            self.manager.notify_ready(self.summary())
            if connection:
                raise

    def change_plan(self, program, why, connection):
        """Reads a new plan for a program and starts its rollout."""
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
                [
                    f"{self.path}: fleet.{key}: a change of this key needs a restart of the supervisor"
                    for key in fixed
                ]
            )
        if self.store_follower and op.read(self.path)[3] != self.store_follower.section:
            raise op.OperatorFileError(
                [f"{self.path}: configuration: a change of this section needs a restart of the supervisor"]
            )
        self.begin_rollout(plan, why, connection)

    def begin_rollout(self, plan, why, connection):
        """Starts a rollout; its outcome is sent to `connection`, if any."""
        self.open_listeners(plan)
        if connection:
            self.pending_replies.append((plan, connection))
        self.step("change_plan", plan, why)

    def rollout_ended(self, effect):
        """Saves the program in force and sends the outcome to the connections that wait for it."""
        # The program is saved only now: after a crash during an upgrade the next supervisor rolls it back.
        self.program = effect.plan.program
        self.save_state()
        self.manager.notify_ready(self.summary())
        self.reply({"ok": effect.ok, "why": effect.why or "done"}, effect.target)

    def reply(self, message, kind):
        """Sends a reply to the connections that wait for `kind`: a plan's rollout or "stop"."""
        for k, connection in self.pending_replies:
            if k is kind:
                connection.send(message)
        self.pending_replies = [(k, connection) for k, connection in self.pending_replies if k is not kind]

    def status(self):
        """Returns the fleet's status as a dict for JSON."""
        rows = []
        for slot in self.core.slots.values():
            p = slot.active or slot.successor
            reported = p.status if p else {}
            rows.append(
                {
                    "instance": slot.name,
                    "address": "{}:{}".format(*slot.spec.address),
                    "pid": reported.get("pid"),
                    "state": self.core.state_of(slot),
                    "generation": p.generation if p else None,
                    "since_s": round((self.core.now - p.state_since) / 1e6, 1) if p else None,
                    "connections": reported.get("connections"),
                    "calls": reported.get("calls"),
                    "list": reported.get("list"),
                    "version": reported.get("version"),
                    "ended": reported.get("ended"),
                    "bad": reported.get("bad"),
                    "restarts": slot.restarts,
                    "why": slot.last_failure,
                    "leaving": len(slot.leaving),
                }
            )
        r = self.core.rollout
        return {
            "fleet": self.fleet.name,
            "pid": os.getpid(),
            "ready": self.core.ready(),
            "program": list(self.core.plan.program),
            "configuration": self.store_follower.status() if self.store_follower else None,
            "rollout": {
                "of": r.why,
                "to_do": len(r.todo),
                "under_way": len(r.in_progress),
                "going_back": r.rollback_reason,
            }
            if r
            else None,
            "instances": rows,
        }


def with_live_settings(spec):
    """Returns the start part with the complete configuration, where programs of earlier releases read it."""
    start, live = json.loads(spec.start), json.loads(spec.live)
    start["config"] |= {key: live[key] for key in plans.LIVE_KEYS if key in live}
    return plans.canonical_json(start)


def open_log(path):
    """Opens an instance's log file, or /dev/null if that fails, so that the instance runs anyway."""
    try:
        return open(path, "ab")
    except OSError as error:
        log.error("log", extra={"pairs": {"file": path, "why": error}})
        return open(os.devnull, "ab")
