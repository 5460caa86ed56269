"""Connections between simulated machines, as TCP shows them to programs.

Bytes keep their order within a connection, and nothing is ordered between two. What is sent counts as
under way until the other side takes it, so a side that does not read holds up whoever writes to it. What
came before a reset can still be read.
"""

from cottonspread.lab.sim.world import SECOND

WINDOW = 64 * 1024  # bytes under way and not taken: a writer waits for room beyond
AGAIN = (0, SECOND, 3 * SECOND, 7 * SECOND)  # when a connection that nobody answers is asked for
DATA, END, RESET = "data", "end", "reset"


class Place:
    """A machine's address.

    `door`: what takes a new connection's side, None where it is refused, SILENT where nobody answers.
    """

    SILENT = "silent"

    def __init__(self, name, zone=""):
        self.name, self.zone, self.door = name, zone, None


class Side:
    """One side of a connection.

    Its owner has `arrived(side)`, called whenever there is more to see, and `room(side)`.
    """

    __slots__ = (
        "network",
        "place",
        "other",
        "owner",
        "link",
        "inbox",
        "came_at",
        "ended",
        "broke",
        "sent_end",
        "closed",
        "last",
        "under_way",
        "waits",
    )

    def __init__(self, network, place, link):
        self.network, self.place, self.link, self.other, self.owner = network, place, link, None, None
        self.inbox, self.came_at, self.ended, self.broke = bytearray(), 0, False, False
        self.sent_end = self.closed = self.waits = False
        # when what was sent last arrives; bytes that the other side has not taken
        self.last, self.under_way = 0, 0

    def send(self, data):
        """All of it is on its way. BrokenPipeError if the connection has broken."""
        if self.broke or self.closed or self.sent_end:
            raise BrokenPipeError
        self.under_way += len(data)
        self.network.carry(self, DATA, data)

    def room(self):
        return max(0, WINDOW - self.under_way)

    def take(self, most=1 << 20):
        data = bytes(self.inbox[:most])
        del self.inbox[:most]
        other = self.other
        other.under_way -= len(data)
        if other.waits and not other.closed:
            other.waits = False
            self.network.world.after(0, other.owner.room, other)
        return data

    def end(self):
        """No more is sent from here."""
        if not self.sent_end and not self.closed:
            self.sent_end = True
            self.network.carry(self, END)

    def reset(self):
        if not self.closed:
            self.closed = True
            self.network.carry(self, RESET)
            self.network.forget(self.link)

    def close(self):
        """As the kernel does: bytes that nobody took make it a reset."""
        if self.inbox and not self.broke:
            self.reset()
        elif not self.closed:
            self.end()
            self.closed = True
            self.network.forget(self.link)


class Link:
    __slots__ = ("a", "b", "delay", "dead", "stalled", "held", "number")

    def __init__(self, number, delay):
        self.number, self.delay, self.a, self.b = number, delay, None, None
        self.dead, self.stalled, self.held = False, 0, []  # a dead one takes everything and brings nothing


class Network:
    def __init__(self, world, same=200, cross=1500, jitter=300):
        """One way, in microseconds: within a zone, between zones, and what
        chance adds to a connection at most.
        """
        self.world, self.same, self.cross, self.jitter = world, same, cross, jitter
        self.draws, self.links, self.made, self.cuts, self.slower = world.random_stream("ways"), {}, 0, [], []

    def delay(self, a, b):
        return self.same if a.zone == b.zone else self.cross

    def extra(self, a, b):
        """What a trouble adds to the way between a node and a host now."""
        if not self.slower or a.name == "client" or b.name == "client":
            return 0
        return sum(more for names, more in self.slower if self.parts(names, a, b))

    @staticmethod
    def parts(names, a, b):
        """Whether the way between two places leads out of a set of names: of nodes, hosts or zones."""
        return (a.name in names or a.zone in names) != (b.name in names or b.zone in names)

    def blocked(self, a, b):
        return (
            bool(self.cuts)
            and a.name != "client"
            and b.name != "client"
            and any(self.parts(names, a, b) for names in self.cuts)
        )

    # Connecting

    def connect(self, owner, place, target, wait, then):
        """`then(side, why)`: a side, or None and the reason.

        Nothing is heard of one that nobody answers until `wait` has passed.
        """
        attempt = [False]  # whether it is decided
        jitter = self.draws.randbelow(self.jitter + 1)
        for span in AGAIN:
            if span < wait:
                self.world.after(
                    span + self.delay(place, target) + jitter + self.extra(place, target),
                    self.asked,
                    attempt,
                    owner,
                    place,
                    target,
                    jitter,
                    then,
                )
        self.world.after(wait, self.waited, attempt, then)

    def asked(self, attempt, owner, place, target, jitter, then):
        if attempt[0] or target.door is Place.SILENT or self.blocked(place, target):
            return
        delay = self.delay(place, target) + jitter
        back, attempt[0] = delay + self.extra(place, target), True
        if target.door is None:
            self.world.after(back, then, None, "ECONNREFUSED")
            return
        self.made += 1
        link = Link(self.made, delay)
        link.a, link.b = Side(self, place, link), Side(self, target, link)
        link.a.other, link.b.other, link.a.owner = link.b, link.a, owner
        self.links[link] = None
        target.door(link.b)
        self.world.after(back, then, link.a, "")

    @staticmethod
    def waited(attempt, then):
        if not attempt[0]:
            attempt[0] = True
            then(None, "TimeoutError")

    # Carrying

    def carry(self, side, kind, data=b""):
        link = side.link
        side.last = max(
            self.world.now + link.delay + self.extra(side.place, side.other.place), side.last, link.stalled
        )
        self.world.at(side.last, self.arrive, side, kind, data)

    def arrive(self, side, kind, data):
        """Something sent by `side` is at the other one."""
        link, to = side.link, side.other
        if link.dead:
            return
        if link.held or self.blocked(side.place, to.place):
            link.held.append((side, kind, data))
            return
        if to.closed:
            if kind is DATA:
                self.carry(to, RESET)  # nobody is there any more
            return
        to.came_at = self.world.now
        if kind is DATA:
            if to.broke:
                return
            to.inbox += data
        elif kind is END:
            to.ended = True
        else:
            to.broke = True
        if to.owner is not None:
            to.owner.arrived(to)

    def forget(self, link):
        if link.a.closed and link.b.closed:
            self.links.pop(link, None)

    # Troubles

    def cut(self, names):
        self.cuts.append(names)

    def heal(self, names):
        """What was held goes on its way, in its order."""
        self.cuts.remove(names)
        for link in [one for one in self.links if one.held]:
            held, link.held = link.held, []
            for side, kind, data in held:
                self.arrive(side, kind, data)

    def between(self, names):
        """Connections between a node and a host of which one is named."""
        return [
            one
            for one in self.links
            if one.a.place.name != "client"
            and ({one.a.place.name, one.a.place.zone, one.b.place.name, one.b.place.zone} & names)
        ]

    def stall(self, links, span):
        for link in links:
            link.stalled = max(link.stalled, self.world.now + span)

    def snap(self, links):
        """They break in the midst: both sides are told."""
        for link in links:
            for side in (link.a, link.b):
                if not side.closed and not side.broke:
                    side.broke = True
                    if side.owner is not None:
                        side.owner.arrived(side)
