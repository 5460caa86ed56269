"""Chooses the server for a call's next leg."""

from cottonspread.policy.load import Loads, well_over
from cottonspread.policy.retries import may_retry_at
from cottonspread.state import SECOND


class Choice:
    """One search for a server, by `host()`; created anew for each leg, because the fleet's state changes."""

    SKIP_TIME = SECOND // 4  # a server that takes no new keys is not considered again for this long
    # All servers, and the dependency that they share, may be ejected, slow or full at the same time, and a
    # node that sends nothing cannot notice a recovery. After this many calls without a leg and this much
    # time (plus up to a second of random jitter, or all nodes would retry in step) an attempt is forced on
    # the next server that is not cold.
    FORCED_AFTER_CALLS, FORCED_AFTER_TIME = 8, 2 * SECOND

    def __init__(self, node, call):
        """`node`: the `Balancer` that asks; `call`: the call for which a server is searched."""
        self.node, self.call, self.now, self.settings = node, call, node.now, node.settings
        self.overview, self.readings, self.health = node.overview, node.readings, node.health
        self.overview.refresh(self.now)
        self.mean, load, self.mean_size = self.overview.means()
        self.mean_load = load / Loads.MEAN
        self.forced = node.calls_since_leg >= self.FORCED_AFTER_CALLS and self.now >= node.forced_attempt_at
        # A node gets no reports of servers on which it has no connection. Unless cold, such a server is
        # judged by the share of slow ones among the others: otherwise nodes with one connection on every
        # third server keep an overloaded fleet full.
        self.try_unreported = (
            self.settings.nodes == 1 or node.rng.below(1000) >= 2500 * self.overview.slow_share**2
        )

    def host(self):
        """The server for the next leg; None if no server may get it now."""
        paused = not self.health.may_send(self.node.shared_dependency, self.now)
        host = None if paused and not self.forced else self.choose()
        if host and self.forced:  # an ejected server gets an attempt, and stays in use if it answers
            host.ejected_until = self.node.shared_dependency.ejected_until = self.now
        return host

    def choose(self):
        """The server on record for the call's key, or the next one in the rotation."""
        node, call = self.node, self.call
        recorded = node.records.find(call.key, self.now, len(node.calls))
        # A server that was probed for this call and has room is taken: the rotation has moved past it, and
        # another search would probe the next one.
        for host in (recorded, call.probed_host):
            if host and self.is_eligible(host) and self.is_lightly_loaded(host):
                return host
        # If no server fits, the call is rejected at once: filling the last free server spreads the overload.
        if self.settings.groups_share_work and self.settings.nodes > 1 and call.group is not None:
            return self.choose_for_group()
        return self.in_turn()

    def is_eligible(self, host):
        """Whether the call may go to this server, given its earlier legs and the server's state."""
        call = self.call
        if not host.up or not may_retry_at(call, host) or any(leg.host is host for leg in call.legs):
            return False
        if host in self.overview.exceptional and not (self.forced or self.is_healthy(host)):
            return False
        return self.node.slow_start.may_send(host, self.now, host is call.probed_host or call.drawn_host)

    def is_healthy(self, host):
        """Whether an exceptional server is neither ejected, nor nearly slow, nor at its load ceiling."""
        if not self.health.may_send(host, self.now) or self.overview.is_near_slow(host, self.now):
            return False
        return self.node.ceilings.has_room(host, self.call, self.now)

    def is_lightly_loaded(self, host):
        """Whether it is neither well over the mean for its size nor, as probed, over the call's bound."""
        over = well_over(len(host.legs), self.mean * max(1, host.size / self.mean_size))
        if over and not self.readings.has_room(host, self.now):
            return False
        return self.forced or not self.readings.exceeds_bound(host, self.call, self.now)

    def accepts_new_key(self, host):
        """Whether a new key may go to this server.

        Its load is checked as well as its connection count: by count alone, heavy connections would collect
        on a server with few of them. A server over the mean is passed over for this call, but not skipped for
        a time: with few connections each server was over the mean in turn, and calls were rejected while all
        were idle.
        """
        heavy = well_over(host.load / Loads.MEAN, self.mean_load * host.size / self.mean_size)
        if not self.is_lightly_loaded(host) or heavy and not self.readings.has_room(host, self.now):
            return False
        has_reports = host.legs or host in self.overview.cold or self.readings.is_current(host, self.now)
        if (has_reports or self.try_unreported or self.forced) and self.is_eligible(host):
            return True
        # When the fleet is overloaded all servers are skipped, instead of checking each one for every call.
        host.skip_until = self.now + self.SKIP_TIME
        return False

    def in_turn(self):
        """The next server in the rotation that takes new keys, those of the node's own zone first."""
        rotation = self.node.rotation
        local = self.settings.zone_crossing_price and self.first_accepting(
            rotation.in_zone(self.settings.zone)
        )
        return local or self.first_accepting(rotation.following())

    def next_among(self, candidates):
        """The next of a few given servers that takes new keys, those of the node's own zone first."""
        rotation, zone = self.node.rotation, self.settings.zone
        local = (
            [host for host in candidates if host.entry.zone == zone]
            if self.settings.zone_crossing_price
            else ()
        )
        return self.first_accepting(rotation.among(local)) or self.first_accepting(rotation.among(candidates))

    def first_accepting(self, servers):
        """The first of these servers, in rotation order, that takes new keys."""
        now = self.now + self.SKIP_TIME if self.forced else self.now  # when forced, none is skipped
        return self.node.rotation.next(self.accepts_new_key, now, servers)

    def choose_for_group(self):
        """A server for a call whose group shares work, among the few servers of that group.

        Each server that holds any member of a group bears the group's cost, and one node sees too few calls
        to keep a group together by its own records: the rotations of forty nodes put every group on every
        server. So all nodes use the same few servers for a group, those of their own zone first.
        """
        servers = self.group_servers()
        # Cold servers come first: those replaced in a release stayed empty while the others were overloaded.
        for host in self.cold_servers():
            if host.skip_until <= self.now and self.accepts_new_key(host):
                return host
        host = self.next_among(servers)
        # While the fleet has room, a call is not rejected to spare one more server the group's cost.
        if host is None and self.readings.fleet_has_room():
            self.call.max_load_ratio = self.readings.LOW
            host = self.first_accepting(self.node.rotation.following())
        return host

    def group_servers(self):
        """The group's servers, the same at all nodes.

        One that is ejected or recovering may be out of reach, perhaps with its whole zone: the next server in
        the group's order replaces it.
        """
        rotation, group = self.node.rotation, self.call.group
        servers, wanted = [], self.node.groups.servers(group, len(rotation.order))
        for host in rotation.group_orders.first(group, wanted):
            servers.append(host)
            wanted -= not host.recovery_limit
            if not wanted:
                break
        return servers

    def cold_servers(self):
        """The cold servers that the call may try before the group's own."""
        node, call = self.node, self.call
        cold = node.rotation.group_orders.sorted(call.group, self.overview.cold)
        budget = (
            node.slow_start.budget(node.slow_start.capacity_share(cold[0], self.now)) if len(cold) > 2 else 1
        )
        if budget < 1:
            calls = node.arrivals.total(self.now, self.settings.cold.window)
            share = node.groups.calls.share(call.group)
            call.drawn_host = call.drawn_host or node.slow_start.draw(cold, budget, share, calls)
            return [h for h in cold if h is call.drawn_host]
        return cold if call.returned or self.overview.slow_share or self.readings.fleet_busy() else []
