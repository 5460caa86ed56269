"""The notation of all scenario files: settings, servers, events, and the function that plays a file."""

import re
from fnmatch import fnmatchcase

from cottonspread import interface as io


def pairs(words):
    """WORD=VALUE words as a dictionary."""
    return dict(w.partition("=")[::2] for w in words)


def ms(value):
    """Milliseconds, as text, in whole microseconds."""
    return round(float(value) * 1000)


def traffic_type(name, options):
    """The traffic type of a `type` line; `options`: its WORD=VALUE pairs."""
    effect = io.Effect(options.get("effect", "may run again").replace("_", " "))
    return io.TrafficType(
        name,
        effect,
        options.get("scope", "all"),
        ms(options.get("remembered", 5000)),
        ms(options.get("setup", 300)),
        ms(options.get("guard", 1200)),
        float(options.get("revenue", 1)),
        ms(options.get("message", 50)),
    )


def node_config(options, types, tenants=()):
    """The node configuration of a `site` line; `options`: its WORD=VALUE pairs."""
    return io.NodeConfig(
        int(options.get("seed", 7)),
        0,
        int(options.get("nodes", 1)),
        int(options.get("zone", 0)),
        ms(2),
        tuple(types),
        tuple(
            io.Tenant(str(n), 1, 0, float(q)) for n, q in enumerate(options.get("quota", "").split(",")) if q
        ),
        io.LegLimits(
            int(options.get("legs", 4)),
            False,
            True,
            "retry_after" in options,
            ms(options.get("retry_after", 0)),
        ),
        io.ColdStart(float(options.get("cold", 0.12)), ms(options.get("warm", 20000)), 2.5, ms(2000)),
        io.ServerListRules(options.get("list") == "ask", ms(10000), ms(400)),
        io.Prices(float(options.get("crossing", 0)), float(options.get("moving", 0.03))),
        False,
        "tell" in options,
        True,
        "probe" in options,
        "moving_weights" in options,
    )


def entry(word):
    """The list's entry of a server written as HOST[:OPTION=VALUE[,...]]."""
    name, _, rest = word.partition(":")
    options = pairs(rest.split(",")) if rest else {}
    return io.Entry(
        name,
        int(options.get("zone", 0)),
        int(options.get("kind", 0)),
        float(options.get("size", 1)),
        int(options.get("cell", 0)),
        ms(options.get("started", 0)),
        io.HostState(options.get("state", "up")),
    )


def matches(expected, words, bound):
    """Whether an action's words match the expected ones; `bound`: the values of capital letters so far."""
    if len(expected) != len(words):
        return False
    for want, got in zip(expected, words, strict=True):
        if want.startswith("!"):
            if bound.get(want[1:], want[1:]) == got:
                return False
        elif len(want) == 1 and "A" <= want <= "Z" and want != "M":
            # A capital letter is bound to the value in its place; M is a word of the protocol.
            if bound.setdefault(want, got) != got:
                return False
        elif not fnmatchcase(got, want):
            return False
    return True


def play(file, start, act):
    """Plays one scenario file.

    `start(site, types)` creates the object under test and returns it with its first actions, as lists of
    words; `act(played, time, verb, args, bound)` plays one line and returns the actions. Returns the object.
    """
    site, types, played, pending, bound = {}, [], None, [], {}
    lines = [line.split("#")[0] for line in file.read_text().splitlines()] + ["end"]
    for number, part in [
        (n, part) for n, line in enumerate(lines, 1) for part in re.split(r"\s+(?=>)", line)
    ]:
        words = part.split()
        where = f"{file.name}:{number}: {part}"
        if not words:
            continue
        if words[0] == ">":
            assert pending, where + " -- no action is left"
            got = pending.pop(0)
            assert matches(words[1:], got, bound), f"{where} -- got {' '.join(got)}"
            continue
        if words[0] == ">?":
            assert any(matches(words[1:], a, bound) for a in pending), f"{where} -- not in {pending}"
            pending = []
            continue
        assert not pending, f"before {where} -- unexpected actions: {pending}"
        if words[0] == "site":
            site = pairs(words[1:])
        elif words[0] == "type":
            types.append(traffic_type(words[1], pairs(words[2:])))
        elif words[0] != "end":
            if played is None:
                types = types or [traffic_type("any", {})]
                played, pending = start(site, types)
            pending = pending + act(played, ms(words[0]), words[1], words[2:], bound)
    assert played and not pending
    return played
