"""Between the drill's lines of text and the types of `cottonspread.interface`. No decisions here."""
import base64
import json

from cottonspread import interface as i

ENDINGS = {0: i.Ending.OK, 5: i.Ending.ERROR, 11: i.Ending.FULL, 110: i.Ending.TIMEOUT,
           111: i.Ending.CONNECT_FAILED, 104: i.Ending.RESET, 125: i.Ending.CANCELLED, 114: i.Ending.MOOT}
EFFECTS = {"safe": i.Effect.REPEATABLE, "keyed": i.Effect.REFERENCED, "unsafe": i.Effect.ONCE_ONLY}
STATES = {"up": i.State.UP, "draining": i.State.DRAINING, "removed": i.State.GONE}
NEWS = {"update": i.News.CHANGES, "replace": i.News.FULL, "restored": i.News.SAVED,
        "unavailable": i.News.FAILED}
TEXT_FIELDS = {"begin": "Config"}
LOAD_CHANGED, MESSAGES_SLOW = 1, 2
MID_FLOW, RETURNED, HINTED = 8, 16, 1


class Unreadable(ValueError):
    """A line that cannot be understood; the rest of its batch can."""


class Senseless(ValueError):
    """Settings under which no node can run."""


def micros(text):
    value = float(text)
    if not abs(value) < 1e15:
        raise ValueError("time out of range: " + text)
    return round(value * 1000)


def millis(value):
    return f"{value / 1000:.3f}"


def split(line):
    """One line as its message name and its fields."""
    name, _, rest = line.partition("\t")
    fields = {}
    text = TEXT_FIELDS.get(name)
    while rest:
        if text and rest.startswith(text + "="):
            fields[text] = rest[len(text) + 1:]
            break
        part, _, rest = rest.partition("\t")
        key, eq, value = part.partition("=")
        if not eq:
            raise Unreadable(f"part without '=': {part!r}")
        fields[key] = value
    return name, fields


def entry(f):
    return i.Entry(f["Host"], int(f.get("Site", 0)), int(f.get("Shape", 0)), float(f.get("Heft", 1)),
                   int(f.get("UnitGroup", 0)), micros(f.get("CameUp", 0)),
                   STATES[f.get("Availability", "up")])


def arrived(f):
    options = int(f.get("Options", 0))
    return i.Arrived(int(f["Call"]), int(f["Service"]), micros(f.get("ExpiresIn", 0)), f.get("PathKey"),
                     f.get("TeamId"), int(f.get("Team", 0)),
                     float(f.get("Effort", 0)) if options & HINTED else 0.0,
                     bool(options & MID_FLOW), bool(options & RETURNED), f.get("Host"))


def status_note(f):
    sort, call = int(f["Sort"]), int(f["Call"])
    if sort == LOAD_CHANGED:
        return i.LoadTold(call, float(f["X"]))
    if sort == MESSAGES_SLOW:
        return i.DelayTold(call, micros(f["X"]))
    return None


def data(text):
    return b"" if text == "-" else base64.b64decode(text, validate=True)


READERS = {
    "work_item": arrived,
    "inherited": arrived,
    "accepted": lambda f: i.Accepted(int(f["Call"]), int(f.get("Trial", 0)), micros(f.get("WaitTime", 0))),
    "done": lambda f: i.LegEnded(int(f["Call"]), int(f.get("Trial", 0)), ENDINGS[int(f["Disposition"])],
                                 f.get("Terminal", "0") == "1", micros(f.get("WaitTime", 0))),
    "expired": lambda f: i.Expired(int(f["Call"])),
    "status_note": status_note,
    "fired": lambda f: i.TimerFired(f["Cookie"]),
    "pong": lambda f: i.Probed(f["Host"], ENDINGS[int(f["Disposition"])], micros(f.get("WaitTime", 0))),
    "peer": lambda f: i.PeerTold(int(f["Neighbour"]), data(f["Bytes"])),
}


def read(name, fields):
    """The event a line stands for; None for a message this front does not know."""
    reader = READERS.get(name)
    try:
        return reader(fields) if reader else None
    except (KeyError, ValueError) as fault:
        raise Unreadable(f"{name}: {fault!r}") from fault


def read_list(fields, lines):
    try:
        return i.Listed(NEWS[fields["Scope"]], int(fields.get("Index", 0)), tuple(entry(f) for f in lines))
    except (KeyError, ValueError) as fault:
        raise Unreadable(f"view: {fault!r}") from fault


