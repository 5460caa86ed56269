"""Connections between simulated machines, as TCP presents them to programs.

Bytes stay in order within a connection; there is no order between two connections. Bytes count as in flight
until the peer reads them, so a side that does not read blocks the peer's writes. Data received before a reset
can still be read.
"""

from cottonspread.lab.sim.world import SECOND

WINDOW = 64 * 1024  # bytes in flight or unread at which a writer blocks
SYN_TIMES = (0, SECOND, 3 * SECOND, 7 * SECOND)  # when a connection request without reply is sent
DATA, END, RESET = "data", "end", "reset"


class Endpoint:
    """A machine's address in the network.

    `on_connect(side)` accepts a connection; None refuses it, and SILENT leaves the request without a reply.
    """

    SILENT = "silent"

    def __init__(self, name, zone=""):
        """Creates an endpoint that refuses connections."""
        self.name, self.zone, self.on_connect = name, zone, None


class Side:
    """One side of a connection.

    Its owner has `on_readable(side)`, called when data, the end or a reset has arrived, and
    `on_writable(side)`, called when a blocked write can go on.
    """

    __slots__ = (
        "network",
        "endpoint",
        "peer",
        "owner",
        "link",
        "received",
        "received_at",
        "eof",
        "was_reset",
        "eof_sent",
        "closed",
        "last_arrival",
        "in_flight",
        "write_blocked",
    )

    def __init__(self, network, endpoint, link):
        """Creates one side of `link` at `endpoint`; `peer` and `owner` are set by whoever connects."""
        self.network, self.endpoint, self.link, self.peer, self.owner = network, endpoint, link, None, None
        self.received, self.received_at, self.eof, self.was_reset = bytearray(), 0, False, False
        self.eof_sent = self.closed = self.write_blocked = False
        # the arrival time of what was sent last; bytes that the peer has not read
        self.last_arrival, self.in_flight = 0, 0

    def send(self, data):
        """Sends all of `data`. Raises BrokenPipeError if this side is closed or the connection was reset."""
        if self.was_reset or self.closed or self.eof_sent:
            raise BrokenPipeError
        self.in_flight += len(data)
        self.network.transmit(self, DATA, data)

    def send_room(self):
        """Returns how many bytes can be sent before the window is full."""
        return max(0, WINDOW - self.in_flight)

    def recv(self, max_bytes=1 << 20):
        """Reads and removes up to `max_bytes` of received data; unblocks the peer's writes."""
        data = bytes(self.received[:max_bytes])
        del self.received[:max_bytes]
        peer = self.peer
        peer.in_flight -= len(data)
        if peer.write_blocked and not peer.closed:
            peer.write_blocked = False
            self.network.world.after(0, peer.owner.on_writable, peer)
        return data

    def shutdown_write(self):
        """Closes the sending direction of this side."""
        if not self.eof_sent and not self.closed:
            self.eof_sent = True
            self.network.transmit(self, END)

    def reset(self):
        """Closes this side with a reset."""
        if not self.closed:
            self.closed = True
            self.network.transmit(self, RESET)
            self.network.remove_if_closed(self.link)

    def close(self):
        """Closes this side as the kernel does: with a reset if received data is unread."""
        if self.received and not self.was_reset:
            self.reset()
        elif not self.closed:
            self.shutdown_write()
            self.closed = True
            self.network.remove_if_closed(self.link)


class Link:
    """The connection between two sides.

    A `dead` link loses whatever is sent without notifying either side. `withheld`: held back by a partition.
    """

    __slots__ = ("a", "b", "delay", "dead", "stalled_until", "withheld", "number")

    def __init__(self, number, delay):
        """`number`: of this connection in the network. `delay`: one way, in microseconds."""
        self.number, self.delay, self.a, self.b = number, delay, None, None
        self.dead, self.stalled_until, self.withheld = False, 0, []


