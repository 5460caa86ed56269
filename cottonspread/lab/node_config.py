"""The configuration of a plan's nodes, the same on sockets (as a file) and in simulated time."""


def settings(plan, number):
    """Returns a node's settings, by the platform's keys, derived from the experiment's hosts and load."""
    experiment, t = plan.experiment, plan.experiment.hosts.traits
    effects = {"repeatable": "safe", "referenced": "keyed", "once-only": "unsafe"}
    out = {
        "Balancers": len(plan.nodes),
        "Me": number,
        "Zone": number % experiment.hosts.zones,
        "Zones": [f"z{n}" for n in range(experiment.hosts.zones)],
        "Kinds": ["lab"],
        "MembershipMode": "push",
        "Step": 2,
        "TrafficTypes": [
            {
                "Name": k.name,
                "Effect": effects[k.effect],
                "KeyScope": k.scope,
                "KeyTtl": k.remembered_ms,
                "SetupTarget": k.target_ms,
                "GuardTime": k.guard_ms,
                "Revenue": k.revenue,
            }
            for k in experiment.load.types
        ],
        "FamilyInfo": {
            "Groups": True,
            "TellsLoad": t.tells_load,
            "TellsDelay": True,
            "MessageAim": [k.message_ms for k in experiment.load.types],
        },
        "Limits": {
            "MostLegs": 5,
            "Cancel": True,
            "MayDuplicate": False,
            "RetryAfter": True,
            "MaxRetryAfter": 2000,
            "ConnectTimeout": 250,
        },
        "Rules": {
            "ColdFrom": t.cold_share,
            "RampTime": t.warm_s * 1000,
            "TipMultiple": t.tip_multiple,
            "OverloadFor": t.tip_s * 1000,
            "DrainGrace": experiment.nodes.grace_ms,
        },
    }
    shape = experiment.nodes.shapes[number % len(experiment.nodes.shapes)] if experiment.nodes.shapes else {}
    return merged(merged(merged(out, experiment.nodes.settings), shape), plan.variant.settings)


def merged(base, override):
    """Returns `base` with the values of `override`, merged recursively."""
    return {
        **base,
        **{
            k: merged(base[k], v) if isinstance(v, dict) and isinstance(base.get(k), dict) else v
            for k, v in override.items()
        },
    }


def build(plan, number, settings_version=0):
    """Returns a node's whole configuration.

    `settings_version`: how often the settings were changed; each change adds a traffic type and changes the
    limit on legs.
    """
    experiment, node = plan.experiment, plan.nodes[number]
    settings_values = settings(plan, number)
    first = settings_values["TrafficTypes"][0]
    settings_values["TrafficTypes"] += [first | {"Name": f"later-{n}"} for n in range(settings_version)]
    settings_values["Limits"]["MostLegs"] += settings_version % 2
    return {
        "name": node.name,
        "listen": f"{node.ip}:{node.port}",
        "discovery": f"{node.ip}:{node.list_port}",
        "seed": "%x" % (plan.seed * 1000 + number),
        "limits": {
            "memory_mb": plan.variant.memory_mb or experiment.nodes.memory_mb,
            "sockets": plan.variant.sockets or experiment.nodes.sockets,
        },
        "settings": settings_values,
        "load_lines": "loads",  # what the lab's hosts report by LOAD
    }
