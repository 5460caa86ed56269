"""Injects the faults of a plan into a simulated fleet, each from its start and for its duration.

`span` is a duration in microseconds.
"""

from cottonspread.lab import node_config
from cottonspread.lab.plan import HOST_FAULTS, INSTANT_FAULTS
from cottonspread.lab.sim.world import SECOND

STOP_TIMEOUT = 3_700_000  # from SIGTERM to SIGKILL: the longest guard time, 3 s at most, and 0.7 s


def inject(fleet, fault):
    """Starts a fault."""
    span = round(fault.seconds * SECOND)
    fleet.world.add_trace_line("trouble", fault.kind, *fault.on)
    fleet.invariants.on_fault(fault)
    if fault.kind in HOST_FAULTS:
        for name in fault.on:
            inject_host_fault(fleet, fleet.hosts[name], fault, span)
    elif fault.kind in NODE_ACTIONS:
        for name in fault.on:
            NODE_ACTIONS[fault.kind](fleet, fleet.by_name[name], fault, span)
    else:
        OTHER_ACTIONS[fault.kind](fleet, fault, span)


def inject_host_fault(fleet, host, fault, span):
    """Starts a fault of one host and schedules its end."""
    if fault.kind == "join":  # the host has been down until now
        host.end_fault(fault)
        return
    host.start_fault(fault)
    if fault.kind not in INSTANT_FAULTS and fault.kind != "hang" and span:  # a hang ends by itself
        fleet.world.after(span, host.end_fault, fault)


# Nodes


def for_running_process(action):
    """Returns an action on a node that does nothing if the node has no process."""

    def run(fleet, node, fault, span):
        if node.process is not None:
            action(fleet, node, node.process, fault, span)

    return run


def freeze(fleet, node, process, fault, span):
    """Stops the process for `span`, as SIGSTOP does."""
    fleet.record_node_event("freeze", node)
    process.freeze(span)
    fleet.world.after(span, fleet.record_node_event, "thaw", node)
    fleet.invariants.on_pause(node, fleet.world.now, fleet.world.now + span)


def kill(fleet, node, process, fault, span):
    """Kills all processes of the node, and starts it again after `span` if that is not 0."""
    node.should_run = False
    for each in list(node.processes):
        each.kill()
    fleet.schedule_removal(node, round(fleet.plan.experiment.nodes.front_notice_s * SECOND))
    if span:
        fleet.world.after(span, restart, fleet, node)


def stop(fleet, node, process, fault, span):
    """Sends SIGTERM to the node's processes, and starts it again after `span` if that is not 0."""
    node.should_run = False
    fleet.record_node_event("stopping", node)
    for each in list(node.processes):
        each.stop()
        fleet.world.after(STOP_TIMEOUT, kill_if_running, fleet, each)
    fleet.schedule_removal(node, 300_000)
    if span:
        fleet.world.after(span, restart, fleet, node)


def kill_if_running(fleet, process):
    """Sends SIGKILL to a process that has not ended in time after SIGTERM."""
    if not process.dead:
        fleet.invariants.on_forced_kill(process)
        process.kill()


def restart(fleet, node):
    """Starts a stopped node once its old processes have ended."""
    if node.should_run or fleet.stopping:  # another fault's end has restarted it already
        return
    if node.processes:
        fleet.world.after(50_000, restart, fleet, node)
    else:
        node.should_run = True
        node.start()
        fleet.world.after(50_000, fleet.start_health_checks, node)


def reload(fleet, node, process, fault, span):
    """Sends SIGHUP, with an incomplete file if `factor` is under 1, which is half of the drawn faults."""
    values = dict(process.values)
    if fault.factor < 1:
        values.pop("settings")
    process.reload(values)


def retune(fleet, node, process, fault, span):
    """Sends SIGHUP with a new version of the settings."""
    node.settings_version += 1
    process.reload(node_config.build(fleet.plan, node.number, node.settings_version))


def quiesce(fleet, node, process, fault, span):
    """Drains the process by an operator's command, and resumes it after `span`."""
    fleet.record_node_event("quiesce", node)
    process.drain(True)
    fleet.schedule_removal(node, 300_000)
    fleet.invariants.on_drain(process)
    fleet.world.after(span, resume, fleet, node)


def resume(fleet, node):
    """Resumes the node's current process; a process that replaces a drained one is drained too."""
    process = node.process
    if process is not None:
        fleet.record_node_event("resume", node)
        fleet.invariants.on_resume(process)
        process.drain(False)
        fleet.world.after(50_000, fleet.start_health_checks, node)


def replace(fleet, node, process, fault, span):
    """Starts a second process that takes over from the first."""
    if len(node.processes) == 1 and not process.reducer.stopping:
        fleet.record_node_event("replacing", node)
        fleet.world.after(20_000, stop_replaced, fleet, process, node.start(), 0)


def stop_replaced(fleet, old, new, tries):
    """Sends SIGTERM to the old process once the new one serves."""
    if new.accepting and new.reducer.has_hosts and not old.dead:
        old.stop()
        fleet.world.after(STOP_TIMEOUT, kill_if_running, fleet, old)
    elif tries < 300 and not new.dead and not old.dead:
        fleet.world.after(20_000, stop_replaced, fleet, old, new, tries + 1)


