"""The configuration store's simulated network: locations, latency, loss, partitions, and calls in bytes.

Each message is the JSON that production code sends, in an HTTP/1.1 request or response on a persistent
connection; TCP and IP headers are not counted. There is no retransmission: a call whose message is lost ends
at its deadline.
"""

from collections import Counter
from dataclasses import dataclass

from cottonspread.configstore import messages as m

MILLISECOND = 1_000


@dataclass(frozen=True)
class FleetParameters:
    """The fleet and its network, durations in microseconds. All are assumptions, and results record them."""

    nodes: int = 420
    zones: tuple[int, ...] = (3, 3, 2)
    """Number of zones in each region; the first zone of a region has the region's replica."""
    within_zone: int = 300
    within_region: int = 1 * MILLISECOND
    between_regions: int = 40 * MILLISECOND
    """One-way latency, like the two above."""
    jitter: float = 0.2
    """Largest random addition to a latency, as a share of it."""
    loss: float = 0.0
    """Share of messages that are lost."""
    check: int = 20 * MILLISECOND
    save: int = 10 * MILLISECOND
    apply: int = 30 * MILLISECOND
    """Shortest times of a node's steps; each takes up to twice as long."""
    store: int = 5 * MILLISECOND
    """Shortest time of a replica's write with its fsyncs; it takes up to twice as long."""
    replica_message: int = 200
    """Processor time of a replica per message; messages are processed one after another."""
    body_bytes: int = 4_096

    def fixed(self) -> dict:
        """The parameters by the names and units that results use."""
        return {
            "nodes": self.nodes,
            "zones": sum(self.zones),
            "regions": len(self.zones),
            "within_zone_ms": self.within_zone / 1000,
            "within_region_ms": self.within_region / 1000,
            "between_regions_ms": self.between_regions / 1000,
            "loss": self.loss,
            "check_ms": self.check / 1000,
            "save_ms": self.save / 1000,
            "apply_ms": self.apply / 1000,
            "store_ms": self.store / 1000,
            "replica_message_us": self.replica_message,
            "body_bytes": self.body_bytes,
        }


@dataclass(frozen=True)
class Location:
    """The region and zone of a machine; zones are numbered across all regions."""

    region: int
    zone: int


def locations(parameters: FleetParameters) -> list[Location]:
    """The location of every zone, in order."""
    found = []
    for region, zones in enumerate(parameters.zones):
        found += [Location(region, len(found) + zone) for zone in range(zones)]
    return found


class Host:
    """A machine with one process; unreachable if silent. `epoch` changes when a process starts or ends."""

    def __init__(self, name: str, location: Location):
        """The process runs and the machine is reachable at first."""
        self.name, self.location, self.epoch = name, location, 0
        self.is_running, self.is_silent = True, False
        self.bytes_in = self.bytes_out = self.messages = 0

    def on_request(self, call: "Call") -> None:
        """A request arrived."""

    def on_caller_gone(self, call: "Call") -> None:
        """The caller closed the connection before the reply."""


class Call:
    """One request and its reply, over the network."""

    def __init__(self, network, caller: Host, callee: Host, request: bytes, on_done):
        """`on_done`: see `Network.call`, which also sends the request and sets the deadline."""
        self.network, self.caller, self.callee, self.request = network, caller, callee, request
        self.on_done, self.epoch, self.is_ended = on_done, caller.epoch, False
        self.callee_epoch = None

    def deliver_request(self):
        """Delivers the request to the callee; a running machine without a process refuses the connection."""
        callee = self.callee
        if callee.is_silent or not self.network.reaches(self.caller, callee):
            return
        if not callee.is_running:
            self.network.send(callee, self.caller, 0, self.finish, None, "refused")
            return
        callee.bytes_in += len(self.request)
        callee.messages += 1
        self.callee_epoch = callee.epoch
        callee.on_request(self)

    def reply(self, response: bytes):
        """Sends the reply, if the process that received the request still runs."""
        if self.callee.epoch == self.callee_epoch and self.callee.is_running:
            self.network.send(self.callee, self.caller, len(response), self.finish, response, "")

    def close(self, why):
        """Tells the caller that the callee's process has ended."""
        self.network.send(self.callee, self.caller, 0, self.finish, None, why)

    def finish(self, response: bytes | None, why: str):
        """Ends the call at the caller, unless it has ended already."""
        if self.is_ended or self.caller.epoch != self.epoch or not self.caller.is_running:
            return
        self.is_ended = True
        if response is not None:
            self.caller.bytes_in += len(response)
            self.caller.messages += 1
        self.on_done(response, why)

    def expire(self):
        """Ends the call at its deadline, if it is still open."""
        if not self.is_ended and self.caller.epoch == self.epoch:
            self.network.send(self.caller, self.callee, 0, self.notify_callee)
            self.finish(None, "deadline")

    def notify_callee(self):
        """Tells the callee that the caller closed the connection."""
        if self.callee.is_running and self.callee.epoch == self.callee_epoch:
            self.callee.on_caller_gone(self)


