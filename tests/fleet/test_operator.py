"""The operator's file: every error is reported with file, key and the expected value."""

import json

import pytest

from cottonspread import cli, config
from cottonspread.config import operator as op
from cottonspread.fleet import plan as plans

GOOD = '[fleet]\nname = "f"\nconfig = "node.json"\ninstances = 3\nlisten = "127.0.0.1:9000"\n'
NODE = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:8500",
    "seed": "10",
    "settings": {"Balancers": 1, "TrafficTypes": [{"Name": "chat", "SetupTarget": 300, "GuardTime": 2000}]},
}


@pytest.mark.parametrize(
    "text, keys",
    [
        ("[fleet", ["invalid TOML"]),
        (GOOD + "[lgo]\n", ["lgo: unknown section; did you mean log?"]),
        (
            GOOD + "instnaces = 4\nat_once = 0\nstart_s = 'x'\n",
            [
                "fleet.at_once: 0: Expected `int` >= 1",
                "fleet.instnaces: unknown key; did you mean instances?",
                "fleet.start_s: 'x': Expected `float`, got `str`",
            ],
        ),
        (
            "[log]\nlevel = 'loud'\nformat = 3\n",
            ["log.format: 3: Expected `str`", "log.level: 'loud': Invalid enum value"],
        ),
        (
            "[fleet]\nname = '../x'\n",
            [
                "fleet.config: missing",
                "fleet.instances: missing",
                "fleet.listen: missing",
                "fleet.name: '../x'",
            ],
        ),
        (
            GOOD + "port_step = 0\n",
            ["fleet.port_step: with host_step 0 too, all instances would listen on one address"],
        ),
        (
            GOOD.replace("9000", "65534"),
            ["fleet.port_step: instance 2 would listen on port 65536; the last is 65535"],
        ),
        (GOOD + "nodes = 4\nfirst = 2\n", ["fleet.nodes: expected at least first + instances, 5, or 0"]),
        ("log = 3\n", ["log: expected a section, [log]"]),
    ],
)
def test_every_error_of_the_file_is_reported_at_once_with_file_and_key(tmp_path, text, keys, capsys):
    file = tmp_path / "o.toml"
    file.write_text(text)
    with pytest.raises(op.OperatorFileError) as error:
        op.read(str(file))
    assert len(error.value.errors) == len(keys)
    for line, key in zip(error.value.errors, keys, strict=True):
        assert line.startswith(f"{file}: {key}"), line
    assert cli.main(["check", "--operator", str(file)]) == 2
    printed = capsys.readouterr().err.splitlines()
    assert len(printed) == len(keys) and all(line.startswith(f"cottonspread: {file}: ") for line in printed)


def fleet(tmp_path, text=GOOD, node=NODE):
    (tmp_path / "node.json").write_text(node if isinstance(node, str) else json.dumps(node))
    (tmp_path / "o.toml").write_text(text)
    return str(tmp_path / "o.toml")


def test_instances_are_derived_from_one_template_without_collisions(tmp_path, capsys):
    plan = plans.read(
        fleet(tmp_path, GOOD + "port_step = 2\nfirst = 4\nnodes = 9\ndiscovery_step = 1\n"), ("py", "")
    )
    assert list(plan.specs) == ["f-0", "f-1", "f-2"]
    assert [s.address for s in plan.specs.values()] == [("127.0.0.1", p) for p in (9000, 9002, 9004)]
    own = [json.loads(s.start)["config"] | json.loads(s.live) for s in plan.specs.values()]
    assert [(c["settings"]["Me"], c["settings"]["Balancers"], c["seed"]) for c in own] == [
        (4, 9, "10"),
        (5, 9, "11"),
        (6, 9, "12"),
    ]
    assert [json.loads(s.live)["discovery"] for s in plan.specs.values()] == [
        "127.0.0.1:8500",
        "127.0.0.1:8501",
        "127.0.0.1:8502",
    ]
    assert cli.main(["check", "--operator", str(tmp_path / "o.toml")]) == 0
    assert "3 instances: f-0 on 127.0.0.1:9000, " in capsys.readouterr().out


