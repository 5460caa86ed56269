"""Plays the scenarios in tests/scenarios/*.txt against the decision module of one node.

site WORD=VALUE ...           settings that differ from the defaults in `notation.node_config`
type NAME WORD=VALUE ...      a traffic type; without any there is a single repeatable type
TIME EVENT ARGS               TIME in ms; events: list changes|full|saved|failed HOST[:WORD=VALUE[,..]] ..,
                              call ID .., open ID HOST .., accept ID LEG, done ID LEG ENDING [closed],
                              tune WORD=VALUE .. | TYPE WORD=VALUE .. | ..,
                              inherit KEY=HOST .. HOST:LEGS@MS ..,
                              load ID N, delay ID MS, expire ID, timer TOKEN,
                              probed HOST ENDING [LOAD [BACKLOG]]
> ACTION ARGS                 the actions that must follow, all of them, in this order (except timers and
                              log lines); on a line of their own or behind their event
>? TEXT                       an action that must be among them; the others are not checked
A capital letter stands for a host: the one where it first occurs, and the same from then on; !A is any host
but that one; * matches anything.
"""

import re
from pathlib import Path

import pytest
from notation import entry, ms, node_config, pairs, play, traffic_type

from cottonspread import interface as io
from cottonspread.policy import Balancer

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


def event(verb, args, types):
    if verb == "list":
        kind = io.ListUpdateKind.SAVED if args[0] == "saved" else io.ListUpdateKind[args[0].upper()]
        return io.ListUpdate(kind, 0, tuple(entry(w) for w in args[1:]))
    if verb in ("call", "open"):
        held = args.pop(1) if verb == "open" else None
        options = pairs(args[1:])
        names = [t.name for t in types]
        return io.CallArrived(
            args[0],
            names.index(options["type"]) if "type" in options else 0,
            ms(options.get("left", 1200)),
            options.get("key"),
            options.get("group"),
            int(options.get("tenant", 0)),
            0.0,
            "returned" in options,
            held,
        )
    if verb == "done":
        return io.LegEnded(args[0], int(args[1]), io.Ending[args[2].upper()], "closed" in args)
    if verb == "probed":
        return io.ProbeEnded(args[0], io.Ending[args[1].upper()], 0, *map(float, args[2:]))
    if verb == "tune":
        site, *rest = [part.split() for part in " ".join(args).split("|")]
        types[:] = [traffic_type(words[0], pairs(words[1:])) for words in rest]
        return io.Reconfigured(node_config(pairs(site), types))
    if verb == "inherit":
        sent = [re.fullmatch(r"(\w+):(\d+)@(\d+)", word) for word in args]
        return io.Inherited(
            tuple(word.split("=") for word in args if "=" in word),
            tuple((m[1], ms(m[3]), int(m[2])) for m in sent if m),
        )
    id = args[0]
    return {
        "accept": lambda: io.LegAccepted(id, int(args[1]), 0),
        "load": lambda: io.LoadReported(id, float(args[1])),
        "delay": lambda: io.DelayReported(id, ms(args[1])),
        "expire": lambda: io.CallExpired(id),
        "timer": lambda: io.TimerFired(id),
    }[verb]()


def words_of(action):
    words = [type(action).__name__.lower()]
    words += [str(v) for v in (getattr(action, n, None) for n in ("call", "leg", "host")) if v is not None]
    return words


def check_sums(node):
    """Checks the node's sums against a plain count, after every event."""
    for host in node.membership.hosts.values():
        groups = {leg.call.group for leg in host.legs}
        assert host.load == sum(leg.load for leg in host.legs) + node.loads.GROUP_COST * len(groups)
        assert host.setups == sum(not leg.accepted for leg in host.legs)
    up = node.membership.up()
    assert (node.sums.legs, node.sums.load) == (sum(len(h.legs) for h in up), sum(h.load for h in up))


def checked_actions(actions):
    return [words_of(a) for a in actions if not isinstance(a, (io.Timer, io.Log))]


@pytest.mark.parametrize("file", FILES, ids=lambda f: f.stem)
def test_scenario(file):
    types_played = []

    def start(site, types):
        types_played.extend(types)
        node = Balancer(0, node_config(site, types))
        return node, checked_actions(node.actions())

    def act(node, now, verb, args, bound):
        actions = node.handle(now, event(verb, [bound.get(w, w) for w in args], types_played))
        check_sums(node)
        return checked_actions(actions)

    play(file, start, act)
