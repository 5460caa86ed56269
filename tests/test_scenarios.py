"""Plays the scenarios in tests/scenarios/*.txt against one node, without the bench.

site WORD=VALUE ...           settings that differ from the defaults in `begin` below
type NAME WORD=VALUE ...      a traffic type; without one there is a single repeatable type
TIME EVENT ARGS               TIME in ms; events: list changes|full|saved|failed HOST[:WORD=VALUE[,..]] ..,
                              call ID .., open ID HOST .., accept ID LEG, done ID LEG ENDING [closed],
                              load ID N, delay ID MS, expire ID, timer TOKEN
> ACTION ARGS                 the actions that must follow, all of them, in this order (timers and logs aside);
                              on a line of their own or behind their event
>? TEXT                       an action that must be somewhere among them, none of the others minded
A capital name stands for a host: bound where it first comes, the same after; !A is any host but that one;
a * stands for anything.
"""
import re
from pathlib import Path

import pytest

from cottonspread import interface as io
from cottonspread.decide import Balancer

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


def pairs(words):
    return dict(w.partition("=")[::2] for w in words)


def ms(value):
    return round(float(value) * 1000)


def traffic_type(name, o):
    effect = io.Effect(o.get("effect", "may run again").replace("_", " "))
    return io.TrafficType(name, effect, o.get("scope", "all"), ms(o.get("remembered", 5000)),
                          ms(o.get("setup", 300)), ms(o.get("guard", 1200)),
                          float(o.get("revenue", 1)), ms(o.get("message", 50)))


def begin(o, types, tenants=()):
    return io.Begin(
        int(o.get("seed", 7)), 0, int(o.get("nodes", 1)), int(o.get("zone", 0)), ms(2), tuple(types),
        tuple(io.Tenant(str(n), 1, 0, float(q)) for n, q in enumerate(o.get("quota", "").split(",")) if q),
        io.LegLimits(int(o.get("legs", 4)), False, True, "advice" in o, ms(o.get("advice", 0))),
        io.ColdStart(float(o.get("cold", 0.12)), ms(o.get("warm", 20000)), 2.5, ms(2000)),
        io.ListRules(o.get("list") == "ask", ms(10000), ms(400)),
        io.Prices(float(o.get("crossing", 0)), float(o.get("moving", 0.03))),
        False, "tell" in o, True)


def entry(word):
    name, _, rest = word.partition(":")
    o = pairs(rest.split(",")) if rest else {}
    return io.Entry(name, int(o.get("zone", 0)), 0, float(o.get("size", 1)), int(o.get("cell", 0)),
                    ms(o.get("started", 0)), io.State(o.get("state", "up")))


def event(verb, args, types):
    if verb == "list":
        news = io.News.SAVED if args[0] == "saved" else io.News[args[0].upper()]
        return io.Listed(news, 0, tuple(entry(w) for w in args[1:]))
    if verb in ("call", "open"):
        held = args.pop(1) if verb == "open" else None
        o = pairs(args[1:])
        names = [t.name for t in types]
        return io.Arrived(args[0], names.index(o["type"]) if "type" in o else 0, ms(o.get("left", 1200)),
                          o.get("key"), o.get("group"), int(o.get("tenant", 0)), 0.0,
                          "mid" in o, "returned" in o, held)
    if verb == "done":
        return io.LegEnded(args[0], int(args[1]), io.Ending[args[2].upper()], "closed" in args)
    id = args[0]
    return {"accept": lambda: io.Accepted(id, int(args[1]), 0),
            "load": lambda: io.LoadTold(id, float(args[1])),
            "delay": lambda: io.DelayTold(id, ms(args[1])), "expire": lambda: io.Expired(id),
            "timer": lambda: io.TimerFired(id)}[verb]()


def said(action):
    words = [type(action).__name__.lower()]
    words += [str(v) for v in (getattr(action, n, None) for n in ("call", "leg", "host")) if v is not None]
    return words


def same(expected, words, bound):
    if len(expected) != len(words):
        return False
    for want, got in zip(expected, words):
        if want.startswith("!"):
            if bound.get(want[1:], want[1:]) == got:
                return False
        elif want[0].isupper():
            if bound.setdefault(want, got) != got:
                return False
        elif want not in ("*", got):
            return False
    return True


def recount(node):
    """What the node keeps in sums is what a plain count finds, after every event."""
    for host in node.membership.hosts.values():
        groups = {leg.call.group for leg in host.legs}
        assert host.load == sum(leg.load for leg in host.legs) + node.loads.GROUP * len(groups)
        assert host.setups == sum(not leg.accepted for leg in host.legs)
    up = node.membership.up()
    assert (node.legs, node.load) == (sum(len(h.legs) for h in up), sum(h.load for h in up))


@pytest.mark.parametrize("file", FILES, ids=lambda f: f.stem)
def test_scenario(file):
    site, types, node, pending, bound = {}, [], None, [], {}
    lines = [line.split("#")[0] for line in file.read_text().splitlines()] + ["end"]
    for number, part in [(n, part) for n, line in enumerate(lines, 1) for part in re.split(r"\s+(?=>)", line)]:
        words = part.split()
        where = f"{file.name}:{number}: {part}"
        if not words:
            continue
        if words[0] == ">":
            assert pending, where + " -- no action"
            got = said(pending.pop(0))
            assert same(words[1:], got, bound), f"{where} -- got {' '.join(got)}"
            continue
        if words[0] == ">?":
            assert any(same(words[1:], said(a), bound) for a in pending), f"{where} -- not in {pending}"
            pending = []
            continue
        assert not pending, f"before {where} -- more actions: {pending}"
        if words[0] == "site":
            site = pairs(words[1:])
        elif words[0] == "type":
            types.append(traffic_type(words[1], pairs(words[2:])))
        elif words[0] != "end":
            if node is None:
                types = types or [traffic_type("any", {})]
                node = Balancer(0, begin(site, types))
                pending = node.actions()
            pending += node.handle(ms(words[0]), event(words[1], [bound.get(w, w) for w in words[2:]], types))
            pending = [a for a in pending if not isinstance(a, (io.Timer, io.Log))]
            recount(node)
    assert node and not pending
