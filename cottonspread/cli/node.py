"""`serve`, `check` and `version`: one node."""
import errno
import logging
import os
import queue
import signal
import sys
from dataclasses import replace

from cottonspread import __version__, config
from cottonspread.net import discovery, logfmt
from cottonspread.net.node import Node, most_ends

log = logging.getLogger("cottonspread.cli")


def read(path):
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as fault:
        raise config.Senseless(f"configuration: {path}: {fault}") from fault
    parts = config.read_node(text, os.environ)
    try:
        discovery.read_list(parts[-1], parts[2])
    except discovery.BadList as fault:
        raise config.Senseless(f"known: {fault}") from fault
    return parts


def serve(path):
    asked = queue.SimpleQueue()              # by signals, which may come while one is being dealt with
    signal.signal(signal.SIGHUP, lambda *_: asked.put(reload))
    parts = read(path)
    write_out = logfmt.start(parts[0].name)
    try:
        node = Node(*parts)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: asked.put(lambda node, *_: node.stop()))
        node.start()
        while not node.join(0):
            try:
                asked.get(timeout=0.1)(node, path, parts)
            except queue.Empty:
                pass
        return 0
    except OSError as fault:
        where = "%s:%d" % parts[0].listen
        what = "address in use" if fault.errno == errno.EADDRINUSE else fault.strerror or fault
        print(f"cottonspread: listen: {where}: {what}", file=sys.stderr)
        return 1
    finally:
        write_out()


def reload(node, path, started_with):
    """SIGHUP: a new discovery is followed at once. Whatever stands in the file, the node goes on."""
    try:
        parts = read(path)
    except config.Senseless as fault:
        log.error("reload", extra={"pairs": {"why": fault, "kept": "the old configuration"}})
        return
    except Exception:                        # our own fault
        log.exception("fault", extra={"pairs": {"while": "reload"}})
        return
    node.follow(parts[0].discovery)
    place, room, names, hearing, begin, _ = parts
    was, *others, old_begin, _ = started_with
    kept = [key for key, same in (
        ("name", place.name == was.name), ("listen", place.listen == was.listen),
        ("limits", [room] == others[:1]), ("settings", [names, hearing] == others[1:]
                                           and replace(begin, seed=0) == replace(old_begin, seed=0))) if not same]
    log.info("reload", extra={"pairs": {"discovery": "%s:%d" % parts[0].discovery} | (
        {"at_next_start": ",".join(kept)} if kept else {})})


def check(path):
    place, room, names, _, begin, known = read(path)
    print(f"{place.name}: listens on {place.listen[0]}:{place.listen[1]}, "
          f"discovery at {place.discovery[0]}:{place.discovery[1]}")
    print(f"{len(names.types)} traffic types, node {begin.me} of {begin.nodes}, "
          f"{len(known['instances'])} servers known, room for {most_ends(room)} connections")
    return 0


def add(commands):
    for name, what, run in (("serve", "run one node in the foreground", serve),
                            ("check", "read the configuration and say what a node would do with it", check)):
        command = commands.add_parser(name, help=what)
        command.add_argument("--config", default=os.environ.get("PROXY_CONFIG"),
                             help="the configuration file; without it, $PROXY_CONFIG")
        command.set_defaults(run=lambda given, run=run: run(named(given.config)))
    commands.add_parser("version", help="print the version").set_defaults(run=version)


def named(path):
    if not path:
        raise config.Senseless("configuration: no file named: give --config or set PROXY_CONFIG")
    return path


def version(given):
    print(f"cottonspread {__version__}")
    return 0
