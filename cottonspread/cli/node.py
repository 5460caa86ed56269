"""`serve`, `check` and `version`: one node."""

import contextlib
import errno
import json
import logging
import os
import queue
import signal
import sys
import time

from cottonspread import __version__, config
from cottonspread.fleet import notify
from cottonspread.net import discovery, logfmt
from cottonspread.net import events as ev
from cottonspread.net.node import Node, most_ends

log = logging.getLogger("cottonspread.cli")


def text_of(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as fault:
        raise config.ConfigurationError(f"configuration: {path}: {fault}") from fault


def read(path):
    return read_text(text_of(path), os.environ)


def read_text(text, environment=None):
    parts = config.read_node(text, environment or {})
    try:
        discovery.read_list(parts[-1], parts[2])
    except discovery.ListError as fault:
        raise config.ConfigurationError(f"known: {fault}") from fault
    return parts


def operator(path):
    """The operator's sections, or their defaults without a file: (log or None, whole)."""
    if not path:
        return None
    # needs msgspec, which a node without such a file need not have
    from cottonspread.config import operator as op

    return op.read(path)


def serve(path, operators=None):
    def ask_to_stop(node, force):
        follows.stop(node, force) if follows else node.stop()

    asked = queue.SimpleQueue()  # by signals, which may come while one is being dealt with
    signal.signal(signal.SIGHUP, lambda *_: asked.put(reload))
    # from the first moment: one that came during the start killed it
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: asked.put(ask_to_stop))
    own = operator(operators)
    force = InForce(path, own[3].own if own and own[3] else ())
    listener = None
    if os.environ.get("PROXY_INHERITED_FD"):
        from cottonspread.cli import succession  # what a node that owns its listener need not load

        listener = succession.inherited(os.environ)
    follows = follower = None
    name = force.parts[0].name
    write_out = logfmt.start(name, own[0].level.upper(), own[0].format) if own else logfmt.start(name)
    parts = list(force.parts)
    try:
        if own and own[3]:
            follower = follow_configuration(own[3], operators, force, asked)
            parts = list(force.parts)
        follows = succession.Succession(parts) if listener else None
        node = Node(
            *parts, keep=follows and follows.known.keep, ended=lambda: asked.put(lambda node, force: None)
        )
        node.start(listener)
        if follower:
            follower.start()
        serve_on(node, force, follows, asked)
        return 0
    except OSError as fault:
        where = fault.filename or "listen: {}:{}".format(*parts[0].listen)
        what = "address in use" if fault.errno == errno.EADDRINUSE else fault.strerror or fault
        print(f"cottonspread: {where}: {what}", file=sys.stderr)
        return 1
    finally:
        if follower:
            follower.stop()
        write_out()


def serve_on(node, force, follows, asked):
    """Until the node has ended: does what is asked, and tells the service manager."""
    manager, told = notify.Manager(), False
    while not node.join(0):
        if follows:
            follows.look(node)
        if manager.address:
            told = report(manager, node, told)
        with contextlib.suppress(queue.Empty):
            asked.get(timeout=0.1 if not follows or follows.state == "serving" else 0.02)(node, force)


class InForce:
    """The configuration that the node runs under: `values` as it is in force, `parts` as the node started
    with them.

    `carried`: the text that the configuration store told, which then stands for the file but for its
    keys `own`.
    """

    def __init__(self, path, own=()):
        self.path, self.own, self.carried = path, own, None
        self.values, self.parts = self.read()

    def read(self):
        """(values, parts) of what is to be in force now."""
        return self.read_carried(self.carried)

    def read_carried(self, carried):
        """As `read`, were this carried; raises config.ConfigurationError where no node can run under it."""
        text = text_of(self.path)
        if carried is not None:
            body = config.parse(carried, "configuration")
            text = json.dumps(config.with_own(body, config.parse(text, "configuration"), self.own))
        return config.parse(text, "configuration"), read_text(text, os.environ)

    def begin_with(self, carried):
        """Before the node is there."""
        self.values, self.parts = self.read_carried(carried)
        self.carried = carried


def follow_configuration(section, operators, force, asked):
    """The follower of the configuration store, not yet started; it hands `asked` what is to be done."""
    from cottonspread.configstore.client import Client  # what a node without the section does not load

    def check(record):
        values, _ = force.read_carried(record.body)
        config.complete(force.values, values)

    def apply(record, done):
        asked.put(lambda node, force: done(*take_over(node, force, record.body)))

    folder = os.path.join(os.path.dirname(os.path.abspath(operators)), section.state)
    name = section.node or force.parts[0].name
    try:
        follower = Client(name, tuple(section.replicas), folder, check, apply)
    except OSError as fault:
        raise config.ConfigurationError(f"configuration.state: {folder}: {fault}") from fault
    if follower.saved:
        try:
            force.begin_with(follower.saved.body)
        except config.ConfigurationError as fault:  # the file is what there is; the follower tells why
            log.error("saved-configuration", extra={"pairs": {"why": fault, "kept": "the file"}})
    return follower