class Network:
    """All connections of a simulation, with their delays and faults."""

    def __init__(self, world, same_zone=200, cross_zone=1500, jitter=300):
        """Sets one-way delays in microseconds: within a zone, between zones, and the largest jitter."""
        self.world, self.same_zone, self.cross_zone, self.jitter = world, same_zone, cross_zone, jitter
        self.random, self.links, self.connection_count, self.partitions, self.slowdowns = (
            world.random_stream("ways"),
            {},
            0,
            [],
            [],
        )

    def delay(self, a, b):
        """Returns the one-way delay between two endpoints, without jitter and faults."""
        return self.same_zone if a.zone == b.zone else self.cross_zone

    def extra_delay(self, a, b):
        """Returns the delay that faults add at present between a node and a host."""
        if not self.slowdowns or a.name == "client" or b.name == "client":
            return 0
        return sum(more for names, more in self.slowdowns if self.crosses(names, a, b))

    @staticmethod
    def crosses(names, a, b):
        """Returns whether exactly one of two endpoints is in a set of names of nodes, hosts or zones."""
        return (a.name in names or a.zone in names) != (b.name in names or b.zone in names)

    def is_partitioned(self, a, b):
        """Returns whether a partition separates a node and a host; clients are never partitioned."""
        return (
            bool(self.partitions)
            and a.name != "client"
            and b.name != "client"
            and any(self.crosses(names, a, b) for names in self.partitions)
        )

    # Connection set-up

    def connect(self, owner, endpoint, target, timeout, callback):
        """Connects to `target` and calls `callback(side, why)` with a side, or with None and the reason.

        A request that nobody replies to is sent again as TCP does, and fails after `timeout` microseconds.
        """
        attempt = [False]  # whether it has succeeded or failed
        jitter = self.random.randbelow(self.jitter + 1)
        for span in SYN_TIMES:
            if span < timeout:
                self.world.after(
                    span + self.delay(endpoint, target) + jitter + self.extra_delay(endpoint, target),
                    self.on_connect_request,
                    attempt,
                    owner,
                    endpoint,
                    target,
                    jitter,
                    callback,
                )
        self.world.after(timeout, self.on_connect_timeout, attempt, callback)

    def on_connect_request(self, attempt, owner, endpoint, target, jitter, callback):
        """Handles a connection request that has arrived at `target`."""
        if attempt[0] or target.on_connect is Endpoint.SILENT or self.is_partitioned(endpoint, target):
            return
        delay = self.delay(endpoint, target) + jitter
        back, attempt[0] = delay + self.extra_delay(endpoint, target), True
        if target.on_connect is None:
            self.world.after(back, callback, None, "ECONNREFUSED")
            return
        self.connection_count += 1
        link = Link(self.connection_count, delay)
        link.a, link.b = Side(self, endpoint, link), Side(self, target, link)
        link.a.peer, link.b.peer, link.a.owner = link.b, link.a, owner
        self.links[link] = None
        target.on_connect(link.b)
        self.world.after(back, callback, link.a, "")

    @staticmethod
    def on_connect_timeout(attempt, callback):
        """Fails a connection attempt that has had no reply."""
        if not attempt[0]:
            attempt[0] = True
            callback(None, "TimeoutError")

    # Delivery

    def transmit(self, side, kind, data=b""):
        """Sends data, an end or a reset from one side to its peer, after everything sent before."""
        link = side.link
        side.last_arrival = max(
            self.world.now + link.delay + self.extra_delay(side.endpoint, side.peer.endpoint),
            side.last_arrival,
            link.stalled_until,
        )
        self.world.at(side.last_arrival, self.deliver, side, kind, data)

    def deliver(self, side, kind, data):
        """Delivers what `side` has sent to its peer."""
        link, to = side.link, side.peer
        if link.dead:
            return
        if link.withheld or self.is_partitioned(side.endpoint, to.endpoint):
            link.withheld.append((side, kind, data))
            return
        if to.closed:
            if kind is DATA:
                self.transmit(to, RESET)  # data for a closed socket is answered with a reset
            return
        to.received_at = self.world.now
        if kind is DATA:
            if to.was_reset:
                return
            to.received += data
        elif kind is END:
            to.eof = True
        else:
            to.was_reset = True
        if to.owner is not None:
            to.owner.on_readable(to)

    def remove_if_closed(self, link):
        """Removes a link that both sides have closed."""
        if link.a.closed and link.b.closed:
            self.links.pop(link, None)

    # Faults

    def partition(self, names):
        """Cuts the named nodes, hosts or zones off from the rest."""
        self.partitions.append(names)

    def heal(self, names):
        """Ends a partition and delivers in order what it held back."""
        self.partitions.remove(names)
        for link in [link for link in self.links if link.withheld]:
            withheld, link.withheld = link.withheld, []
            for side, kind, data in withheld:
                self.deliver(side, kind, data)

    def links_touching(self, names):
        """Returns the connections between a node and a host where either is in the set of names."""
        return [
            link
            for link in self.links
            if link.a.endpoint.name != "client"
            and (
                {link.a.endpoint.name, link.a.endpoint.zone, link.b.endpoint.name, link.b.endpoint.zone}
                & names
            )
        ]

    def stall(self, links, span):
        """Delivers nothing more on these links until `span` microseconds from now."""
        for link in links:
            link.stalled_until = max(link.stalled_until, self.world.now + span)

    def reset_links(self, links):
        """Breaks these links; both sides see a reset."""
        for link in links:
            for side in (link.a, link.b):
                if not side.closed and not side.was_reset:
                    side.was_reset = True
                    if side.owner is not None:
                        side.owner.on_readable(side)