def without_nulls(pairs):
    """A value that is null counts as absent."""
    return {k: v for k, v in pairs if v is not None}


def read_begin(fields):
    """The settings of a node; refuses those that make no sense."""
    try:
        c = json.loads(fields["Config"], object_pairs_hook=without_nulls)
        limits, rules, costs, kind = (c.get(k, {}) for k in ("Limits", "Rules", "Costs", "FamilyInfo"))
        targets, quotas = ([x or 0 for x in kind.get(k, [])]
                           for k in ("MessageAim", "TenantQuotaConnections"))
        types = tuple(i.TrafficType(
            t.get("Name", str(n)), EFFECTS[t.get("Effect", "unsafe")], t.get("KeyScope", "cell"),
            micros(t.get("KeyTtl", 0)), micros(t["SetupTarget"]), micros(t["GuardTime"]),
            float(t.get("Revenue", 1)), micros(targets[n]) if n < len(targets) else 0)
            for n, t in enumerate(c.get("TrafficTypes", [])))
        tenants = tuple(i.Tenant(
            t.get("Name", str(n)), float(t.get("Share", 0)), float(t.get("AllowancePerS", 0)),
            float(quotas[n]) if n < len(quotas) else 0.0) for n, t in enumerate(c.get("Orgs") or []))
        begin = i.Begin(
            int(fields.get("RngSeed", 0)), int(c.get("Me", 0)), int(c.get("Balancers", 1)),
            int(c.get("Zone", 0)), micros(c.get("Step", 1)), types, tenants,
            i.LegLimits(int(limits.get("MostLegs", 1)), bool(limits.get("MayDuplicate", False)),
                        bool(limits.get("Cancel", False)), bool(limits.get("RetryAfter", False)),
                        micros(limits.get("MaxRetryAfter", 0))),
            i.ColdStart(float(rules.get("ColdFrom", 1)), micros(rules.get("RampTime", 0)),
                        float(rules.get("TipMultiple", 1)), micros(rules.get("OverloadFor", 0))),
            i.ListRules(c.get("MembershipMode", "push") == "ask", micros(rules.get("AskEvery", 0)),
                        micros(rules.get("DrainGrace", 0))),
            i.Prices(*(float(costs.get(k, 0)) for k in ("CrossZone", "Moves", "Probe", "Peer"))),
            bool(limits.get("Probes", False)), bool(limits.get("PeerMessages", False)),
            bool(kind.get("Groups", False)))
    except (KeyError, ValueError, TypeError, AttributeError) as fault:
        raise Senseless(f"settings cannot be read: {fault!r}") from fault
    spans = [begin.tick, begin.legs.longest_advice, begin.cold.warm_after, begin.cold.window,
             begin.listing.ask_every, begin.listing.drain_grace]
    spans += [s for t in types for s in (t.setup_target, t.guard_time, t.remembered_for, t.message_target)]
    if not types:
        raise Senseless("settings name no traffic types")
    if min(spans) < 0:
        raise Senseless("settings hold a negative time")
    if begin.nodes < 1 or begin.legs.most_legs < 0:
        raise Senseless("settings hold a count that cannot be")
    return begin


def write(a):
    """One action as a line."""
    match a:
        case i.Send():
            return f"route\tCall={a.call}\tUntil={millis(a.until)}\tHost={a.host}"
        case i.Reject():
            advice = f"\tComeBack={millis(a.come_back)}" if a.come_back else ""
            return f"bounce\tCall={a.call}{advice}"
        case i.Release():
            return f"end_failed\tCall={a.call}"
        case i.Cancel():
            return f"undo_send\tCall={a.call}\tTrial={a.leg}"
        case i.Move():
            return f"move\tCall={a.call}"
        case i.Timer():
            return f"set_timer\tFromNow={millis(a.after)}\tCookie={a.token}"
        case i.Probe():
            return f"sample\tHost={a.host}"
        case i.Follow():
            return "listen\tWant=1"
        case i.Tell():
            return f"publish\tDest={a.peer}\tBytes={base64.b64encode(a.data).decode() or '-'}"
        case i.Log():
            return "note_down\tMessage=" + " ".join(a.text.split())
    raise TypeError(f"no line for {a!r}")
