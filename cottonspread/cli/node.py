"""`serve`, `check` and `version`: runs one node, checks its configuration, prints the version."""

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
from cottonspread.net.node import Node, socket_limit

log = logging.getLogger("cottonspread.cli")


def read_file(path):
    """The text of the configuration file; raises config.ConfigurationError."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise config.ConfigurationError(f"configuration: {path}: {error}") from error


def read(path):
    """Reads the configuration from a file and the environment; see `config.read_node`."""
    return read_text(read_file(path), os.environ)


def read_text(text, environment=None):
    """Reads the configuration from the text of a file and also validates its list of servers."""
    parts = config.read_node(text, environment or {})
    try:
        discovery.read_list(parts[-1], parts[2])
    except discovery.ListError as error:
        raise config.ConfigurationError(f"known: {error}") from error
    return parts


def read_operator_file(path):
    """The sections of the operator's file, as `op.read` returns them; None without a file."""
    if not path:
        return None
    # Imported here because it needs msgspec, which a node without such a file need not have.
    from cottonspread.config import operator as op

    return op.read(path)


def serve(path, operator_path=None):
    """Runs one node in the foreground; returns the exit code."""

    def stop_node(node, active):
        takeover.stop(node, active) if takeover else node.stop()

    # Functions for this thread to run, queued by signal handlers, other threads and the follower.
    requests = queue.SimpleQueue()
    signal.signal(signal.SIGHUP, lambda *_: requests.put(reload))
    # Installed before anything else: until then a signal kills the process.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: requests.put(stop_node))
    sections = read_operator_file(operator_path)
    active = ActiveConfiguration(path, sections[3].own if sections and sections[3] else ())
    listener = None
    if os.environ.get("PROXY_INHERITED_FD"):
        from cottonspread.cli import takeover as takeovers  # not needed by a node that owns its listener

        listener = takeovers.inherited_listener(os.environ)
    takeover = follower = None
    name = active.parts[0].name
    flush_log = (
        logfmt.configure(name, sections[0].level.upper(), sections[0].format)
        if sections
        else logfmt.configure(name)
    )
    parts = list(active.parts)
    try:
        if sections and sections[3]:
            follower = make_follower(sections[3], operator_path, active, requests)
            parts = list(active.parts)
        takeover = takeovers.Takeover(parts) if listener else None
        node = Node(
            *parts,
            on_list=takeover and takeover.initial_list.on_list,
            on_ended=lambda: requests.put(lambda node, active: None),
        )
        node.start(listener)
        if follower:
            follower.start()
        run_node(node, active, takeover, requests)
        return 0
    except OSError as error:
        where = error.filename or "listen: {}:{}".format(*parts[0].listen)
        what = "address in use" if error.errno == errno.EADDRINUSE else error.strerror or error
        print(f"cottonspread: {where}: {what}", file=sys.stderr)
        return 1
    finally:
        if follower:
            follower.stop()
        flush_log()


def run_node(node, active, takeover, requests):
    """Runs the requests, handles takeovers and notifies the service manager until the node has ended."""
    manager, manager_state = notify.ServiceManager(), False
    while not node.join(0):
        if takeover:
            takeover.poll(node)
        if manager.address:
            manager_state = notify_manager(manager, node, manager_state)
        with contextlib.suppress(queue.Empty):
            requests.get(timeout=0.1 if not takeover or takeover.state == "serving" else 0.02)(node, active)


class ActiveConfiguration:
    """The configuration in force: `values`, the current JSON; `parts`, as read when the node started.

    `published`: the text from the configuration store, if any. It replaces the file, except for the keys
    `local_keys`.
    """

    def __init__(self, path, local_keys=()):
        """Reads the file; raises config.ConfigurationError."""
        self.path, self.local_keys, self.published = path, local_keys, None
        self.values, self.parts = self.read()

    def read(self):
        """Reads the file again: (values, parts)."""
        return self.read_with(self.published)

    def read_with(self, published):
        """As `read`, with this text published. Raises config.ConfigurationError if the result is invalid."""
        text = read_file(self.path)
        if published is not None:
            body = config.parse(published, "configuration")
            text = json.dumps(
                config.with_local_keys(body, config.parse(text, "configuration"), self.local_keys)
            )
        return config.parse(text, "configuration"), read_text(text, os.environ)

    def start_with(self, published):
        """Sets the published text before the node is created."""
        self.values, self.parts = self.read_with(published)
        self.published = published


def make_follower(section, operator_path, active, requests):
    """The client of the configuration store, not yet started; it puts changes into `requests`."""
    from cottonspread.configstore.client import Client  # not needed by a node without the section

    def check(record):
        values, _ = active.read_with(record.body)
        config.check_no_key_missing(active.values, values)

    def apply(record, done):
        requests.put(lambda node, active: done(*apply_published(node, active, record.body)))

    folder = os.path.join(os.path.dirname(os.path.abspath(operator_path)), section.state)
    name = section.node or active.parts[0].name
    try:
        follower = Client(name, tuple(section.replicas), folder, check, apply)
    except OSError as error:
        raise config.ConfigurationError(f"configuration.state: {folder}: {error}") from error
    if follower.saved:
        try:
            active.start_with(follower.saved.body)
        except config.ConfigurationError as error:  # start with the file; the follower reports the reason
            log.error("saved-configuration", extra={"pairs": {"why": error, "kept": "the file"}})
    return follower


