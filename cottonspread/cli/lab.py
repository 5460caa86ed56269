"""`lab ...`: the test lab, with emulated hosts, server lists and clients, and its experiments.

Its libraries are imported only when one of its commands runs.
"""

import sys


def add(commands):
    """Adds the sub-commands to the parser."""
    lab = commands.add_parser(
        "lab", help="emulated hosts, server lists and clients; experiments"
    ).add_subparsers(dest="lab", required=True)

    def command(name, help_text, run, *arguments):
        parser = lab.add_parser(name, help=help_text)
        for flags, options in arguments:
            parser.add_argument(*flags, **options)
        parser.set_defaults(run=lambda args: report_errors(run, args))

    def argument(*flags, **options):
        return flags, options

    file = argument("file", help="the experiment, TOML")
    process_arguments = (
        argument("--plan", required=True, help="the plan that `lab run` or `lab plan` wrote"),
        argument("--number", type=int, default=0, help="which of the processes of this kind"),
    )
    for name, help_text in (
        ("hosts", "emulated servers of a plan"),
        ("list", "the list of servers of a plan"),
        ("load", "clients of a plan"),
    ):
        command(
            name,
            help_text + ": prints `ready`, then waits for `begin T` on standard input",
            start_process(name),
            *process_arguments,
        )
    command(
        "plan",
        "write the plan of an experiment and print what it needs",
        plan,
        file,
        argument("--out", required=True, help="the file to write"),
        argument("--seed", type=int),
    )
    command(
        "run",
        "run an experiment",
        run,
        file,
        argument("--out", required=True, help="the folder for its results"),
        argument("--seconds", type=float, help="override the file's value"),
        argument("--repeats", type=int, help="override the file's value"),
        argument("--quiet", action="store_true"),
        argument(
            "--again", type=int, default=2, help="how often a run whose load generator was late is repeated"
        ),
    )
    command(
        "compare", "compare two runs or folders of runs, pair by pair", compare, argument("a"), argument("b")
    )
    command("report", "write report.html for a folder's runs", report, argument("folder"))
    command("audit", "audit the records of one run's folder again", audit, argument("folder"))
    command("trace", "export a run's connections as a trace", trace, argument("folder"), argument("file"))
    command(
        "scale",
        "simulated fleets and other scale runs: counts and times by size, faults at scale",
        scale,
        argument("--small", action="store_true", help="sizes that run in a few seconds"),
        argument("--nodes", type=int, help="override the number of each run"),
        argument("--servers", type=int, help="override the number of each run"),
        argument("--seed", type=int, default=1),
        argument("--only", nargs="+", default=[], metavar="NAME", help="only these runs"),
        argument("--out", help="the folder for results; default: benchmarks/scale/results"),
        argument(
            "--alone", action="store_true", help="record in the results that the machine has no other load"
        ),
    )
    command(
        "selfcheck",
        "run the load generator against a server of known delay, timed by that server",
        selfcheck,
        argument("--rate", type=float, default=1000.0),
        argument("--seconds", type=float, default=5.0),
        argument("--delay-ms", type=float, default=20.0),
    )
    command(
        "acceptor",
        "an emulated node that answers every call itself, to test the load generator alone",
        acceptor,
    )
    command(
        "standin",
        "an emulated node for the lab's own tests",
        standin,
        argument("--sabotage", default="none", help="the rule that it breaks"),
    )


def report_errors(run, args):
    """Runs a command; prints expected errors and missing libraries, with exit code 2."""
    try:
        from cottonspread.lab import limits, plan, trace
        from cottonspread.lab import run as runner
    except ImportError as error:
        print(
            f"cottonspread: lab: {error.name} is missing: install requirements-dev.txt or the extra `lab`",
            file=sys.stderr,
        )
        return 2
    try:
        return run(args)
    except (plan.PlanError, limits.LimitExceededError, trace.TraceError, runner.StartError) as error:
        print(f"cottonspread: lab: {error}", file=sys.stderr)
        return 2


def start_process(name):
    """The function that runs the process of this name."""

    def start(args):
        from cottonspread.lab import hosts, limits, listing, load

        limits.raise_descriptor_limit()
        return {"hosts": hosts.Hosts, "list": listing.ListServer, "load": load.Clients}[name](
            args.plan, args.number
        ).main()

    return start


def plan(args):
    """Writes the plan of an experiment and prints what it needs."""
    import msgspec

    from cottonspread.lab import limits
    from cottonspread.lab import plan as plans

    experiment = plans.read(args.file)
    made = plans.make(
        experiment, (experiment.variants or [plans.Variant(name="only")])[0], args.seed or experiment.seed
    )
    schedule = plans.schedule(made)
    with open(args.out, "wb") as file:
        file.write(msgspec.json.encode(made))
    print(
        f"{len(schedule.at)} first calls, at most {limits.max_established(schedule)} established at a time, "
        f"schedule sha256 {schedule.digest()}"
    )
    for line in limits.check(made, schedule):
        print(line)
    return 0


def run(args):
    """Runs an experiment."""
    from cottonspread.lab import experiment

    return experiment.run(args.file, args.out, args.seconds, args.repeats, args.quiet, args.again)


def compare(args):
    """Compares two runs or folders of runs."""
    from cottonspread.lab import experiment

    return experiment.compare(args.a, args.b)


def report(args):
    """Writes report.html for a folder's runs."""
    from cottonspread.lab import report as reports

    print(reports.write(args.folder))
    return 0


def audit(args):
    """Audits the records of one run again; exit code 1 if it finds violations."""
    from cottonspread.lab import audit as audits
    from cottonspread.lab import results

    result = results.audit_folder(args.folder)[2]
    print("\n".join(audits.summary_lines(result)))
    return 1 if result["offences"] else 0


def trace(args):
    """Exports a run's connections as a trace."""
    from cottonspread.lab import record
    from cottonspread.lab import trace as traces

    entries = traces.from_calls([c for c in record.read(args.folder, "load") if c["k"] == "call"])
    traces.write(args.file, entries)
    print(f"{len(entries)} connections")
    return 0


def scale(args):
    """Runs the scale measurements."""
    from pathlib import Path

    from cottonspread.lab.scale import command, results

    out = Path(args.out) if args.out else results.FOLDER
    options = command.Options(
        args.small, args.nodes, args.servers, args.seed, tuple(args.only), out, args.alone
    )
    try:
        return command.main(options)
    except (command.ScaleError, results.ResultError) as error:
        print(f"cottonspread: lab: scale: {error}", file=sys.stderr)
        return 2


def selfcheck(args):
    """Checks the load generator against a server of known delay."""
    from cottonspread.lab import selfcheck as check

    return check.main(args.rate, args.seconds, args.delay_ms)


def acceptor(args):
    """Runs the emulated node that answers every call itself."""
    import json
    import os

    from cottonspread.lab import acceptor as emulated_node

    with open(os.environ["PROXY_CONFIG"], encoding="utf-8") as file:
        host, _, port = json.load(file)["listen"].rpartition(":")
    return emulated_node.run((host, int(port)))


def standin(args):
    """Runs the emulated node for the lab's own tests."""
    from cottonspread.lab import stub_node as emulated_node

    if args.sabotage not in emulated_node.SABOTAGES:
        print(
            "cottonspread: lab: standin: --sabotage: one of " + ", ".join(emulated_node.SABOTAGES),
            file=sys.stderr,
        )
        return 2
    return emulated_node.main(args.sabotage)