def take_over(node, force, carried):
    """Puts what the configuration store told into force, as SIGHUP does with a file: (ok, why)."""
    before, force.carried = force.carried, carried
    why = reload(node, force)
    if why:
        force.carried = before
    return not why, why


def report(manager, node, told):
    """To the service manager: ready once a list is known and a PING answered;
    alive as long as the reducer makes steps.
    """
    steps, ready, at = told or (-1, False, 0.0)
    now, status = time.monotonic(), node.status()
    if not ready and status["listed"] and node.ping():
        ready = manager.ready("serving")
    if node.reducer.stopping and ready != "stopping":
        manager.stopping()
        ready = "stopping"
    if manager.every and now - at >= manager.every and status["steps"] != steps:
        manager.alive()
        return status["steps"], ready, now
    return steps, ready, at


def reload(node, force):
    """SIGHUP: the file is read whole and checked whole, then taken over in one event.

    Whatever stands in it, the node goes on. Why nothing was taken over, or empty.
    """
    try:
        values, parts = force.read()
        config.complete(force.values, values)
    except config.ConfigurationError as fault:
        node.hasten(ev.NotRetuned())
        log.error("reload", extra={"pairs": {"why": fault, "kept": "the old configuration"}})
        return str(fault)
    except Exception as fault:  # our own
        node.hasten(ev.NotRetuned())
        log.exception("fault", extra={"pairs": {"while": "reload"}})
        return f"our own fault: {type(fault).__name__}: {fault}"
    place, room, _, _, begin, _ = parts
    was, had, _, _, old, _ = force.parts  # what cannot change while it runs is as it was then
    node.retune(*parts[:-1])
    kept = [
        key
        for key, same in (
            ("name", place.name == was.name),
            ("listen", place.listen == was.listen),
            ("operator", place.operator == was.operator),
            ("limits", room == had),
            ("settings.MembershipMode", begin.server_list.polled == old.server_list.polled),
            ("settings.Weights", begin.dynamic_weights == old.dynamic_weights),
        )
        if not same
    ]
    force.values = values
    log.info(
        "reload",
        extra={
            "pairs": {
                "discovery": "{}:{}".format(*place.discovery),
                "types": ",".join(t.name for t in begin.types),
            }
            | ({"at_next_start": ",".join(kept)} if kept else {})
        },
    )
    return ""


def check(path, operators=None):
    own = operator(operators)
    if own and own[2] and not path:
        from cottonspread.fleet import plan

        specs = plan.read(operators, (sys.executable, ""), read_text).specs
        print(
            f"{len(specs)} instances: "
            + ", ".join("{} on {}:{}".format(s.name, *s.address) for s in specs.values())
        )
        return 0
    place, room, names, _, begin, known = read(named(path))
    print(
        f"{place.name}: listens on {place.listen[0]}:{place.listen[1]}, "
        f"discovery at {place.discovery[0]}:{place.discovery[1]}, "
        + ("operators at {}:{}".format(*place.operator) if place.operator else "no address for operators")
    )
    print(
        f"{len(names.types)} traffic types, node {begin.node_number} of {begin.nodes or 'an untold number'}, "
        f"{len(known['instances'])} servers known, room for {most_ends(room, place.operator)} connections"
    )
    print(
        f"weights listed {'move with load' if begin.dynamic_weights else 'are sizes'}, "
        f"hosts' load {'told to probes' if begin.probes_report_load else 'not asked for'}"
    )
    return 0


def add(commands):
    for name, what, run in (
        ("serve", "run one node in the foreground", serve),
        ("check", "read the configuration and say what a node would do with it", check),
    ):
        command = commands.add_parser(name, help=what)
        command.add_argument(
            "--config",
            default=os.environ.get("PROXY_CONFIG"),
            help="the configuration file; without it, $PROXY_CONFIG",
        )
        command.add_argument("--operator", metavar="FILE", help="the operator's TOML file")
        command.set_defaults(
            run=lambda given, run=run: run(
                given.config if run is check else named(given.config), given.operator
            )
        )
    commands.add_parser("version", help="print the version").set_defaults(run=version)


def named(path):
    if not path:
        raise config.ConfigurationError("configuration: no file named: give --config or set PROXY_CONFIG")
    return path


def version(given):
    print(f"cottonspread {__version__}")
    return 0
