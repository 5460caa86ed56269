"""What is done to a simulated fleet: each kind of trouble, from its moment on, for its time."""

from cottonspread.lab import tuning
from cottonspread.lab.plan import AT_ONCE, HOST_FAULTS
from cottonspread.lab.sim.world import SECOND

STOP_WAIT = 3_700_000  # from SIGTERM to SIGKILL: the longest guard time, 3 s at most, and 0.7 s


def inject(fleet, one):
    span = round(one.seconds * SECOND)
    fleet.world.add_trace_line("trouble", one.kind, *one.on)
    fleet.invariants.trouble(one)
    if one.kind in HOST_FAULTS:
        for name in one.on:
            on_host(fleet, fleet.hosts[name], one, span)
    elif one.kind in ON_NODES:
        for name in one.on:
            ON_NODES[one.kind](fleet, fleet.by_name[name], one, span)
    else:
        ELSEWHERE[one.kind](fleet, one, span)


def on_host(fleet, host, one, span):
    if one.kind == "join":
        host.mend(one)
        return
    host.fault(one)
    if one.kind not in AT_ONCE and one.kind != "hang" and span:
        fleet.world.after(span, host.mend, one)


# Nodes


def on_alive(what):
    """A trouble of a node's process; without one there is none."""

    def begun(fleet, node, one, span):
        if node.process is not None:
            what(fleet, node, node.process, one, span)

    return begun


def freeze(fleet, node, process, one, span):
    fleet.put_node("freeze", node)
    process.freeze(span)
    fleet.world.after(span, fleet.put_node, "thaw", node)
    fleet.invariants.stood_still(node, fleet.world.now, fleet.world.now + span)


def kill(fleet, node, process, one, span):
    node.wanted = False
    for each in list(node.processes):
        each.kill()
    fleet.front_notices(node, round(fleet.plan.experiment.nodes.front_notice_s * SECOND))
    if span:
        fleet.world.after(span, start_anew, fleet, node)


def stop(fleet, node, process, one, span):
    node.wanted = False
    fleet.put_node("stopping", node)
    for each in list(node.processes):
        each.stop()
        fleet.world.after(STOP_WAIT, at_last, fleet, each)
    fleet.front_notices(node, 300_000)
    if span:
        fleet.world.after(span, start_anew, fleet, node)


def at_last(fleet, process):
    """SIGKILL for what is still there: it had its time."""
    if not process.dead:
        fleet.invariants.overstayed(process)
        process.kill()


def start_anew(fleet, node):
    if node.wanted or fleet.over:  # another trouble has brought it back
        return
    if node.processes:
        fleet.world.after(50_000, start_anew, fleet, node)
    else:
        node.wanted = True
        node.start()
        fleet.world.after(50_000, fleet.take_in, node)


def reload(fleet, node, process, one, span):
    """SIGHUP: every second time with a file that is cut off."""
    values = dict(process.values)
    if one.factor < 1:
        values.pop("settings")
    process.retune(values)


def retune(fleet, node, process, one, span):
    node.retuned += 1
    process.retune(tuning.values(fleet.plan, node.number, node.retuned))


def quiesce(fleet, node, process, one, span):
    fleet.put_node("quiesce", node)
    process.drain(True)
    fleet.front_notices(node, 300_000)
    fleet.invariants.drained(process)
    fleet.world.after(span, resume, fleet, node)


def resume(fleet, node):
    """Of whatever process is there by then: one that replaces a drained one is drained too."""
    process = node.process
    if process is not None:
        fleet.put_node("resume", node)
        fleet.invariants.resumed(process)
        process.drain(False)
        fleet.world.after(50_000, fleet.take_in, node)


def replace(fleet, node, process, one, span):
    if len(node.processes) == 1 and not process.reducer.stopping:
        fleet.put_node("replacing", node)
        fleet.world.after(20_000, replaced, fleet, process, node.start(), 0)


def replaced(fleet, old, new, tries):
    """SIGTERM for the old process once the new one serves."""
    if new.takes and new.reducer.listed and not old.dead:
        old.stop()
        fleet.world.after(STOP_WAIT, at_last, fleet, old)
    elif tries < 300 and not new.dead and not old.dead:
        fleet.world.after(20_000, replaced, fleet, old, new, tries + 1)


def late_writes(fleet, node, process, one, span):
    """The kernel takes half of what is written, and the rest up to `factor` tenths of a second later."""
    process.late_writes = 0.3, round(one.factor * SECOND / 10)
    fleet.world.after(span, setattr, process, "late_writes", None)