def apply_published(node, active, published):
    """Applies a text from the configuration store, as SIGHUP does with a file: (applied, why not)."""
    before, active.published = active.published, published
    why = reload(node, active)
    if why:
        active.published = before
    return not why, why


def notify_manager(manager, node, manager_state):
    """Tells the service manager that the node is ready, once a list is known and a PING was answered, and
    that it is alive, as long as the reducer makes steps.

    `manager_state`: what the last call returned.
    """
    steps, ready, notified_at = manager_state or (-1, False, 0.0)
    now, status = time.monotonic(), node.status()
    if not ready and status["listed"] and node.ping():
        ready = manager.notify_ready("serving")
    if node.reducer.stopping and ready != "stopping":
        manager.notify_stopping()
        ready = "stopping"
    if (
        manager.watchdog_interval
        and now - notified_at >= manager.watchdog_interval
        and status["steps"] != steps
    ):
        manager.notify_watchdog()
        return status["steps"], ready, now
    return steps, ready, notified_at


def reload(node, active):
    """SIGHUP: reads and validates the whole file, then applies it in one event.

    An invalid file changes nothing. Returns why it was rejected, or "".
    """
    try:
        values, parts = active.read()
        config.check_no_key_missing(active.values, values)
    except config.ConfigurationError as error:
        node.post_urgent(ev.ReloadRejected())
        log.error("reload", extra={"pairs": {"why": error, "kept": "the old configuration"}})
        return str(error)
    except Exception as error:  # an internal error
        node.post_urgent(ev.ReloadRejected())
        log.exception("fault", extra={"pairs": {"while": "reload"}})
        return f"internal error: {type(error).__name__}: {error}"
    endpoints, resource_limits, _, _, node_config, _ = parts
    # Settings that cannot change while the node runs still have the values in `active.parts`.
    old_endpoints, old_limits, _, _, old_config, _ = active.parts
    node.reload(*parts[:-1])
    kept = [
        key
        for key, same in (
            ("name", endpoints.name == old_endpoints.name),
            ("listen", endpoints.listen == old_endpoints.listen),
            ("operator", endpoints.operator == old_endpoints.operator),
            ("limits", resource_limits == old_limits),
            ("settings.MembershipMode", node_config.server_list.polled == old_config.server_list.polled),
            ("settings.Weights", node_config.dynamic_weights == old_config.dynamic_weights),
        )
        if not same
    ]
    active.values = values
    log.info(
        "reload",
        extra={
            "pairs": {
                "discovery": "{}:{}".format(*endpoints.discovery),
                "types": ",".join(t.name for t in node_config.types),
            }
            | ({"at_next_start": ",".join(kept)} if kept else {})
        },
    )
    return ""


def check(path, operator_path=None):
    """Reads the configuration and prints what a node, or a fleet, would do with it."""
    sections = read_operator_file(operator_path)
    if sections and sections[2] and not path:
        from cottonspread.fleet import plan

        specs = plan.read(operator_path, (sys.executable, ""), read_text).specs
        print(
            f"{len(specs)} instances: "
            + ", ".join("{} on {}:{}".format(s.name, *s.address) for s in specs.values())
        )
        return 0
    endpoints, resource_limits, names, _, node_config, initial_list = read(require_path(path))
    print(
        f"{endpoints.name}: listens on {endpoints.listen[0]}:{endpoints.listen[1]}, "
        f"discovery at {endpoints.discovery[0]}:{endpoints.discovery[1]}, "
        + (
            "operators at {}:{}".format(*endpoints.operator)
            if endpoints.operator
            else "no operators' address"
        )
    )
    print(
        f"{len(names.types)} traffic types, "
        f"node {node_config.node_number} of {node_config.nodes or 'an unknown number'}, "
        f"{len(initial_list['instances'])} servers in the initial list, "
        f"at most {socket_limit(resource_limits, endpoints.operator)} connections"
    )
    print(
        f"weights in the list {'change with load' if node_config.dynamic_weights else 'are fixed sizes'}, "
        f"host load {'requested by probes' if node_config.probes_report_load else 'not requested'}"
    )
    return 0


def add(commands):
    """Adds the sub-commands to the parser."""
    for name, help_text, run in (
        ("serve", "run one node in the foreground", serve),
        ("check", "read the configuration and print what a node would do with it", check),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument(
            "--config",
            default=os.environ.get("PROXY_CONFIG"),
            help="the configuration file; without it, $PROXY_CONFIG",
        )
        command.add_argument("--operator", metavar="FILE", help="the operator's TOML file")
        command.set_defaults(
            run=lambda args, run=run: run(
                args.config if run is check else require_path(args.config), args.operator
            )
        )
    commands.add_parser("version", help="print the version").set_defaults(run=version)


def require_path(path):
    """The path; raises config.ConfigurationError if it is empty."""
    if not path:
        raise config.ConfigurationError("configuration: no file given: use --config or set PROXY_CONFIG")
    return path


def version(args):
    """Prints the version."""
    print(f"cottonspread {__version__}")
    return 0
