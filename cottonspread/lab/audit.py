"""Audits a run from the records of clients, hosts, the list and the runner, never from what a node reports.

The audit shares no code with the node or with the hosts' model. Each violation names its rule and holds the
call with all its legs. The rules, which allow 50 ms for delays of the sockets and of the machine:

1. Every call whose first line reached a node's machine gets exactly one final answer before its guard time,
   and no leg is opened for it afterwards. An established connection is never cut off without MOVE, and the
   end or the silence of its host is passed on in time.
2. No call takes effect twice, and it never has two legs at once.
3. No new call goes to a host later than the grace time after the list told that node that the host is
   draining or gone.
4. No cold host is overloaded: what all nodes together send it stays within a budget over any window.
"""

from bisect import bisect_right
from collections import Counter, defaultdict, deque

TOLERANCE = 50_000
MAX_END_DELAY = 1_000_000
MAX_SILENCE = 7_000_000
SECOND = 1_000_000
MAX_EXAMPLES = 5  # violations of each kind that are kept with all details
LEG_EVENTS = ("leg", "ran", "up", "full", "late", "end", "swallowed")  # record kinds of hosts about one leg
RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "nothing new to a drained server",
    4: "no cold server tipped",
}


class Audit:
    """The audit of one run; all times are microseconds after the run's start."""

    def __init__(self, plan, start, records):
        """Reads all records.

        `records(kind)` returns the lines of load, hosts, list or nodes; `start`: when the run started, on the
        monotonic clock that all processes share.
        """
        self.plan, self.start = plan, start
        self.traffic_types = {t.name: t for t in plan.experiment.load.types}
        self.machines = {m.name: m for m in plan.machines}
        self.grace = round(plan.experiment.nodes.grace_ms * 1000)
        self.violations, self.examples, self.checked = Counter(), defaultdict(list), Counter()
        self.calls, self.excused, self.harmless_repeats, self.ends_at = {}, 0, 0, 0
        self.legs, self.host_ends, self.starts, self.host_faults = (
            defaultdict(list),
            {},
            defaultdict(list),
            defaultdict(list),
        )
        self.deaths, self.freezes, self.list_updates, self.max_cold_budget = (
            defaultdict(list),
            defaultdict(list),
            defaultdict(list),
            0.0,
        )
        self.drain_spans = {}
        self.read(records)

    def read(self, records):
        """Reads the records of nodes, hosts, list and load."""
        for line in records("nodes"):
            self.read_node(line)
        open_legs = {}
        for line in sorted((x for x in records("hosts")), key=lambda x: x["t"]):
            if line["k"] in LEG_EVENTS:
                self.read_leg(line, open_legs)
            else:
                self.read_host(line)
        for line in records("list"):
            if line["k"] == "told":
                self.list_updates[line["node"]].append((line["t"] - self.start, line["whole"], line["hosts"]))
        for line in records("load"):
            if line["k"] == "call":
                self.calls[line["id"]] = line
                self.ends_at = max(self.ends_at, line["end"])

    def read_node(self, line):
        """Reads a line of the runner about a node."""
        kind, t, node = line["k"], line["t"] - self.start, line["node"]
        if kind in ("killed", "died"):
            self.deaths[node].append(t)
        elif kind == "freeze":
            self.freezes[node].append([t, float("inf")])
        elif kind == "thaw" and self.freezes[node]:
            self.freezes[node][-1][1] = t

    def read_leg(self, line, open_legs):
        """Reads a host's line about a leg. `open_legs`: the latest leg by (call id, host)."""
        kind, t, key = line["k"], line["t"] - self.start, (line["id"], line.get("host"))
        if kind == "leg":
            leg = {
                "t": t,
                "host": line.get("host"),
                "end": None,
                "how": "",
                "ran": None,
                "up": None,
                "never": None,
                "cold": line["cold"],
                "load": 0,
            }
            self.legs[line["id"]].append(leg)
            open_legs[key] = leg
            return
        leg = open_legs.get(key)
        if leg is None:
            return
        if kind == "ran":
            leg["ran"], leg["load"] = t, line["v"]
        elif kind == "up":
            leg["up"] = t, line["receipt"]
        elif kind == "end":
            leg["end"], leg["how"] = t, line["how"]
        elif kind != "swallowed":
            leg["never"] = t

    def read_host(self, line):
        """Reads a host's line about the host itself."""
        kind, t, host = line["k"], line["t"] - self.start, line.get("host")
        if kind == "started":
            self.starts[host].append(t)
        elif kind in ("fault", "mend", "down"):
            self.host_faults[host].append((t, kind, line.get("kind")))
        elif kind == "tipped":
            self.add_violation(4, "tipped", {"host": host, "t": t, "sent_us": line["v"]})
        elif kind == "syntax":
            self.add_violation(1, "a host could not read its first line", line)

    def add_violation(self, rule, what, details):
        """Counts a violation and keeps the first ones of each kind with their details."""
        self.violations[rule, what] += 1
        if len(self.examples[rule, what]) < MAX_EXAMPLES:
            self.examples[rule, what].append(details)

    def with_legs(self, call):
        """Returns a call's record together with its legs."""
        return {**call, "legs": self.legs.get(call["id"], [])}

    def run(self):
        """Checks all rules and returns the result."""
        for call in self.calls.values():
            self.check_answers(call)
            self.check_effects(call)
            self.check_drains(call)
        for host, machine in self.machines.items():
            for start in self.starts.get(host, ()):
                self.check_cold_budget(machine, start)
        return self.result()

    def result(self):
        """Returns the counts and violations so far, as results.json holds them."""
        return {
            "calls": len(self.calls),
            "legs": sum(map(len, self.legs.values())),
            "excused": self.excused,
            "ran_twice_harmlessly": self.harmless_repeats,
            "cold_budget_used": round(self.max_cold_budget, 3),
            "rules": {
                str(rule): {
                    "meaning": meaning,
                    "checked": self.checked[rule],
                    "broken": sum(n for (r, _), n in self.violations.items() if r == rule),
                }
                for rule, meaning in RULES.items()
            },
            "offences": [
                {"rule": rule, "what": what, "count": n, "first": self.examples[rule, what]}
                for (rule, what), n in sorted(self.violations.items())
            ],
        }

    # Rule 1

    def node_died(self, node, after, before):
        """Returns whether the node was killed or died between two times."""
        return any(after <= t <= before for t in self.deaths.get(node, ()))

    def node_frozen(self, node, after, before):
        """Returns whether the node was frozen at any time between two times."""
        return any(since <= before and until >= after for since, until in self.freezes.get(node, ()))

    def check_answers(self, call):
        """Checks rule 1 for a call."""
        if not call["sent"]:
            return  # its node's machine never received it
        self.checked[1] += 1
        answers, guard = call["answers"], call["sent"] + round(call["d"] * 1000)
        if len(answers) > 1:
            self.add_violation(1, "more than one final answer", self.with_legs(call))
        if answers:
            self.check_answered(call, guard)
        else:
            self.check_unanswered(call, guard)
        last = answers[0][0] if answers else call["end"]
        if any(leg["t"] > min(last, guard) + TOLERANCE for leg in self.legs.get(call["id"], ())):
            self.add_violation(1, "a leg after the final answer", self.with_legs(call))
        if answers and answers[0][1] == "UP":
            if call["how"] in ("end", "reset"):
                self.check_cut_off(call)
            self.check_end_delay(call)

    def check_answered(self, call, guard):
        """Checks the time of a final answer, and that an UP carries the receipt of a host."""
        at, what, value = call["answers"][0]
        if at > guard + TOLERANCE and not self.node_frozen(
            call["node"], guard - TOLERANCE, guard + TOLERANCE
        ):
            self.add_violation(1, "answered after the guard time", self.with_legs(call))
        legs = self.legs.get(call["id"], ())
        if what == "UP" and not any(leg["up"] and leg["up"][1] == value for leg in legs):
            self.add_violation(1, "UP that no host gave", self.with_legs(call))

    def check_unanswered(self, call, guard):
        """Checks whether a call without a final answer is excused."""
        if self.node_died(call["node"], call["sent"] - TOLERANCE, call["end"] + TOLERANCE):
            self.excused += 1  # its node was killed with it
        elif self.node_frozen(call["node"], guard - TOLERANCE, guard + TOLERANCE):
            self.excused += 1  # its node was stopped over its guard time
        elif call["how"] == "cut":
            if call["end"] > guard + TOLERANCE:
                self.add_violation(1, "no answer before the guard time", self.with_legs(call))
        elif call["how"] == "gave-up":
            self.add_violation(1, "no answer before the guard time", self.with_legs(call))
        else:
            self.add_violation(1, "ended without an answer", self.with_legs(call))

    def check_cut_off(self, call):
        """Checks that an established connection that ended without MOVE was ended by its host."""
        node, end = call["node"], call["end"]
        if self.node_died(node, 0, end + TOLERANCE):
            self.excused += 1
            return
        leg = next((leg for leg in self.legs.get(call["id"], ()) if leg["up"]), None)
        if leg is None or leg["how"] in ("end", "reset") and leg["end"] <= end + TOLERANCE:
            return
        if leg["how"] == "" or any(
            t <= end + TOLERANCE
            and kind in ("down", "fault")
            and what in (None, "vanish", "half-dead", "hang")
            for t, kind, what in self.host_faults.get(leg["host"], ())
        ):
            return  # its host was silent
        self.add_violation(1, "cut off without MOVE while its host answered", self.with_legs(call))

    def check_end_delay(self, call):
        """Checks that the node passed on the end or the silence of the host in time."""
        node, end = call["node"], call["end"]
        leg = next((leg for leg in self.legs.get(call["id"], ()) if leg["up"]), None)
        if (
            leg
            and leg["how"] in ("end", "reset")
            and end > leg["end"] + MAX_END_DELAY + TOLERANCE
            and not self.node_frozen(node, leg["end"], end)
        ):
            self.add_violation(1, "a host's end passed on late", self.with_legs(call))
        if call["unanswered"] > MAX_SILENCE + TOLERANCE and not self.node_frozen(
            node, end - call["unanswered"], end
        ):
            self.add_violation(1, "silent for over 7 s", self.with_legs(call))

    # Rule 2

    def check_effects(self, call):
        """Checks rule 2 for a call."""
        legs = self.legs.get(call["id"], ())
        self.checked[2] += len(legs)
        traffic_type = self.traffic_types[call["type"]]
        ran = [leg for leg in legs if leg["ran"] is not None]
        if len(ran) > 1:
            if (
                traffic_type.effect == "once-only"
                or traffic_type.effect == "referenced"
                and not self.in_one_scope(traffic_type, ran)
            ):
                self.add_violation(2, "ran twice", self.with_legs(call))
            else:
                self.harmless_repeats += 1
        for n, leg in enumerate(legs):
            if any(self.is_active(earlier, leg["t"]) for earlier in legs[:n]):
                self.add_violation(2, "two legs at once", self.with_legs(call))
                return
            open_before = [earlier for earlier in legs[:n] if earlier["never"] is None]
            if not open_before or traffic_type.effect == "repeatable":
                continue
            if traffic_type.effect == "once-only":
                self.add_violation(2, "once-only sent again though it may have run", self.with_legs(call))
                return
            if not self.in_one_scope(traffic_type, [open_before[0], leg]):
                self.add_violation(2, "referenced sent where its repeats are not known", self.with_legs(call))
                return
            if (
                traffic_type.remembered_ms
                and leg["t"] > open_before[0]["t"] + traffic_type.remembered_ms * 1000 + TOLERANCE
            ):
                self.add_violation(2, "referenced sent again after its time", self.with_legs(call))
                return
        rejected = call["answers"] and call["answers"][0][1] == "BUSY"
        if (
            rejected
            and any(leg["never"] is None for leg in legs)
            and (
                traffic_type.effect == "once-only"
                or traffic_type.effect == "referenced"
                and traffic_type.scope != "all"
            )
        ):
            self.add_violation(2, "rejected though it may have run", self.with_legs(call))

    def is_active(self, leg, at):
        """Returns whether the leg was still active at that time."""
        if leg["never"] is not None:
            return False
        if leg["end"] is None:
            return not self.host_vanished(leg, at)
        return leg["end"] > at + TOLERANCE

    def host_vanished(self, leg, before):
        """Returns whether the leg's host vanished or went down before, and so recorded no end of the leg."""
        return any(
            t <= before and what in ("vanish", "cold") for t, _, what in self.host_faults.get(leg["host"], ())
        )

    def in_one_scope(self, traffic_type, legs):
        """Returns whether all hosts of the legs are in one scope, within which repeats are recognised."""
        if traffic_type.scope == "all":
            return True
        return (
            len(
                {
                    getattr(self.machines[leg["host"]], "zone" if traffic_type.scope == "zone" else "cell")
                    for leg in legs
                }
            )
            == 1
        )

    # Rule 3

    def drained_since(self, node, host, at):
        """Returns the time since when the list has reported the host to this node as draining or gone.

        The state is that at the time `at`; None if the list reported no such state.
        """
        spans = self.drain_spans.get((node, host))
        if spans is None:
            spans, since = [], None
            for t, whole, hosts in self.list_updates.get(node, ()):
                state = next((s for name, s, _ in hosts if name == host), "Gone" if whole else None)
                if state in ("Terminating", "Gone"):
                    since = t if since is None else since
                    spans.append((t, since))
                elif state is not None:
                    since = None
                    spans.append((t, None))
            self.drain_spans[node, host] = spans
        index = bisect_right(spans, (at, float("inf"))) - 1
        return spans[index][1] if index >= 0 else None

    def check_drains(self, call):
        """Checks rule 3 for a call's legs."""
        for leg in self.legs.get(call["id"], ()):
            self.checked[3] += 1
            since = self.drained_since(call["node"], leg["host"], leg["t"])
            if since is not None and leg["t"] > since + self.grace + TOLERANCE:
                self.add_violation(
                    3,
                    "a leg to a server that drains or is gone",
                    {**self.with_legs(call), "told": since, "late_ms": (leg["t"] - since) / 1000},
                )

    # Rule 4

    def check_cold_budget(self, machine, start):
        """Checks rule 4 for a host that started at `start`.

        The work that it was sent in a window, estimated from the mean work of a set-up and the recorded loads
        of its connections, is compared with what it may be sent in any window.
        """
        t = machine.traits
        warm, window = round(t.warm_s * SECOND), round(t.tip_s * SECOND)
        if not t.tip_multiple:
            return
        legs = sorted(
            (
                leg
                for legs in self.legs.values()
                for leg in legs
                if leg["host"] == machine.name and start <= leg["t"] < start + warm
            ),
            key=lambda leg: leg["t"],
        )
        recent = deque()
        for leg in legs:
            self.checked[4] += 1
            at = leg["t"]
            recent.append(at)
            while recent[0] < at - window:
                recent.popleft()
            connection_work = sum(
                other["load"] * (min(at, other["end"] or at) - max(other["ran"], at - window)) / SECOND
                for other in legs
                if other["ran"] is not None and other["ran"] < at and (other["end"] or at) > at - window
            )
            share = t.cold_share + (1 - t.cold_share) * (at - start) / warm
            used = (len(recent) * t.setup_us + connection_work) / (
                t.tip_multiple * t.cores * t.speed * share * window
            )
            self.max_cold_budget = max(self.max_cold_budget, used)
            if used > 1:
                self.add_violation(
                    4,
                    "more than its budget sent to a cold server",
                    {"host": machine.name, "t": at, "started": start, "used": round(used, 3)},
                )


def summary_lines(result):
    """Returns an audit's result as lines of text."""
    out = [
        f"calls {result['calls']}, legs {result['legs']}, "
        f"excused with killed or frozen nodes {result['excused']}, "
        f"cold budget used at most {result['cold_budget_used']:.0%}"
    ]
    for number, rule in result["rules"].items():
        out.append(f"rule {number} ({rule['meaning']}): {rule['broken']} broken of {rule['checked']} checked")
    for violation in result["offences"]:
        out.append(
            f"  rule {violation['rule']}: {violation['what']}: {violation['count']} times, "
            f"first: {violation['first'][0]}"
        )
    return out