class Network:
    """Carries messages between hosts."""

    def __init__(self, world, parameters: FleetParameters):
        """`parameters`: latencies and the initial loss."""
        self.world, self.parameters, self.loss = world, parameters, parameters.loss
        self._rng = world.random_stream("network")
        self.partitions: set[frozenset[int]] = set()
        self.counts = Counter()

    def reaches(self, source: Host, destination: Host) -> bool:
        """Whether no partition separates them and neither machine is silent."""
        if source.is_silent or destination.is_silent:
            return False
        return frozenset((source.location.region, destination.location.region)) not in self.partitions

    def isolate_region(self, region: int) -> None:
        """Partitions the region from all other regions."""
        self.partitions |= {
            frozenset((region, other)) for other in range(len(self.parameters.zones)) if other != region
        }

    def heal(self) -> None:
        """Removes all partitions."""
        self.partitions.clear()

    def latency(self, source: Host, destination: Host) -> int:
        """A random one-way latency, in microseconds."""
        if source.location.zone == destination.location.zone:
            base = self.parameters.within_zone
        elif source.location.region == destination.location.region:
            base = self.parameters.within_region
        else:
            base = self.parameters.between_regions
        return base + int(base * self.parameters.jitter * self._rng.random())

    def send(self, source: Host, destination: Host, size: int, on_arrival, *args) -> None:
        """Sends `size` bytes; a size of 0 stands for a TCP control segment (FIN or RST)."""
        self.counts["messages"] += 1
        source.bytes_out += size
        if size:
            source.messages += 1
        latency = self.latency(source, destination)
        self.world.add_trace_line("net", source.name, destination.name, size)
        if not self.reaches(source, destination):
            self.counts["cut"] += 1
        elif self.loss and self._rng.random() < self.loss:
            self.counts["lost"] += 1
        else:
            self.world.after(latency, self._deliver, source, destination, on_arrival, args)

    def _deliver(self, source: Host, destination: Host, on_arrival, args):
        if self.reaches(source, destination):
            on_arrival(*args)

    def call(self, caller: Host, callee: Host, request: bytes, deadline: int, on_done) -> None:
        """Sends a request; `on_done(response, why)` is called once, by the deadline."""
        call = Call(self, caller, callee, request, on_done)
        self.world.at(deadline, call.expire)
        self.send(caller, callee, len(request), call.deliver_request)


PATHS = {m.Accept: "accept", m.Commit: "commit", m.ReadState: "state"}
KINDS = {path: kind for kind, path in PATHS.items()}


def to_request(replica: str, message) -> bytes:
    """The message as the bytes of an HTTP request."""
    host = f"Host: {replica}.control.example:7400\r\n"
    if isinstance(message, m.WatchRequest):
        return f"GET /api/configuration?{m.to_query(message)} HTTP/1.1\r\n{host}\r\n".encode()
    body = m.encode(message)
    head = f"POST /api/configuration/{PATHS[type(message)]} HTTP/1.1\r\n{host}"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def from_request(request: bytes):
    """The message in the bytes of an HTTP request; raises MessageError."""
    head, _, body = request.partition(b"\r\n\r\n")
    target = head.split(b" ", 2)[1].decode()
    path, _, query = target.partition("?")
    if query:
        return m.from_query(query)
    return m.decode(body, KINDS[path.rsplit("/", 1)[1]])


def to_response(message) -> bytes:
    """The message as the bytes of an HTTP response; None gives status 503."""
    if message is None:
        return b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
    body = m.encode(message)
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def from_response(response: bytes, kind):
    """The message in the bytes of an HTTP response; raises MessageError unless its status is 200."""
    head, _, body = response.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200 "):
        raise m.MessageError("HTTP status is not 200")
    return m.decode(body, kind)