def test_a_thousand_instances_are_planned_on_addresses_that_run_on_past_254(tmp_path, capsys):
    """The limit used to be 256 instances, and 254 with an address for each."""
    many = (
        GOOD.replace("= 3", "= 1024").replace("127.0.0.1:9000", "127.10.0.1:9000")
        + "port_step = 0\nhost_step = 1\nat_once = 1024\nstart_at_once = 1024\n"
    )
    plan = plans.read(fleet(tmp_path, many), ("py", ""))
    addresses = [s.address for s in plan.specs.values()]
    assert len(set(addresses)) == 1024 and {port for _, port in addresses} == {9000}
    assert [addresses[n][0] for n in (0, 253, 254, 1023)] == [
        "127.10.0.1",
        "127.10.0.254",
        "127.10.1.1",
        "127.10.4.8",
    ]
    assert cli.main(["check", "--operator", str(tmp_path / "o.toml")]) == 0
    assert "1024 instances: f-0 on 127.10.0.1:9000, " in capsys.readouterr().out


@pytest.mark.parametrize(
    "text, key",
    [
        (GOOD.replace("= 3", "= 4097"), "fleet.instances: 4097"),
        (
            GOOD.replace("127.0.0.1", "223.255.255.253") + "host_step = 1\n",
            "fleet.host_step: no host address 2 steps after 223.255.255.253",
        ),
        (
            GOOD.replace("127.0.0.1", "10.0.0.255") + "host_step = 1\n",
            "fleet.host_step: no host address 2 steps after 10.0.0.255",
        ),
    ],
)
def test_invalid_addresses_are_reported_with_their_key(tmp_path, text, key):
    with pytest.raises(op.OperatorFileError, match=key):
        plans.read(fleet(tmp_path, text), ("py", ""))


@pytest.mark.parametrize(
    "node, said",
    [
        ('{"settings": ', "invalid JSON"),
        ("[]", "settings: expected an object"),
        ({**NODE, "discovery": 3}, "discovery: expected HOST:PORT"),
        ({**NODE, "settings": {"TrafficTypes": []}}, "lists no traffic type (instance f-0)"),
        ({**NODE, "seed": "xyz"}, "xyz"),
    ],
)
def test_an_invalid_template_is_named(tmp_path, node, said):
    with pytest.raises(config.ConfigurationError) as error:
        plans.read(fleet(tmp_path, node=node), ("py", ""))
    assert "node.json: " in str(error.value) and said in str(error.value)


def with_settings(**more):
    return {**NODE, "settings": {**NODE["settings"], **more}}


def test_what_a_reload_does_with_each_key_is_known_and_shown(tmp_path, capsys):
    a = plans.read(fleet(tmp_path), ("py", "")).specs["f-0"]
    for text, node, start, live in (
        (GOOD, {**NODE, "discovery": "127.0.0.1:1"}, True, False),
        (GOOD + "at_once = 3\n", NODE, True, True),
        (GOOD + "[log]\nlevel = 'debug'\n", NODE, True, False),
        (GOOD + "[log]\nformat = 'json'\n", NODE, False, True),
        (GOOD, {**NODE, "limits": {"sockets": 100}}, False, True),
        (GOOD, {**NODE, "load_lines": "loads"}, True, False),
        (GOOD, with_settings(Limits={"MostLegs": 2}), True, False),
        (GOOD, with_settings(MembershipMode="ask"), False, False),
        (GOOD, with_settings(Weights="live"), False, False),
        (GOOD + "first = 3\n", NODE, False, False),
    ):
        b = plans.read(fleet(tmp_path, text, node), ("py", "")).specs["f-0"]
        assert (a.start == b.start, a.live == b.live) == (start, live), (text, node)
    assert cli.main(["config", "show", "--operator", fleet(tmp_path, GOOD + "at_once = 3\n")]) == 0
    rows = {line.split()[0]: line.split()[1:] for line in capsys.readouterr().out.splitlines()}
    assert rows["fleet.at_once"] == ["3", str(tmp_path / "o.toml"), "live"] and rows["log.level"] == [
        '"info"',
        "default",
        "live",
    ]
    assert rows["fleet.state"][-1] == "new" and {r[-1] for r in rows.values()} == {"live", "restart", "new"}
