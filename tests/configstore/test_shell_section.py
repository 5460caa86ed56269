"""The section [configuration], and what of a carried configuration stays a machine's own."""

import json

import pytest
import shells

from cottonspread import cli, config
from cottonspread.cli import node as serving
from cottonspread.config import operator as op
from cottonspread.net import events as ev

GOOD = '[configuration]\nreplicas = ["a:1", "10.0.0.2:9200", "c-3.x:9"]\n'


@pytest.mark.parametrize(
    "text, key",
    [
        ("[configuration]\n", "configuration.replicas: missing"),
        ("[configuration]\nreplicas = []\n", "configuration.replicas"),
        ('[configuration]\nreplicas = ["a"]\n', "configuration.replicas"),
        ('[configuration]\nreplicas = ["a:0"]\n', "configuration.replicas"),
        (GOOD + 'node = "a b"\n', "configuration.node"),
        (GOOD + 'state = ""\n', "configuration.state"),
        (GOOD + "own = [1]\n", "configuration.own"),
        (GOOD + 'replica = "x"\n', "did you mean replicas?"),
    ],
)
def test_a_faulty_section_is_named(text, key):
    with pytest.raises(op.OperatorFileError) as told:
        op.read_text(text)
    assert key in str(told.value)


def test_the_section_is_off_unless_it_is_there_and_is_shown_where_it_is(tmp_path, capsys):
    assert op.read_text("[log]\n")[3] is None
    assert op.read_text(GOOD)[3].replicas == ("a:1", "10.0.0.2:9200", "c-3.x:9")
    (tmp_path / "o.toml").write_text(GOOD)
    assert cli.main(["config", "show", "--operator", str(tmp_path / "o.toml")]) == 0
    shown = {line.split()[0]: line.split()[-1] for line in capsys.readouterr().out.splitlines()}
    keys = "replicas", "state", "node", "own"
    assert {key: shown[f"configuration.{key}"] for key in keys} == dict.fromkeys(keys, "new")


def test_own_keys_stay_and_all_others_are_carried():
    own = {"name": "n1", "settings": {"Me": 4, "Zone": 2, "Step": 1}, "discovery": "a:1"}
    carried = {"name": "x", "seed": "1", "settings": {"Me": 0, "Step": 5}, "discovery": "b:2", "more": [1]}
    before = repr((own, carried))
    taken = config.with_local_keys(carried, own, ("name", "seed", "settings.Me", "settings.Zone"))
    assert taken == {
        "name": "n1",
        "settings": {"Me": 4, "Zone": 2, "Step": 5},
        "discovery": "b:2",
        "more": [1],
    }
    assert repr((own, carried)) == before, "neither is changed"


@pytest.mark.parametrize("carried", [[], "x", None, {"settings": 3}, {}])
def test_what_is_carried_and_no_configuration_is_told(carried):
    with pytest.raises(config.ConfigurationError):
        config.with_local_keys(carried, {"name": "n1"}, ("name", "settings.Me"))


class Node:
    """What `apply_published` needs of one."""

    def __init__(self):
        self.reloads, self.urgent_events = [], []

    def reload(self, *parts):
        self.reloads.append(parts[4].types[0].name)

    def post_urgent(self, event):
        self.urgent_events.append(type(event))


def test_a_node_that_cannot_take_a_change_over_says_why_and_keeps_what_it_has(tmp_path):
    file = tmp_path / "node.json"
    file.write_text(json.dumps(shells.configuration()))
    active, node = serving.ActiveConfiguration(str(file), op.Configuration(replicas=("a:1",)).own), Node()
    good = json.dumps(shells.configuration(TrafficTypes=shells.types("second")) | {"name": "other"})
    assert serving.apply_published(node, active, good) == (True, "") and node.reloads == ["second"]
    assert active.values["name"] == "n1" and active.parts[0].name == "n1"

    for faulty, said in (("{", "invalid JSON"), ("[]", "not an object"), ('{"settings": {}}', "missing")):
        ok, why = serving.apply_published(node, active, faulty)
        assert not ok and said in why
    assert node.reloads == ["second"] and node.urgent_events == [ev.ReloadRejected] * 3
    assert serving.reload(node, active) == "" and node.reloads == ["second"] * 2, (
        "SIGHUP keeps what is carried"
    )


def test_what_was_in_force_before_a_start_is_so_from_its_first_moment(tmp_path):
    file = tmp_path / "node.json"
    file.write_text(json.dumps(shells.configuration()))
    active = serving.ActiveConfiguration(str(file), ("name",))
    with pytest.raises(config.ConfigurationError):
        active.start_with("{")
    assert active.published is None
    active.start_with(json.dumps(shells.configuration(TrafficTypes=shells.types("second"))))
    assert active.parts[4].types[0].name == "second"
