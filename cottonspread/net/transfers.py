"""Passes established connections on to the process that replaces this one, and takes over those passed to it.

A part of the reducer and without side effects like it: effects are added to the reducer's. The messages and
the sockets themselves are carried by `connection_transfer`.
"""

from collections import deque

from cottonspread import interface as io
from cottonspread.front import handover
from cottonspread.interface import Ending
from cottonspread.net import events as ev
from cottonspread.net import lines
from cottonspread.net.connections import Conn, Leg
from cottonspread.net.message_delays import ConnectionSignals


class ConnectionTransfers:
    """Decides which connection the successor is offered next, and adopts those of the predecessor."""

    def __init__(self, reducer):
        """`reducer`: the reducer that this is a part of."""
        self.reducer = reducer
        self.enabled = False  # whether a successor takes over connections
        self.offered = None  # the connection that the successor is being offered now
        # connections still to be offered, and those that were busy when it was their turn
        self.queue, self.retries = deque(), []

    def begin(self):
        """Offers all established connections to the successor."""
        self.enabled = True
        self.queue.extend(conn for conn in self.reducer.conns if conn.up and not conn.reason)
        self.offer_next()

    def on_established(self, conn):
        """Has a connection offered that is established after the beginning."""
        if self.enabled:
            self.retries.append(conn)

    def retry(self):
        """Offers the connections again that were busy."""
        self.queue.extend(self.retries)
        self.retries.clear()
        self.offer_next()

    def offer_next(self):
        """Offers the next idle connection to the successor, one at a time.

        A connection is idle between two lines, with nothing pending on either side.
        """
        while self.queue and self.offered is None:
            conn = self.queue.popleft()
            leg, ends = conn.legs[-1], (conn.client, conn.legs[-1].end)
            if conn.reason or conn.move_reason:
                continue
            if leg.announced_ending or any(end.writing_since or not end.read_pending for end in ends):
                self.retries.append(conn)
                continue
            self.offered = conn
            self.reducer.effects.append(ev.Transfer(conn, *ends, open_connection(conn, leg)))

    def offer_done(self, e):
        """Releases a connection that the successor has accepted, and offers the next one."""
        conn, self.offered = e.conn, None
        if e.accepted:
            self.release(conn)
        elif conn.move_reason:  # it was asked to move meanwhile
            self.reducer.move_when_written(conn)
        elif e.retry:
            self.retries.append(conn)
        self.offer_next()

    def release(self, conn):
        """Ends a connection here that the successor has accepted: its sockets are only closed."""
        leg, reducer = conn.legs[-1], self.reducer
        conn.answered, conn.reason, leg.ended = True, "handed-over", True
        reducer.detach_from_host(leg)
        reducer.queue_event(io.LegEnded(conn, leg.number, Ending.OK, True))
        reducer.max_sockets -= 2  # its two sockets count for the successor now
        for end in (leg.end, conn.client):
            end.read_pending, end.input_ended = False, True
            reducer.free(end)

    def adopt(self, e):
        """Takes over an established connection from the previous process, unless it cannot be served here.

        It continues as if it had been opened here, with the traffic type of the same name. It is not counted
        again.
        """
        offered, reducer = e.connection, self.reducer
        type_number = reducer.names.types.get(offered.type)
        accepted = (
            type_number is not None
            and offered.id not in reducer.call_ids.open
            and not reducer.drain_controller.stopping
        )
        if accepted:
            self.add(e, type_number)
        else:
            for end in (e.client, e.host):
                end.freed = True
                reducer.effects.append(ev.Free(end))
        e.reply(accepted)

    def add(self, e, type_number):
        """Adds a connection of the previous process, with its call, to those of this one."""
        offered, reducer = e.connection, self.reducer
        conn = self.connection_of(e, type_number)
        leg = conn.legs[-1]
        reducer.conns[conn] = None
        reducer.leg_established(leg)
        if offered.waiting:
            reducer.echoes.expect(leg)
        reducer.call_ids.begin(offered.id, conn)
        reducer.open_sockets += 2
        reducer.queue_event(
            io.CallArrived(
                conn,
                type_number,
                0,
                offered.key,
                offered.group,
                offered.tenant,
                offered.load,
                held_by=offered.host,
            )
        )
        if offered.load:
            reducer.echoes.report_load(leg, offered.load)
        for end in (e.client, e.host):
            reducer.read(end)
        reducer.effects.append(
            ev.Log("adopted", {"call": offered.id, "type": offered.type, "host": offered.host})
        )

    def connection_of(self, e, type_number):
        """The connection that is offered, established, with its one leg."""
        offered, reducer = e.connection, self.reducer
        request = lines.OpenRequest(
            b"",
            offered.id,
            type_number,
            0,
            offered.key,
            offered.group,
            offered.tenant,
            offered.load,
            held_by=offered.host,
        )
        conn = Conn(
            e.client,
            offered.began,
            request,
            reducer.config.types[type_number],
            up=True,
            setup_time=offered.setup,
            counted=True,
            order=reducer.next_order(),
        )
        leg = Leg(
            conn,
            0,
            reducer.get_or_add_host(offered.host),
            0,
            end=e.host,
            write_issued=True,
            written=True,
            up=True,
            signals=ConnectionSignals(load=offered.load),
        )
        leg.signals.awaiting_echo.extend(offered.waiting)
        conn.legs.append(leg)
        e.client.conn = e.host.conn = conn
        e.host.leg, e.host.connected = leg, True
        return conn


def open_connection(conn, leg):
    """What the successor is told of a connection."""
    request = conn.request
    return handover.OpenConnection(
        request.id,
        conn.type.name,
        leg.host.name,
        conn.accepted_at,
        conn.setup_time,
        request.key,
        request.group,
        request.tenant,
        leg.signals.load,
        tuple(leg.signals.awaiting_echo),
    )
