"""`configuration`: runs replicas of the configuration store, publishes versions and shows their state."""

import json
import signal
import socket

from cottonspread import config
from cottonspread.cli import node

NO_QUORUM = 3  # exit code; 2 means an invalid file or argument, as for all commands


def parse_replicas(text):
    """Parses HOST:PORT,HOST:PORT,... into a tuple. Raises config.ConfigurationError."""
    from cottonspread.configstore.callers import parse_address

    names = tuple(name.strip() for name in text.split(",") if name.strip())
    try:
        for name in names:
            parse_address(name)
    except ValueError as error:
        raise config.ConfigurationError(f"replicas: {error}") from error
    if not names or len(set(names)) < len(names):
        raise config.ConfigurationError(f"replicas: {text}: expected HOST:PORT,HOST:PORT,..., each once")
    return names


def serve(args):
    """Runs one replica in the foreground."""
    from cottonspread.configstore import server, storage
    from cottonspread.configstore.callers import parse_address
    from cottonspread.fleet import control
    from cottonspread.net import logfmt

    name, peers = parse_replicas(args.listen)[0], parse_replicas(args.peers)
    flush_log = logfmt.configure(name)
    try:
        control.raise_descriptor_limit(server.MAX_CONNECTIONS + 64)
        listener = socket.create_server(parse_address(name), backlog=server.BACKLOG)
        replica = server.Server(name, listener, peers, args.state, args.new)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: replica.stop())
        replica.run()
        return 0
    except (OSError, storage.StorageError) as error:
        raise config.ConfigurationError(f"configuration: {name}: {error}") from error
    finally:
        flush_log()


def publish(args):
    """Publishes a new version, or resumes or withdraws one whose publisher stopped half-way."""
    from cottonspread.configstore import driver
    from cottonspread.configstore import publisher as core
    from cottonspread.configstore.messages import MAX_BODY_LENGTH

    replicas = parse_replicas(args.replicas)
    if args.resume or args.withdraw:
        operation = core.Resume() if args.resume else core.Withdraw()
    else:
        text = node.read_file(node.require_path(args.file))
        node.read_text(text)
        if len(text) > MAX_BODY_LENGTH:
            raise config.ConfigurationError(
                f"configuration: {len(text)} characters; at most {MAX_BODY_LENGTH} are allowed"
            )
        operation = core.Publish(text, args.without_canaries)
    result = driver.run(replicas, operation, show_progress)
    print(f"{result.outcome}: version {result.version}" + (f": {result.why}" if result.why else ""))
    if result.outcome == core.Outcome.IN_FORCE:
        return wait_for_nodes(replicas, result.version, args.wait)
    return NO_QUORUM if result.outcome == core.Outcome.NO_QUORUM else 1


def show_progress(progress):
    """Prints one line for each step."""
    stage = f" {progress.stage.name.lower()}" if progress.stage else ""
    version = f"version {progress.version}{stage}: " if progress.version else ""
    print(f"{progress.step}: {version}{progress.text}", flush=True)


def wait_for_nodes(replicas, version, wait):
    """Waits up to `wait` seconds until every node that reports has the version; returns 0, or 1 if not."""
    import time

    from cottonspread.configstore import driver, overview

    deadline = time.monotonic() + wait
    while True:
        summary = overview.summarize(driver.read_states(replicas, 1.0))
        lagging = summary.behind + summary.refused
        if summary.version > version or (summary.quorum and not lagging):
            break
        if time.monotonic() >= deadline:
            break
        time.sleep(0.05)
    print("\n".join(overview.format_overview(summary)))
    return 1 if lagging or not summary.quorum else 0


def status(args):
    """Prints which version is in force where.

    Exit code 3 without a majority of replicas, 1 if nodes are behind or have rejected the version.
    """
    import msgspec

    from cottonspread.configstore import driver, overview

    summary = overview.summarize(driver.read_states(parse_replicas(args.replicas), args.wait))
    if args.json:
        print(json.dumps(msgspec.to_builtins(summary), indent=1))
    else:
        print("\n".join(overview.format_overview(summary)))
    if not summary.quorum:
        return NO_QUORUM
    return 1 if summary.behind or summary.refused else 0


def add(commands):
    """Adds the sub-commands to the parser."""
    group = commands.add_parser("configuration", help="publish one configuration to all nodes")
    subcommands = group.add_subparsers(dest="what", required=True)

    parser = subcommands.add_parser("serve", help="run one replica in the foreground")
    parser.add_argument(
        "--listen", required=True, metavar="HOST:PORT", help="its address, as in --peers of all"
    )
    parser.add_argument("--peers", required=True, metavar="A,B", help="the addresses of the other replicas")
    parser.add_argument(
        "--state", required=True, metavar="DIR", help="its state folder, on a persistent disk"
    )
    parser.add_argument("--new", action="store_true", help="first start: there is no state yet")
    parser.set_defaults(run=serve)

    parser = subcommands.add_parser(
        "publish", help="publish the platform's JSON to all nodes, canaries first"
    )
    add_replicas(parser)
    parser.add_argument("file", nargs="?", metavar="FILE")
    exclusive = parser.add_mutually_exclusive_group()
    exclusive.add_argument(
        "--resume", action="store_true", help="continue a version that was left unfinished"
    )
    exclusive.add_argument(
        "--withdraw", action="store_true", help="withdraw a version left at the canary stage"
    )
    parser.add_argument("--without-canaries", action="store_true", help="publish to all nodes at once")
    parser.add_argument(
        "--wait",
        type=float,
        default=5.0,
        metavar="S",
        help="seconds to wait for all nodes after the commit; default: %(default)s",
    )
    parser.set_defaults(run=publish)

    parser = subcommands.add_parser("status", help="which version is in force where")
    add_replicas(parser)
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--wait",
        type=float,
        default=2.0,
        metavar="S",
        help="seconds to wait for a replica; default: %(default)s",
    )
    parser.set_defaults(run=status)


def add_replicas(command):
    """Adds --replicas, which all sub-commands but `serve` have."""
    command.add_argument("--replicas", required=True, metavar="A,B,C", help="HOST:PORT of all replicas")