ON_NODES = {
    name: on_alive(what)
    for name, what in (
        ("freeze", freeze),
        ("kill", kill),
        ("stop", stop),
        ("reload", reload),
        ("retune", retune),
        ("quiesce", quiesce),
        ("replace", replace),
        ("late-writes", late_writes),
    )
}


# The ways


def partition(fleet, one, span):
    """What is named (hosts, nodes, zones) and the rest do not reach each other; what was sent is held."""
    names, network = frozenset(one.on), fleet.world.network
    network.cut(names)
    fleet.world.after(span, network.heal, names)


def slow_way(fleet, one, span):
    """`factor` times 10 ms more each way."""
    extra, network = (frozenset(one.on), round(one.factor * 10_000)), fleet.world.network
    network.slower.append(extra)
    fleet.world.after(span, network.slower.remove, extra)


def struck(fleet, one, salt):
    """A share (`factor` tenths) of the connections between nodes and what is named."""
    links = fleet.world.network.between(frozenset(one.on))
    return fleet.world.random_stream(salt, one.at).sample(links, min(1.0, one.factor / 10)) if links else []


def stall(fleet, one, span):
    fleet.world.network.stall(struck(fleet, one, "stall"), span)


def snap(fleet, one, span):
    links = struck(fleet, one, "snap")
    fleet.invariants.snapped(links)
    fleet.world.network.snap(links)


def dead(fleet, one, span):
    """They bring nothing any more, and nobody is told."""
    for link in struck(fleet, one, "dead"):
        link.dead = True
        fleet.invariants.went_dead(link)


# The list


def agents(fleet, one):
    return list(dict.fromkeys(node.agent for node in fleet.nodes if not one.on or node.name in one.on))


def list_cut(fleet, one, span):
    for agent in agents(fleet, one):
        agent.cut(span)


def list_garbage(fleet, one, span):
    for agent in agents(fleet, one):
        agent.garbage = 5
        agent.answer_waiting_calls()


def list_restart(fleet, one, span):
    for agent in agents(fleet, one):
        agent.begin_anew()


def list_late(fleet, one, span):
    """Changes come so much later; `factor` seconds."""
    for agent in agents(fleet, one):
        agent.later = round(one.factor * SECOND)
        fleet.world.after(span, setattr, agent, "later", 0)


def contradict(fleet, one, span):
    """Agents of the nodes that are named tell a host that is well as draining or gone, and take it back."""
    up = [name for name, host in fleet.hosts.items() if host.model.state == "up" and not host.gone]
    if not up:
        return
    draws = fleet.world.random_stream("contradict", one.at)
    name, state = draws.choice(up), draws.choice(("Terminating", "Gone"))
    for agent in agents(fleet, one):
        agent.schedule_change(name, state, None, fleet.entry(fleet.hosts[name].machine))
        fleet.world.after(span, taken_back, fleet, agent, name)


def taken_back(fleet, agent, name):
    host = fleet.hosts[name]
    if host.model.state == "up":
        agent.schedule_change(name, "Ready", None, fleet.entry(host.machine))


# All together


def store_slow(fleet, one, span):
    """What all set-ups need takes `factor` tenths of a second more."""
    for host in fleet.hosts.values():
        host.model.store = round(one.factor * SECOND / 10)
        fleet.world.after(span, setattr, host.model, "store", 0)


def reconnect(fleet, one, span):
    fleet.clients.break_off(min(1.0, one.factor / 10), span or SECOND)


def slow_readers(fleet, one, span):
    fleet.clients.slow_readers(min(1.0, one.factor / 10), span)


def crowding(fleet, one, span):
    """The front deals everything to one node."""
    fleet.clients.crowding = fleet.world.now + span, fleet.by_name[one.on[0]]


def bad(fleet, one, span):
    fleet.clients.bad(
        [name for name in one.on if name not in fleet.by_name and name not in fleet.hosts],
        10 * one.factor,
        span,
    )


ELSEWHERE = {
    "partition": partition,
    "slow-way": slow_way,
    "stall": stall,
    "snap": snap,
    "dead": dead,
    "list-cut": list_cut,
    "list-garbage": list_garbage,
    "list-restart": list_restart,
    "list-late": list_late,
    "contradict": contradict,
    "store-slow": store_slow,
    "reconnect": reconnect,
    "slow-readers": slow_readers,
    "crowding": crowding,
    "bad": bad,
}
