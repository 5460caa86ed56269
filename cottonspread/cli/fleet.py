"""`fleet` and `config`: runs and controls many instances on one machine; shows the configuration in force.

`instance` is the command that the supervisor starts.
"""

import contextlib
import heapq
import json
import os
import sys
import time

from cottonspread import config
from cottonspread.cli import node

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
COLUMNS = (
    "instance",
    "address",
    "pid",
    "state",
    "since_s",
    "connections",
    "calls",
    "list",
    "generation",
    "restarts",
    "why",
)


def folders(args):
    """(state folder, log folder) of the fleet in the operator's file."""
    from cottonspread.config import operator as op
    from cottonspread.fleet import plan

    return plan.folders(args.operator, op.read_fleet(args.operator)[2])


def run(args):
    """Runs the supervisor in the foreground."""
    from cottonspread.fleet.supervisor import Supervisor
    from cottonspread.net import logfmt

    supervisor = Supervisor(args.operator, (sys.executable, ROOT), node.read_text)
    flush_log = logfmt.configure("fleet", supervisor.logging.level.upper(), supervisor.logging.format)
    try:
        supervisor.prepare()
        return supervisor.run()
    finally:
        flush_log()


def request(args, message, timeout):
    """Sends a request to the supervisor and returns its reply, which comes when the command has finished."""
    from cottonspread.fleet import control

    path = os.path.join(folders(args)[0], "fleet.sock")
    try:
        sock = control.connect(path)
        sock.settimeout(timeout)
        sock.sendall(json.dumps(message).encode() + b"\n")
        reply = sock.makefile("rb").readline()
    except TimeoutError:
        raise config.ConfigurationError(
            f"fleet: no reply after {timeout:g} s; `fleet status` shows the progress"
        ) from None
    except OSError as error:
        raise config.ConfigurationError(f"fleet: cannot reach the supervisor at {path}: {error}") from error
    if not reply:
        raise config.ConfigurationError("fleet: the supervisor exited before it replied")
    return json.loads(reply)


def command(args):
    """Has the supervisor execute a command and prints the outcome."""
    message = {"do": args.what, "name": getattr(args, "name", None)}
    if args.what == "upgrade" and (args.python or args.checkout):
        python, checkout = (
            args.python or sys.executable,
            os.path.abspath(args.checkout) if args.checkout else "",
        )
        if not os.access(python, os.X_OK):
            raise config.ConfigurationError(f"--python: {python}: not an executable file")
        if checkout and not os.path.isdir(os.path.join(checkout, "cottonspread")):
            raise config.ConfigurationError(f"--checkout: {checkout}: has no folder cottonspread")
        message |= {"python": os.path.abspath(python), "checkout": checkout}
    reply = request(args, message, args.wait)
    print(f"{args.what}: {reply['why']}", file=sys.stdout if reply["ok"] else sys.stderr)
    return 0 if reply["ok"] else 1


def print_table(rows):
    """Prints rows of strings in aligned columns."""
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def status(args):
    """Prints the state of all instances; exit code 3 unless all are ready."""
    reply = request(args, {"do": "status"}, 5.0)["status"]
    if args.json:
        print(json.dumps(reply, indent=1))
        return 0
    print_table(
        [COLUMNS, *(["" if row[c] is None else str(row[c]) for c in COLUMNS] for row in reply["instances"])]
    )
    rollout = reply["rollout"]
    print(
        f"{reply['fleet']}: supervisor {reply['pid']}, {'ready' if reply['ready'] else 'not all ready'}"
        + (
            f"; {rollout['of']}: {rollout['to_do']} to do, {rollout['under_way']} in progress"
            + (f", rolling back: {rollout['going_back']}" if rollout["going_back"] else "")
            if rollout
            else ""
        )
    )
    return 0 if reply["ready"] else 3


def logs(args):
    """Prints the last log lines of all instances, or of one, by time; with `--follow` also new ones."""
    from cottonspread.fleet import control

    log_folder = folders(args)[1]
    names = (
        [f"{args.name}.log"] if args.name else sorted(f for f in os.listdir(log_folder) if f.endswith(".log"))
    )
    paths = [os.path.join(log_folder, name) for name in names]
    with contextlib.ExitStack() as stack:
        try:
            control.raise_descriptor_limit(len(names) + 32)  # a thousand files exceed the usual limit
            files = [stack.enter_context(open(p, encoding="utf-8", errors="replace")) for p in paths]
        except OSError as error:
            raise config.ConfigurationError(f"logs: {error}") from error
        lines = list(heapq.merge(*(file.readlines() for file in files)))
        sys.stdout.writelines(lines[-args.lines :])
        while args.follow:
            for file in files:
                sys.stdout.writelines(file.readlines())
            sys.stdout.flush()
            time.sleep(0.2)
    return 0


def show(args):
    """Prints each key of the operator's file: its value, its source, what a reload does with it."""
    from cottonspread.config import operator as op

    if args.operator:
        *sections, document = op.read(args.operator)
    else:
        *sections, document = op.read_text("")
    print_table(
        [
            (key, json.dumps(value), source, kind)
            for key, value, source, kind in op.effective_values(sections, document, args.operator)
        ]
    )
    return 0


def add(commands):
    """Adds the sub-commands to the parser."""
    fleet = commands.add_parser("fleet", help="run many instances on one machine")
    subcommands = fleet.add_subparsers(dest="what", required=True)

    def subcommand(name, help_text, run, *arguments):
        parser = subcommands.add_parser(name, help=help_text)
        parser.add_argument(
            "--operator", metavar="FILE", default="deploy/operator.toml", help="default: %(default)s"
        )
        for flags, options in arguments:
            parser.add_argument(*flags, **options)
        parser.set_defaults(run=run)

    wait = (
        ("--wait",),
        {"type": float, "default": 600.0, "metavar": "S", "help": "timeout in seconds; default: %(default)s"},
    )
    instance = ("name",), {"metavar": "NAME", "help": "the instance"}
    subcommand("run", "start all instances and keep them running, in the foreground", run)
    subcommand(
        "status",
        "the state of each instance; exit code 3 unless all are ready",
        status,
        (("--json",), {"action": "store_true"}),
    )
    subcommand("reload", "read the files again and change the instances one after the other", command, wait)
    subcommand(
        "upgrade",
        "restart the instances with another version of the program, one after the other; "
        "without arguments with the supervisor's own",
        command,
        (("--python",), {"help": "the interpreter, of another virtual environment"}),
        (("--checkout",), {"help": "a folder that contains the package cottonspread"}),
        wait,
    )
    subcommand("drain", "let one instance finish its calls and keep it stopped", command, instance, wait)
    subcommand("restart", "replace one instance, or start a stopped one", command, instance, wait)
    subcommand("stop", "stop all once their calls have finished; a second stop kills them", command, wait)
    subcommand(
        "logs",
        "the last log lines",
        logs,
        (("name",), {"metavar": "NAME", "nargs": "?", "help": "of this instance alone"}),
        (("-n", "--lines"), {"type": int, "default": 40}),
        (("-f", "--follow"), {"action": "store_true"}),
    )
    show_parser = (
        commands.add_parser("config", help="the configuration in force")
        .add_subparsers(dest="what", required=True)
        .add_parser(
            "show",
            help="each key of the operator's file: its value, its source, what a reload does with it",
        )
    )
    show_parser.add_argument("--operator", metavar="FILE")
    show_parser.set_defaults(run=show)
    from cottonspread.cli import instance as instance_command

    instance_command.add(commands)
