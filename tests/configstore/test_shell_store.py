"""All I/O shells together: three replicas, two nodes and further followers, with publishes and failures."""

import json

import pytest
import shells

from cottonspread import cli, config


@pytest.fixture
def store(tmp_path):
    made = shells.Store(tmp_path)
    yield made
    made.end()


def test_a_good_one_comes_into_force_and_a_faulty_one_stops_at_its_canaries(store, capsys):
    discovery = shells.start_toy()
    nodes = [shells.ServeNode(store, f"n{n}", discovery) for n in range(2)]
    followers = [store.follower(f"bare-{n}") for n in range(4)]
    store.until_watching(6)
    good = shells.configuration(TrafficTypes=shells.types("chat", "other")) | {"discovery": discovery}

    code, output = store.publish(capsys, good)
    assert code == 0, output
    assert "canaries: version 1 canary: 2 nodes" in output and "in force at 6 nodes" in output
    assert all(node.knows("other") for node in nodes)
    assert [client.view().version for client in followers] == [1] * 4
    assert nodes[0].log().count("event=listening") == 1, "no process was restarted"

    # It is valid by itself, but lacks a key that the configuration in force has, which only nodes can detect.
    faulty = json.loads(json.dumps(good))
    del faulty["settings"]["Rules"]
    refusing = [store.follower(f"strict-{n}", check=refuse) for n in range(30)]
    store.until_watching(36)
    code, output = store.publish(capsys, faulty)
    assert code == 1 and "withdrawn: version 3" in output, output
    assert "missing" in output or "refused by the test" in output
    status = store.status(capsys)
    assert (status["version"], status["stage"]) == (3, "everywhere")
    assert all(node.knows("other") for node in nodes)
    shells.until(lambda: {one.view().version for one in followers + refusing} == {3}, "all have version 3")


def refuse(record):
    if "Rules" not in json.loads(record.body)["settings"]:
        raise config.ConfigurationError("settings.Rules: missing, refused by the test")


def test_one_replica_lost_and_back_two_lost_and_a_node_started_without_any(store, capsys):
    discovery = shells.start_toy()
    node = shells.ServeNode(store, "n0", discovery)
    follower = store.follower("bare")
    store.until_watching(2)
    body = shells.configuration(TrafficTypes=shells.types("chat", "second")) | {"discovery": discovery}

    store.kill(0)
    code, output = store.publish(capsys, body)
    assert code == 0 and f"replica {store.names[0]}: does not answer" in output, output
    assert node.knows("second") and follower.view().version == 1
    store.start(0)
    shells.until(
        lambda: [one["version"] for one in store.status(capsys)["replicas"]] == [1, 1, 1], "it catches up"
    )

    store.kill(1)
    store.kill(2)
    code, output = store.publish(capsys, body)
    assert code == 3 and "no-quorum" in output, output
    assert node.knows("second") and follower.view().version == 1
    code, output = store.command(capsys, "status")
    assert code == 3 and "no majority of replicas is up" in output

    store.kill(0)
    node.process.kill()
    node.process.wait()
    node.start()
    assert node.knows("second"), "the saved configuration is in force from the start"
    for n in range(3):
        store.start(n)
    store.until_watching(2)
    code, output = store.publish(capsys, shells.configuration() | {"discovery": discovery})
    assert code == 0 and not node.knows("second") and node.knows("chat"), output


def test_a_replica_whose_file_is_damaged_does_not_start_and_the_others_go_on(store, capsys):
    store.follower("bare")
    store.until_watching(1)
    assert store.publish(capsys, shells.configuration())[0] == 0
    shells.until(lambda: all(r["version"] == 1 for r in store.status(capsys)["replicas"]), "all have it")
    store.kill(2)
    file = store.folder / "r2" / "replica.json"
    damaged = file.read_bytes().replace(b'"version":1', b'"version":2')
    file.write_bytes(damaged)
    store.start(2)
    assert store.replicas[2].wait(shells.WAIT) == 2
    log = (store.folder / "r2.log").read_text()
    assert "replica.json: damaged: the checksum does not match" in log and "Traceback" not in log
    assert file.read_bytes() == damaged, "the file is left for an operator to inspect"
    code, output = store.publish(capsys, shells.configuration(Step=2))
    assert code == 0 and "version 2" in output


def test_a_run_of_a_dead_publisher_is_resumed(store, capsys):
    held = []
    followers = [store.follower(f"bare-{n}", apply=lambda record, done: held.append(done)) for n in range(2)]
    store.until_watching(2)
    file = store.folder / "next.json"
    file.write_text(json.dumps(shells.configuration()))
    words = "configuration", "publish", "--replicas", store.addresses, str(file)
    publisher = store.process("publisher.log", *words)
    shells.until(lambda: len(held) == 2, "both canaries are applying")
    publisher.kill()
    publisher.wait()
    code, output = store.publish(capsys, shells.configuration())
    assert code == 1 and "under-way: version 1" in output, output
    status = store.status(capsys)
    assert (status["version"], status["stage"], len(status["behind"])) == (1, "canary", 2)
    for done in held:
        done(True)
    code, output = store.command(capsys, "publish", "--resume")
    assert code == 0 and "in-force: version 1" in output, output
    assert [client.view().version for client in followers] == [1, 1]


def test_a_damaged_saved_configuration_is_reported_and_the_file_is_used(store, capsys):
    node = shells.ServeNode(store, "n0", shells.start_toy())
    node.process.kill()
    node.process.wait()
    kept = store.folder / "kept-n0" / "n0.configuration.json"
    kept.parent.mkdir(exist_ok=True)
    kept.write_text("0" * 64 + "\n{}\n")
    node.start()
    assert "event=saved-configuration" in node.log() and "checksum does not match" in node.log()
    assert node.knows("chat") and not node.knows("other")


def test_commands_say_what_is_wrong_with_their_arguments(store, capsys, tmp_path):
    assert store.command(capsys, "publish", str(tmp_path / "none.json"))[0] == 2
    (tmp_path / "bad.json").write_text("{}")
    code, output = store.command(capsys, "publish", str(tmp_path / "bad.json"))
    assert code == 2 and "name: missing" in output
    long = shells.configuration() | {"more": "x" * 300_000}
    code, output = store.publish(capsys, long)
    assert code == 2 and "characters" in output
    assert cli.main(["configuration", "status", "--replicas", "a"]) == 2
    assert "expected HOST:PORT" in capsys.readouterr().err
    code, output = store.publish(capsys, shells.configuration())
    assert code == 1 and "no-canaries" in output
