"""`serve`, `check` and `version`: one node."""

import contextlib
import errno
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
    force = InForce(path)
    parts, listener = list(force.parts), None
    if os.environ.get("PROXY_INHERITED_FD"):
        from cottonspread.cli import succession  # what a node that owns its listener need not load

        listener = succession.inherited(os.environ)
    follows, own = None, operator(operators)
    write_out = (
        logfmt.start(parts[0].name, own[0].level.upper(), own[0].format)
        if own
        else logfmt.start(parts[0].name)
    )
    manager, told = notify.Manager(), False
    try:
        follows = succession.Succession(parts) if listener else None
        node = Node(
            *parts, keep=follows and follows.known.keep, ended=lambda: asked.put(lambda node, force: None)
        )
        node.start(listener)
        while not node.join(0):
            if follows:
                follows.look(node)
            if manager.address:
                told = report(manager, node, told)
            with contextlib.suppress(queue.Empty):
                asked.get(timeout=0.1 if not follows or follows.state == "serving" else 0.02)(node, force)
        return 0
    except OSError as fault:
        where = fault.filename or "listen: {}:{}".format(*parts[0].listen)
        what = "address in use" if fault.errno == errno.EADDRINUSE else fault.strerror or fault
        print(f"cottonspread: {where}: {what}", file=sys.stderr)
        return 1
    finally:
        write_out()


class InForce:
    """The configuration that the node runs under: `values` as the file in force has them,
    `parts` as the node started with them.
    """

    def __init__(self, path):
        self.path = path
        self.values, self.parts = self.read()

    def read(self):
        text = text_of(self.path)
        return config.parse(text, "configuration"), read_text(text, os.environ)


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

    Whatever stands in it, the node goes on.
    """
    try:
        values, parts = force.read()
        config.complete(force.values, values)
    except config.ConfigurationError as fault:
        node.hasten(ev.NotRetuned())
        log.error("reload", extra={"pairs": {"why": fault, "kept": "the old configuration"}})
        return
    except Exception:  # our own fault
        node.hasten(ev.NotRetuned())
        log.exception("fault", extra={"pairs": {"while": "reload"}})
        return
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
            ("settings.MembershipMode", begin.listing.ask == old.listing.ask),
            ("settings.Weights", begin.weights_move == old.weights_move),
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
        f"{len(names.types)} traffic types, node {begin.me} of {begin.nodes or 'an untold number'}, "
        f"{len(known['instances'])} servers known, room for {most_ends(room, place.operator)} connections"
    )
    print(
        f"weights listed {'move with load' if begin.weights_move else 'are sizes'}, "
        f"hosts' load {'told to probes' if begin.loads_probed else 'not asked for'}"
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
