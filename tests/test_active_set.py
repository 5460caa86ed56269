"""The reducer's timers look only at what is under way: whatever begins is looked at, also after a rest."""

from cottonspread.lab.scale.reducer_node import ReducerNode
from cottonspread.net import events as ev
from cottonspread.net.reducer import SECOND

REST = SECOND  # by then a timer has found that nothing is under way


def one_connection():
    """(node, its client's end, its host's end) of a connection that has rested."""
    node = ReducerNode(1, 1, 1)
    client, host = next(iter(node.hosts.items()))
    pass_time(node, REST)
    return node, client, host


def pass_time(node, span):
    """Runs all timers of that span; returns what the reducer asked for."""
    until, out = node.now + span, []
    while node.reducer.due() <= until:
        node.now = max(node.now, node.reducer.due())
        out += node.step(ev.Tick())
    node.now = until
    return out


def cuts(out, end):
    """How often the end was cut."""
    return sum(isinstance(one, ev.Shutdown) and one.end is end for one in out)


def test_a_host_that_does_not_take_the_first_line_is_given_up_though_its_connection_came_up_late():
    node = ReducerNode(0, 1, 1)
    client = ev.ConnectionEnd(True, worker="a thread")
    node.step(ev.ClientAccepted(client))
    out = node.step(ev.LinesRead(client, b"OPEN a k c=listen,at=server-0\n"))
    host = next(one.end for one in out if isinstance(one, ev.Connect))
    host.worker = "a thread"
    pass_time(node, REST)
    node.step(ev.ConnectDone(host, True))
    said = [one for one in pass_time(node, 4 * SECOND) if isinstance(one, ev.Log)]
    assert [one.pairs for one in said if one.event == "stuck"] == [{"client": False}]


def test_a_client_that_does_not_go_is_cut_off():
    node, client, host = one_connection()
    node.step(ev.LinesRead(host, b"BYE\r\n"))
    node.step(ev.WriteDone(client, True, node.now))
    pass_time(node, REST)
    out = node.step(ev.ReadEnded(host, "end"))
    assert [one for one in out if isinstance(one, ev.ShutdownWrite) and one.end is client]
    assert cuts(pass_time(node, 2 * SECOND), client) >= 1


def test_an_end_that_was_cut_and_is_not_given_back_is_cut_again():
    """The first host says nothing, its connection's end does not come, and the client waits for the next."""
    node = ReducerNode(0, 3, 1)
    client = ev.ConnectionEnd(True, worker="a thread")
    node.step(ev.ClientAccepted(client))
    out = node.step(ev.LinesRead(client, b"OPEN a k c=listen,d=30000\n"))
    host = next(one.end for one in out if isinstance(one, ev.Connect))
    host.worker = "a thread"
    node.step(ev.ConnectDone(host, True))
    node.step(ev.WriteDone(host, True, node.now))
    assert cuts(pass_time(node, SECOND + SECOND // 10), host) == 1
    assert cuts(pass_time(node, 2 * SECOND), host) >= 1


def test_a_load_that_was_held_is_told_a_second_later():
    node, client, host = one_connection()
    node.step(ev.LinesRead(host, b"LOAD 1\r\n"))
    node.step(ev.WriteDone(client, True, node.now))
    heard = client.conn.legs[-1].signals
    assert heard.load != 1
    pass_time(node, 3 * SECOND // 2)
    assert heard.load == 1


def test_what_a_connection_that_left_had_heard_is_settled_once_another_stands_there():
    node, client, host = one_connection()
    notes = client.conn.legs[-1].host.message_delays
    node.step(ev.LinesRead(host, b"LOAD 1\r\n"))
    node.step(ev.WriteDone(client, True, node.now))
    node.step(ev.ReadEnded(client, "end"))
    node.step(ev.ReadEnded(host, "end"))
    pass_time(node, 4 * SECOND)
    assert notes.candidates  # nobody stands there: nothing is made of it
    node.adopt(1, "group-0")
    pass_time(node, SECOND)
    assert not notes.candidates


def test_a_silent_host_is_left_by_a_connection_that_was_handed_over_with_a_line_out():
    node = ReducerNode(0, 1, 1)
    node.adopt(0, "group-0", waiting=(node.now,))
    (client,) = node.hosts
    out = pass_time(node, 6 * SECOND)
    assert [one for one in out if isinstance(one, ev.Write) and one.end is client and one.data == b"MOVE\r\n"]


def test_what_is_over_is_not_looked_at_any_more():
    node, client, host = one_connection()
    node.line_and_echo(client)
    pass_time(node, REST)
    reducer = node.reducer
    before = reducer.active_conns.examined, reducer.active_hosts.examined
    pass_time(node, REST)
    assert (reducer.active_conns.examined, reducer.active_hosts.examined) == before
