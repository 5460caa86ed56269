"""The server for one call's next leg."""

from cottonspread.policy.load import Loads, well_over
from cottonspread.policy.retries import may_retry_at
from cottonspread.state import SECOND


class Choice:
    """One look for a server: `host()` is the ordinary way. Made anew for each leg, for the fleet moves on."""

    SKIP_TIME = SECOND // 4  # a server that is not open to new keys is not looked at again before
    # All servers may rest at once, the way to them too, or be slow or full, and a node that tries nothing
    # learns of no recovery. After so many calls without a leg, and so long (up to a second more by chance, or
    # all nodes would try in step), one is overdue and goes to the next server that is not cold.
    FORCED_AFTER_CALLS, FORCED_AFTER_TIME = 8, 2 * SECOND

    def __init__(self, node, call):
        self.node, self.call, self.now, self.settings = node, call, node.now, node.settings
        self.overview, self.readings, self.health = node.overview, node.readings, node.health
        self.overview.refresh(self.now)
        self.mean, load, self.mean_size = self.overview.means()
        self.mean_load = load / Loads.MEAN
        self.forced = node.calls_since_leg >= self.FORCED_AFTER_CALLS and self.now >= node.forced_attempt_at
        # Nothing is heard of a server that holds nothing of this node. Unless fresh it goes by the others, or
        # nodes with one connection on every third server keep a whole jammed fleet full.
        self.try_unheard = (
            self.settings.nodes == 1 or node.rng.below(1000) >= 2500 * self.overview.slow_share**2
        )

    def host(self):
        """The server for the next leg; None if no server may have it now."""
        rests = not self.health.may_send(self.node.shared_dependency, self.now)
        host = None if rests and not self.forced else self.choose()
        if host and self.forced:  # what rests is tried, and goes on if it answers
            host.ejected_until = self.node.shared_dependency.ejected_until = self.now
        return host

    def choose(self):
        """The recorded server, or the next of the rotation."""
        node, call = self.node, self.call
        recorded = node.records.find(call.key, self.now, len(node.calls))
        # One that was probed for this call and has room is taken: the rotation went on, and probed the next.
        for host in (recorded, call.probed_host):
            if host and self.may_take(host) and self.is_lightly_loaded(host):
                return host
        # Where none fits the call is rejected at once: filling the last free server is how a jam spreads.
        if self.settings.groups_share_work and self.settings.nodes > 1 and call.group is not None:
            return self.choose_for_group()
        return self.in_turn()

    def may_take(self, host):
        """Whether the call may go there, and the server is in no state that forbids it."""
        call = self.call
        if not host.up or not may_retry_at(call, host) or any(leg.host is host for leg in call.legs):
            return False
        if host in self.overview.exceptional and not (self.forced or self.is_healthy(host)):
            return False
        return self.node.slow_start.may_send(host, self.now, host is call.probed_host or call.drawn_host)

    def is_healthy(self, host):
        """Whether an exceptional server is not set aside, nor slow, nor at its ceiling."""
        if not self.health.may_send(host, self.now) or self.overview.near_slow(host, self.now):
            return False
        return self.node.ceilings.has_room(host, self.call, self.now)

    def is_lightly_loaded(self, host):
        """Neither well over the mean of its size nor crowded by other nodes' calls."""
        over = well_over(len(host.legs), self.mean * max(1, host.size / self.mean_size))
        if over and not self.readings.has_room(host, self.now):
            return False
        return self.forced or not self.readings.exceeds_bound(host, self.call, self.now)

    def accepts_new_key(self, host):
        """Whether a new key may go there. Heavy connections gather on a server of few, so by load as well.
        Over the mean it is passed by, and not shut: with few connections each was over it in turn, and calls
        were rejected though every server was idle."""
        heavy = well_over(host.load / Loads.MEAN, self.mean_load * host.size / self.mean_size)
        if not self.is_lightly_loaded(host) or heavy and not self.readings.has_room(host, self.now):
            return False
        heard = host.legs or host in self.overview.cold or self.readings.is_current(host, self.now)
        if (heard or self.try_unheard or self.forced) and self.may_take(host):
            return True
        # In a jam all are shut: they are not looked at one by one for each call.
        host.skip_until = self.now + self.SKIP_TIME
        return False

    def in_turn(self):
        """The next of the rotation that is open, near ones first."""
        rotation = self.node.rotation
        near = self.settings.zone_crossing_price and self.first_open(rotation.in_zone(self.settings.zone))
        return near or self.first_open(rotation.following())

    def next_among(self, few):
        """The same among a few servers."""
        rotation, zone = self.node.rotation, self.settings.zone
        near = [host for host in few if host.entry.zone == zone] if self.settings.zone_crossing_price else ()
        return self.first_open(rotation.among(near)) or self.first_open(rotation.among(few))

    def first_open(self, servers):
        """The first of these in turn that is open."""
        now = self.now + self.SKIP_TIME if self.forced else self.now  # then none counts as shut
        return self.node.rotation.next(self.accepts_new_key, now, servers)

    def choose_for_group(self):
        """Each server that holds any of a group pays for it, and a node sees too few calls to keep a group
        together by its record: forty nodes' rotations put every group on every server. So all rotations keep
        to the group's few servers, the same at all nodes, near ones first among them."""
        few = self.group_servers()
        # Servers replaced in a release stay empty while the others jam, so fresh ones come first.
        for host in self.fresh_first():
            if host.skip_until <= self.now and self.accepts_new_key(host):
                return host
        host = self.next_among(few)
        # While there is room in the fleet a group is not turned away for the cost of one more server.
        if host is None and self.readings.fleet_has_room():
            self.call.max_load_ratio = self.readings.LOW
            host = self.first_open(self.node.rotation.following())
        return host

    def group_servers(self):
        """The group's own servers. One set aside or tried is out of reach, perhaps with its zone: the next of
        the order stands in for it."""
        rotation, group = self.node.rotation, self.call.group
        few, wanted = [], self.node.groups.servers(group, len(rotation.order))
        for host in rotation.group_orders.first(group, wanted):
            few.append(host)
            wanted -= not host.recovery_limit
            if not wanted:
                break
        return few

    def fresh_first(self):
        """The fresh servers that the call may try before the group's own."""
        node, call = self.node, self.call
        cold = node.rotation.group_orders.sorted(call.group, self.overview.cold)
        budget = (
            node.slow_start.budget(node.slow_start.capacity_share(cold[0], self.now)) if len(cold) > 2 else 1
        )
        if budget < 1:
            calls = node.arrivals.total(self.now, self.settings.cold.window)
            part = node.groups.calls.share(call.group)
            call.drawn_host = call.drawn_host or node.slow_start.draw(cold, budget, part, calls)
            return [h for h in cold if h is call.drawn_host]
        return cold if call.returned or self.overview.slow_share or self.readings.fleet_busy() else []
