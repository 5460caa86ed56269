"""The reducer's timers examine only items with pending work, and all of these, also after an idle time."""

from cottonspread.lab.scale.reducer_node import ReducerNode
from cottonspread.net import events as ev
from cottonspread.net.reducer import SECOND

IDLE_TIME = SECOND  # by then a timer has found that no work is pending


def idle_connection():
    """(node, its client's socket, its host's socket) of a connection that is idle."""
    node = ReducerNode(1, 1, 1)
    client, host = next(iter(node.hosts.items()))
    pass_time(node, IDLE_TIME)
    return node, client, host


def pass_time(node, span):
    """Runs all timers of that time span; returns the effects."""
    until, effects = node.now + span, []
    while node.reducer.due() <= until:
        node.now = max(node.now, node.reducer.due())
        effects += node.step(ev.Tick())
    node.now = until
    return effects


def shutdowns(effects, end):
    """How often the socket was shut down."""
    return sum(isinstance(one, ev.Shutdown) and one.end is end for one in effects)


def test_a_host_that_does_not_read_the_first_line_is_given_up_after_a_late_connect():
    node = ReducerNode(0, 1, 1)
    client = ev.ConnectionEnd(True, worker="a thread")
    node.step(ev.ClientAccepted(client))
    effects = node.step(ev.LinesRead(client, b"OPEN a k c=listen,at=server-0\n"))
    host = next(one.end for one in effects if isinstance(one, ev.Connect))
    host.worker = "a thread"
    pass_time(node, IDLE_TIME)
    node.step(ev.ConnectDone(host, True))
    logged = [one for one in pass_time(node, 4 * SECOND) if isinstance(one, ev.Log)]
    assert [one.pairs for one in logged if one.event == "stuck"] == [{"client": False}]


def test_a_client_that_does_not_close_its_half_is_cut_off():
    node, client, host = idle_connection()
    node.step(ev.LinesRead(host, b"BYE\r\n"))
    node.step(ev.WriteDone(client, True, node.now))
    pass_time(node, IDLE_TIME)
    effects = node.step(ev.ReadEnded(host, "end"))
    assert [one for one in effects if isinstance(one, ev.ShutdownWrite) and one.end is client]
    assert shutdowns(pass_time(node, 2 * SECOND), client) >= 1


def test_the_shutdown_of_a_socket_that_does_not_end_is_repeated():
    """The first host neither answers nor closes its connection, and the client waits for the next host."""
    node = ReducerNode(0, 3, 1)
    client = ev.ConnectionEnd(True, worker="a thread")
    node.step(ev.ClientAccepted(client))
    effects = node.step(ev.LinesRead(client, b"OPEN a k c=listen,d=30000\n"))
    host = next(one.end for one in effects if isinstance(one, ev.Connect))
    host.worker = "a thread"
    node.step(ev.ConnectDone(host, True))
    node.step(ev.WriteDone(host, True, node.now))
    assert shutdowns(pass_time(node, SECOND + SECOND // 10), host) == 1
    assert shutdowns(pass_time(node, 2 * SECOND), host) >= 1


def test_a_withheld_load_is_reported_a_second_later():
    node, client, host = idle_connection()
    node.step(ev.LinesRead(host, b"LOAD 1\r\n"))
    node.step(ev.WriteDone(client, True, node.now))
    signals = client.conn.legs[-1].signals
    assert signals.load != 1
    pass_time(node, 3 * SECOND // 2)
    assert signals.load == 1


def test_the_load_line_of_a_closed_connection_is_decided_once_the_host_has_another():
    node, client, host = idle_connection()
    delays = client.conn.legs[-1].host.message_delays
    node.step(ev.LinesRead(host, b"LOAD 1\r\n"))
    node.step(ev.WriteDone(client, True, node.now))
    node.step(ev.ReadEnded(client, "end"))
    node.step(ev.ReadEnded(host, "end"))
    pass_time(node, 4 * SECOND)
    assert delays.candidates  # the host has no connections: it is not examined
    node.adopt(1, "group-0")
    pass_time(node, SECOND)
    assert not delays.candidates


def test_a_transferred_connection_waiting_for_an_echo_leaves_a_silent_host():
    node = ReducerNode(0, 1, 1)
    node.adopt(0, "group-0", waiting=(node.now,))
    (client,) = node.hosts
    effects = pass_time(node, 6 * SECOND)
    assert [
        one for one in effects if isinstance(one, ev.Write) and one.end is client and one.data == b"MOVE\r\n"
    ]


def test_items_without_pending_work_are_not_examined_again():
    node, client, host = idle_connection()
    node.line_and_echo(client)
    pass_time(node, IDLE_TIME)
    reducer = node.reducer
    before = reducer.active_conns.examined, reducer.active_hosts.examined
    pass_time(node, IDLE_TIME)
    assert (reducer.active_conns.examined, reducer.active_hosts.examined) == before