def late_writes(fleet, node, process, fault, span):
    """For `span`, the kernel takes half of some writes at once and the rest later.

    The rest follows within `factor` tenths of a second.
    """
    process.late_writes = 0.3, round(fault.factor * SECOND / 10)
    fleet.world.after(span, setattr, process, "late_writes", None)


NODE_ACTIONS = {
    name: for_running_process(action)
    for name, action in (
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


# Network


def partition(fleet, fault, span):
    """Separates the named hosts, nodes or zones from the rest for `span`; what is sent is held back."""
    names, network = frozenset(fault.on), fleet.world.network
    network.partition(names)
    fleet.world.after(span, network.heal, names)


def add_network_delay(fleet, fault, span):
    """Adds `factor` times 10 ms to each direction for `span`."""
    slowdown, network = (frozenset(fault.on), round(fault.factor * 10_000)), fleet.world.network
    network.slowdowns.append(slowdown)
    fleet.world.after(span, network.slowdowns.remove, slowdown)


def affected_links(fleet, fault, salt):
    """Returns a share (`factor` tenths) of the connections between nodes and what the fault names."""
    links = fleet.world.network.links_touching(frozenset(fault.on))
    return (
        fleet.world.random_stream(salt, fault.at).sample(links, min(1.0, fault.factor / 10)) if links else []
    )


def stall(fleet, fault, span):
    """Delivers nothing on the affected connections for `span`."""
    fleet.world.network.stall(affected_links(fleet, fault, "stall"), span)


def reset_connections(fleet, fault, span):
    """Breaks the affected connections."""
    links = affected_links(fleet, fault, "snap")
    fleet.invariants.on_links_reset(links)
    fleet.world.network.reset_links(links)


def blackhole_links(fleet, fault, span):
    """From now on the affected connections deliver nothing, and neither side is notified."""
    for link in affected_links(fleet, fault, "dead"):
        link.dead = True
        fleet.invariants.on_link_dead(link)


# Host list


def agents(fleet, fault):
    """Returns the agents of the nodes that the fault names, or all."""
    return list(dict.fromkeys(node.agent for node in fleet.nodes if not fault.on or node.name in fault.on))


def list_cut(fleet, fault, span):
    """Silences the agents for `span`."""
    for agent in agents(fleet, fault):
        agent.go_silent(span)


def list_garbage(fleet, fault, span):
    """Makes the agents send garbage as their next five answers."""
    for agent in agents(fleet, fault):
        agent.garbage_left = 5
        agent.answer_waiting_calls()


def list_restart(fleet, fault, span):
    """Restarts the agents' lists."""
    for agent in agents(fleet, fault):
        agent.restart()


def list_late(fleet, fault, span):
    """Delays changes of the list by `factor` more seconds."""
    for agent in agents(fleet, fault):
        agent.extra_lag = round(fault.factor * SECOND)
        fleet.world.after(span, setattr, agent, "extra_lag", 0)


def contradict(fleet, fault, span):
    """Makes the agents report a healthy host as draining or gone, and as ready again after `span`."""
    up = [name for name, host in fleet.hosts.items() if host.model.state == "up" and not host.vanished]
    if not up:
        return
    random = fleet.world.random_stream("contradict", fault.at)
    name, state = random.choice(up), random.choice(("Terminating", "Gone"))
    for agent in agents(fleet, fault):
        agent.schedule_change(name, state, None, fleet.entry(fleet.hosts[name].machine))
        fleet.world.after(span, retract_change, fleet, agent, name)


def retract_change(fleet, agent, name):
    """Makes an agent report the host as ready again, if it is up."""
    host = fleet.hosts[name]
    if host.model.state == "up":
        agent.schedule_change(name, "Ready", None, fleet.entry(host.machine))


# Whole fleet


def store_slow(fleet, fault, span):
    """Makes what all set-ups need slower by `factor` tenths of a second."""
    for host in fleet.hosts.values():
        host.model.extra_setup_delay = round(fault.factor * SECOND / 10)
        fleet.world.after(span, setattr, host.model, "extra_setup_delay", 0)


def reconnect(fleet, fault, span):
    """Disconnects a share (`factor` tenths) of the clients, which reconnect within `span`."""
    fleet.clients.disconnect_share(min(1.0, fault.factor / 10), span or SECOND)


def slow_readers(fleet, fault, span):
    """Makes a share (`factor` tenths) of the clients read nothing for `span`."""
    fleet.clients.slow_readers(min(1.0, fault.factor / 10), span)


def send_all_to_one_node(fleet, fault, span):
    """Makes the front send all new clients to one node for `span`."""
    fleet.clients.sole_target = fleet.world.now + span, fleet.by_name[fault.on[0]]


def start_bad_clients(fleet, fault, span):
    """Starts misbehaving clients of the named kinds, 10 times `factor` a second."""
    fleet.clients.start_bad_clients(
        [name for name in fault.on if name not in fleet.by_name and name not in fleet.hosts],
        10 * fault.factor,
        span,
    )


OTHER_ACTIONS = {
    "partition": partition,
    "slow-way": add_network_delay,
    "stall": stall,
    "snap": reset_connections,
    "dead": blackhole_links,
    "list-cut": list_cut,
    "list-garbage": list_garbage,
    "list-restart": list_restart,
    "list-late": list_late,
    "contradict": contradict,
    "store-slow": store_slow,
    "reconnect": reconnect,
    "slow-readers": slow_readers,
    "crowding": send_all_to_one_node,
    "bad": start_bad_clients,
}
