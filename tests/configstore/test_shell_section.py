"""The section [configuration], and which keys of a published configuration stay local to a machine."""

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
    with pytest.raises(op.OperatorFileError) as error:
        op.read_text(text)
    assert key in str(error.value)


def test_the_section_is_off_unless_it_is_there_and_is_shown_where_it_is(tmp_path, capsys):
    assert op.read_text("[log]\n")[3] is None
    assert op.read_text(GOOD)[3].replicas == ("a:1", "10.0.0.2:9200", "c-3.x:9")
    (tmp_path / "o.toml").write_text(GOOD)
    assert cli.main(["config", "show", "--operator", str(tmp_path / "o.toml")]) == 0
    shown = {line.split()[0]: line.split()[-1] for line in capsys.readouterr().out.splitlines()}
    keys = "replicas", "state", "node", "own"
    assert {key: shown[f"configuration.{key}"] for key in keys} == dict.fromkeys(keys, "new")


def test_local_keys_stay_and_all_others_are_replaced():
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
def test_an_invalid_published_configuration_is_refused(carried):
    with pytest.raises(config.ConfigurationError):
        config.with_local_keys(carried, {"name": "n1"}, ("name", "settings.Me"))


class Node:
    """The part of a node that `apply_published` uses."""

    def __init__(self):
        self.reloads, self.urgent_events = [], []

    def reload(self, *parts):
        self.reloads.append(parts[4].types[0].name)

    def post_urgent(self, event):
        self.urgent_events.append(type(event))


def test_a_node_that_cannot_apply_a_change_reports_why_and_keeps_its_configuration(tmp_path):
    file = tmp_path / "node.json"
    file.write_text(json.dumps(shells.configuration()))
    active, node = serving.ActiveConfiguration(str(file), op.Configuration(replicas=("a:1",)).own), Node()
    good = json.dumps(shells.configuration(TrafficTypes=shells.types("second")) | {"name": "other"})
    assert serving.apply_published(node, active, good) == (True, "") and node.reloads == ["second"]
    assert active.values["name"] == "n1" and active.parts[0].name == "n1"

    for faulty, expected in (("{", "invalid JSON"), ("[]", "not an object"), ('{"settings": {}}', "missing")):
        ok, why = serving.apply_published(node, active, faulty)
        assert not ok and expected in why
    assert node.reloads == ["second"] and node.urgent_events == [ev.ReloadRejected] * 3
    assert serving.reload(node, active) == "" and node.reloads == ["second"] * 2, (
        "SIGHUP keeps the published configuration"
    )


def test_the_saved_configuration_is_in_force_from_the_start(tmp_path):
    file = tmp_path / "node.json"
    file.write_text(json.dumps(shells.configuration()))
    active = serving.ActiveConfiguration(str(file), ("name",))
    with pytest.raises(config.ConfigurationError):
        active.start_with("{")
    assert active.published is None
    active.start_with(json.dumps(shells.configuration(TrafficTypes=shells.types("second"))))
    assert active.parts[4].types[0].name == "second"
