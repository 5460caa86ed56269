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

HERE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
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


def folders(given):
    """(state folder, log folder) of the fleet in the operator's file."""
    from cottonspread.config import operator as op
    from cottonspread.fleet import plan

    return plan.folders(given.operator, op.read_fleet(given.operator)[2])


def run(given):
    """Runs the supervisor in the foreground."""
    from cottonspread.fleet.supervisor import Supervisor
    from cottonspread.net import logfmt

    supervisor = Supervisor(given.operator, (sys.executable, HERE), node.read_text)
    write_out = logfmt.configure("fleet", supervisor.logging.level.upper(), supervisor.logging.format)
    try:
        supervisor.prepare()
        return supervisor.run()
    finally:
        write_out()


def request(given, message, timeout):
    """Sends a request to the supervisor and returns its reply, which comes when the command has finished."""
    from cottonspread.fleet import control

    path = os.path.join(folders(given)[0], "fleet.sock")
    try:
        sock = control.connect(path)
        sock.settimeout(timeout)
        sock.sendall(json.dumps(message).encode() + b"\n")
        answer = sock.makefile("rb").readline()
    except TimeoutError:
        raise config.ConfigurationError(
            f"fleet: no reply after {timeout:g} s; `fleet status` shows the progress"
        ) from None
    except OSError as error:
        raise config.ConfigurationError(f"fleet: cannot reach the supervisor at {path}: {error}") from error
    if not answer:
        raise config.ConfigurationError("fleet: the supervisor exited before it replied")
    return json.loads(answer)


def command(given):
    """Has the supervisor execute a command and prints the outcome."""
    message = {"do": given.what, "name": getattr(given, "name", None)}
    if given.what == "upgrade" and (given.python or given.checkout):
        python, checkout = (
            given.python or sys.executable,
            os.path.abspath(given.checkout) if given.checkout else "",
        )
        if not os.access(python, os.X_OK):
            raise config.ConfigurationError(f"--python: {python}: not an executable file")
        if checkout and not os.path.isdir(os.path.join(checkout, "cottonspread")):
            raise config.ConfigurationError(f"--checkout: {checkout}: has no folder cottonspread")
        message |= {"python": os.path.abspath(python), "checkout": checkout}
    answer = request(given, message, given.wait)
    print(f"{given.what}: {answer['why']}", file=sys.stdout if answer["ok"] else sys.stderr)
    return 0 if answer["ok"] else 1


def print_table(rows):
    """Prints rows of strings in aligned columns."""
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def status(given):
    """Prints the state of all instances; exit code 3 unless all are ready."""
    answer = request(given, {"do": "status"}, 5.0)["status"]
    if given.json:
        print(json.dumps(answer, indent=1))
        return 0
    print_table(
        [COLUMNS, *(["" if row[c] is None else str(row[c]) for c in COLUMNS] for row in answer["instances"])]
    )
    r = answer["rollout"]
    print(
        f"{answer['fleet']}: supervisor {answer['pid']}, {'ready' if answer['ready'] else 'not all ready'}"
        + (
            f"; {r['of']}: {r['to_do']} to do, {r['under_way']} in progress"
            + (f", rolling back: {r['going_back']}" if r["going_back"] else "")
            if r
            else ""
        )
    )
    return 0 if answer["ready"] else 3


def logs(given):
    """Prints the last log lines of all instances, or of one, by time; with `--follow` also new ones."""
    from cottonspread.fleet import control

    where = folders(given)[1]
    names = (
        [f"{given.name}.log"] if given.name else sorted(f for f in os.listdir(where) if f.endswith(".log"))
    )
    paths = [os.path.join(where, name) for name in names]
    with contextlib.ExitStack() as opened:
        try:
            control.raise_descriptor_limit(len(names) + 32)  # a thousand files exceed the usual limit
            files = [opened.enter_context(open(p, encoding="utf-8", errors="replace")) for p in paths]
        except OSError as error:
            raise config.ConfigurationError(f"logs: {error}") from error
        lines = list(heapq.merge(*(file.readlines() for file in files)))
        sys.stdout.writelines(lines[-given.lines :])
        while given.follow:
            for file in files:
                sys.stdout.writelines(file.readlines())
            sys.stdout.flush()
            time.sleep(0.2)
    return 0


def show(given):
    """Prints each key of the operator's file: its value, its source, what a reload does with it."""
    from cottonspread.config import operator as op

    if given.operator:
        *parts, whole = op.read(given.operator)
    else:
        *parts, whole = op.read_text("")
    print_table(
        [
            (key, json.dumps(value), where, kind)
            for key, value, where, kind in op.effective_values(parts, whole, given.operator)
        ]
    )
    return 0


def add(commands):
    """Adds the sub-commands to the parser."""
    fleet = commands.add_parser("fleet", help="run many instances on one machine")
    subcommands = fleet.add_subparsers(dest="what", required=True)

    def subcommand(name, what, run, *more):
        one = subcommands.add_parser(name, help=what)
        one.add_argument(
            "--operator", metavar="FILE", default="deploy/operator.toml", help="default: %(default)s"
        )
        for flags, kinds in more:
            one.add_argument(*flags, **kinds)
        one.set_defaults(run=run)

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
    shown = (
        commands.add_parser("config", help="the configuration in force")
        .add_subparsers(dest="what", required=True)
        .add_parser(
            "show",
            help="each key of the operator's file: its value, its source, what a reload does with it",
        )
    )
    shown.add_argument("--operator", metavar="FILE")
    shown.set_defaults(run=show)
    from cottonspread.cli import instance as one

    one.add(commands)
