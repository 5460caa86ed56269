"""Connections between simulated machines, as TCP shows them to programs.

Bytes keep their order within a connection, and nothing is ordered between two. What is sent counts as
under way until the other side takes it, so a side that does not read holds up whoever writes to it. What
came before a reset can still be read.
"""

from cottonspread.lab.sim.world import SECOND

WINDOW = 64 * 1024  # bytes under way and not taken: a writer waits for room beyond
SYN_TIMES = (0, SECOND, 3 * SECOND, 7 * SECOND)  # when a connection that nobody answers is asked for
DATA, END, RESET = "data", "end", "reset"


class Endpoint:
    """A machine's address.

    `door`: what takes a new connection's side, None where it is refused, SILENT where nobody answers.
    """

    SILENT = "silent"

    def __init__(self, name, zone=""):
        self.name, self.zone, self.on_connect = name, zone, None


class Side:
    """One side of a connection.

    Its owner has `arrived(side)`, called whenever there is more to see, and `room(side)`.
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
        self.network, self.endpoint, self.link, self.peer, self.owner = network, endpoint, link, None, None
        self.received, self.received_at, self.eof, self.was_reset = bytearray(), 0, False, False
        self.eof_sent = self.closed = self.write_blocked = False
        # when what was sent last arrives; bytes that the other side has not taken
        self.last_arrival, self.in_flight = 0, 0

    def send(self, data):
        """All of it is on its way. BrokenPipeError if the connection has broken."""
        if self.was_reset or self.closed or self.eof_sent:
            raise BrokenPipeError
        self.in_flight += len(data)
        self.network.transmit(self, DATA, data)

    def send_room(self):
        return max(0, WINDOW - self.in_flight)

    def recv(self, max_bytes=1 << 20):
        data = bytes(self.received[:max_bytes])
        del self.received[:max_bytes]
        peer = self.peer
        peer.in_flight -= len(data)
        if peer.write_blocked and not peer.closed:
            peer.write_blocked = False
            self.network.world.after(0, peer.owner.on_writable, peer)
        return data

    def shutdown_write(self):
        """No more is sent from here."""
        if not self.eof_sent and not self.closed:
            self.eof_sent = True
            self.network.transmit(self, END)

    def reset(self):
        if not self.closed:
            self.closed = True
            self.network.transmit(self, RESET)
            self.network.remove_if_closed(self.link)

    def close(self):
        """As the kernel does: bytes that nobody took make it a reset."""
        if self.received and not self.was_reset:
            self.reset()
        elif not self.closed:
            self.shutdown_write()
            self.closed = True
            self.network.remove_if_closed(self.link)


class Link:
    __slots__ = ("a", "b", "delay", "dead", "stalled_until", "withheld", "number")

    def __init__(self, number, delay):
        self.number, self.delay, self.a, self.b = number, delay, None, None
        self.dead, self.stalled_until, self.withheld = (
            False,
            0,
            [],
        )  # a dead one takes everything and brings nothing


class Network:
    def __init__(self, world, same_zone=200, cross_zone=1500, jitter=300):
        """One way, in microseconds: within a zone, between zones, and what
        chance adds to a connection at most.
        """
        self.world, self.same_zone, self.cross_zone, self.jitter = world, same_zone, cross_zone, jitter
        self.random, self.links, self.connection_count, self.partitions, self.slowdowns = (
            world.random_stream("ways"),
            {},
            0,
            [],
            [],
        )

    def delay(self, a, b):
        return self.same_zone if a.zone == b.zone else self.cross_zone

    def extra_delay(self, a, b):
        """What a trouble adds to the way between a node and a host now."""
        if not self.slowdowns or a.name == "client" or b.name == "client":
            return 0
        return sum(more for names, more in self.slowdowns if self.crosses(names, a, b))

    @staticmethod
    def crosses(names, a, b):
        """Whether the way between two places leads out of a set of names: of nodes, hosts or zones."""
        return (a.name in names or a.zone in names) != (b.name in names or b.zone in names)

    def is_partitioned(self, a, b):
        return (
            bool(self.partitions)
            and a.name != "client"
            and b.name != "client"
            and any(self.crosses(names, a, b) for names in self.partitions)
        )

    # Connecting

    def connect(self, owner, endpoint, target, timeout, callback):
        """`then(side, why)`: a side, or None and the reason.

        Nothing is heard of one that nobody answers until `wait` has passed.
        """
        attempt = [False]  # whether it is decided
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
        if not attempt[0]:
            attempt[0] = True
            callback(None, "TimeoutError")

    # Carrying

    def transmit(self, side, kind, data=b""):
        link = side.link
        side.last_arrival = max(
            self.world.now + link.delay + self.extra_delay(side.endpoint, side.peer.endpoint),
            side.last_arrival,
            link.stalled_until,
        )
        self.world.at(side.last_arrival, self.deliver, side, kind, data)

    def deliver(self, side, kind, data):
        """Something sent by `side` is at the other one."""
        link, to = side.link, side.peer
        if link.dead:
            return
        if link.withheld or self.is_partitioned(side.endpoint, to.endpoint):
            link.withheld.append((side, kind, data))
            return
        if to.closed:
            if kind is DATA:
                self.transmit(to, RESET)  # nobody is there any more
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
        if link.a.closed and link.b.closed:
            self.links.pop(link, None)

    # Troubles

    def partition(self, names):
        self.partitions.append(names)

    def heal(self, names):
        """What was held goes on its way, in its order."""
        self.partitions.remove(names)
        for link in [link for link in self.links if link.withheld]:
            withheld, link.withheld = link.withheld, []
            for side, kind, data in withheld:
                self.deliver(side, kind, data)

    def links_touching(self, names):
        """Connections between a node and a host of which one is named."""
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
        for link in links:
            link.stalled_until = max(link.stalled_until, self.world.now + span)

    def reset_links(self, links):
        """They break in the midst: both sides are told."""
        for link in links:
            for side in (link.a, link.b):
                if not side.closed and not side.was_reset:
                    side.was_reset = True
                    if side.owner is not None:
                        side.owner.on_readable(side)
