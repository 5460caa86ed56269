"""`lab ...`: stand-in hosts, lists and clients, experiments.

Its libraries are loaded only once it is asked for.
"""

import sys


def add(commands):
    lab = commands.add_parser("lab", help="stand-in hosts, lists and clients; experiments").add_subparsers(
        dest="lab", required=True
    )

    def command(name, what, run, *arguments):
        one = lab.add_parser(name, help=what)
        for words, options in arguments:
            one.add_argument(*words, **options)
        one.set_defaults(run=lambda given: report_errors(run, given))

    def argument(*words, **options):
        return words, options

    file = argument("file", help="the experiment, TOML")
    process_arguments = (
        argument("--plan", required=True, help="the plan that `lab run` or `lab plan` wrote"),
        argument("--number", type=int, default=0, help="which of the processes of this kind"),
    )
    for name, what in (
        ("hosts", "emulated servers of a plan"),
        ("list", "the list of servers of a plan"),
        ("load", "clients of a plan"),
    ):
        command(
            name,
            what + ": says `ready`, then follows `begin T` on standard input",
            start_process(name),
            *process_arguments,
        )
    command(
        "plan",
        "write the plan of an experiment and say what it needs",
        plan,
        file,
        argument("--out", required=True, help="the file to write"),
        argument("--seed", type=int),
    )
    command(
        "run",
        "play an experiment",
        run,
        file,
        argument("--out", required=True, help="the folder for its results"),
        argument("--seconds", type=float, help="in the place of the file's"),
        argument("--repeats", type=int, help="in the place of the file's"),
        argument("--quiet", action="store_true"),
        argument(
            "--again", type=int, default=2, help="how often a play with a late generator is played anew"
        ),
    )
    command("compare", "two plays or folders of plays, pair by pair", compare, argument("a"), argument("b"))
    command("report", "report.html of a folder's plays", report, argument("folder"))
    command("audit", "the ledger of one play's folder, printed anew", audit, argument("folder"))
    command("trace", "export a play's connections as a trace", trace, argument("folder"), argument("file"))
    command(
        "scale",
        "hollow fleets and other scale runs: counts and times by size, faults at size",
        scale,
        argument("--small", action="store_true", help="sizes that are played in some seconds"),
        argument("--nodes", type=int, help="in the place of each run's own"),
        argument("--servers", type=int, help="in the place of each run's own"),
        argument("--seed", type=int, default=1),
        argument("--only", nargs="+", default=[], metavar="NAME", help="these runs alone"),
        argument("--out", help="the folder for results; default: benchmarks/scale/results"),
        argument(
            "--alone", action="store_true", help="say in the results that no other load is on the machine"
        ),
    )
    command(
        "selfcheck",
        "the generator against a server of known delay, timed by that server",
        selfcheck,
        argument("--rate", type=float, default=1000.0),
        argument("--seconds", type=float, default=5.0),
        argument("--delay-ms", type=float, default=20.0),
    )
    command(
        "acceptor",
        "a stand-in that takes and answers every call itself, to try the generator alone",
        acceptor,
    )
    command(
        "standin",
        "a stand-in node for the lab's own tests",
        standin,
        argument("--sabotage", default="none", help="which rule it breaks"),
    )


def report_errors(run, given):
    try:
        from cottonspread.lab import limits, plan, trace
        from cottonspread.lab import run as runner
    except ImportError as fault:
        print(
            f"cottonspread: lab: {fault.name} is missing: install requirements-dev.txt or the extra `lab`",
            file=sys.stderr,
        )
        return 2
    try:
        return run(given)
    except (plan.PlanError, limits.LimitExceededError, trace.TraceError, runner.StartError) as fault:
        print(f"cottonspread: lab: {fault}", file=sys.stderr)
        return 2


def start_process(name):
    def start(given):
        from cottonspread.lab import hosts, limits, listing, load

        limits.raise_descriptors()
        return {"hosts": hosts.Hosts, "list": listing.Listing, "load": load.Clients}[name](
            given.plan, given.number
        ).main()

    return start


def plan(given):
    import msgspec

    from cottonspread.lab import limits
    from cottonspread.lab import plan as plans

    x = plans.read(given.file)
    one = plans.make(x, (x.variants or [plans.Variant(name="only")])[0], given.seed or x.seed)
    schedule = plans.schedule(one)
    with open(given.out, "wb") as file:
        file.write(msgspec.json.encode(one))
    print(
        f"{len(schedule.at)} first calls, {limits.most_standing(schedule)} standing at most, "
        f"schedule sha256 {schedule.digest()}"
    )
    for line in limits.check(one, schedule):
        print(line)
    return 0


def run(given):
    from cottonspread.lab import experiment

    return experiment.run(given.file, given.out, given.seconds, given.repeats, given.quiet, given.again)


def compare(given):
    from cottonspread.lab import experiment

    return experiment.compare(given.a, given.b)


def report(given):
    from cottonspread.lab import report as reports

    print(reports.write(given.folder))
    return 0


def audit(given):
    from cottonspread.lab import ledger, results

    told = results.audited(given.folder)[2]
    print("\n".join(ledger.told(told)))
    return 1 if told["offences"] else 0


def trace(given):
    from cottonspread.lab import record
    from cottonspread.lab import trace as traces

    entries = traces.of_calls([c for c in record.read(given.folder, "load") if c["k"] == "call"])
    traces.write(given.file, entries)
    print(f"{len(entries)} connections")
    return 0


def scale(given):
    from pathlib import Path

    from cottonspread.lab.scale import command, results

    out = Path(given.out) if given.out else results.FOLDER
    asked = command.Asked(
        given.small, given.nodes, given.servers, given.seed, tuple(given.only), out, given.alone
    )
    try:
        return command.main(asked)
    except (command.ScaleError, results.ResultError) as fault:
        print(f"cottonspread: lab: scale: {fault}", file=sys.stderr)
        return 2


def selfcheck(given):
    from cottonspread.lab import selfcheck as check

    return check.main(given.rate, given.seconds, given.delay_ms)


def acceptor(given):
    import json
    import os

    from cottonspread.lab import acceptor as one

    with open(os.environ["PROXY_CONFIG"], encoding="utf-8") as file:
        host, _, port = json.load(file)["listen"].rpartition(":")
    return one.run((host, int(port)))


def standin(given):
    from cottonspread.lab import standin as one

    if given.sabotage not in one.SABOTAGES:
        print("cottonspread: lab: standin: one of " + ", ".join(one.SABOTAGES), file=sys.stderr)
        return 2
    return one.main(given.sabotage)
