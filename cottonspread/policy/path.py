"""The steps of a call from arrival to final answer, and the object that handles all of a node's events.

Create one `Balancer(now, config)` for each node, pass every event to `handle(now, event)` and carry out the
returned actions in order; `actions()` returns those requested at start-up. Times are microseconds of the
caller's clock: nothing here reads a clock, a file or the network. The normal course of a call is
`Balancer.path`; each exception to it is documented with the failure that it prevents.
"""

from cottonspread import interface as io
from cottonspread.driver import Driver
from cottonspread.interface import Ending, HostState, ListUpdateKind
from cottonspread.policy.ceilings import Ceilings
from cottonspread.policy.choice import Choice
from cottonspread.policy.drain_moves import DrainMoves
from cottonspread.policy.groups import Groups
from cottonspread.policy.health import Health
from cottonspread.policy.load import Loads
from cottonspread.policy.membership import Membership
from cottonspread.policy.overview import Overview
from cottonspread.policy.readings import Readings
from cottonspread.policy.records import Records
from cottonspread.policy.retries import deduplicated_until, may_reject, may_retry
from cottonspread.policy.rotation import Rotation
from cottonspread.policy.slow_start import SlowStart
from cottonspread.state import SECOND, SeededRandom, Settings, SlidingCount


class Balancer(Driver):
    """Makes every decision of one node: takes events, returns actions."""

    MAX_MOVE_PRICE = 0.3  # as a fraction of a call's revenue; at a higher price no moves are requested

    def path(self, call):
        """Runs one call from arrival to its final answer.

        Yields the next action, or None to wait, and is resumed with the resulting event.
        """
        if call.legs:  # the call was already open when this process started
            yield None
        while len(call.legs) < min(call.max_legs, self.settings.limits.max_legs) and may_retry(
            call, self.now
        ):
            until = self.leg_deadline(call)
            host = Choice(self, call).host() if until else None
            if host is None:
                break
            # This node's own counts (often no more than one connection a server) leave out the load that
            # other nodes put on the server; a probe reports all of it.
            if self.readings.needs_probe(call, host, self.now):
                call.probes, call.probed_host = call.probes + 1, host
                yield io.Probe(host.name)
                continue  # choose again with the probe's result
            self.records.put(call.key, host, self.now)
            result = yield io.Send(call.id, host.name, until, deduplicated_until(call))
            if isinstance(result, io.LegAccepted):
                result = yield None  # the connection is established; its end closes the call
            if result.ending is Ending.NOT_SENT:
                break  # the front end had no time or no leg left to send it
        if may_reject(call):
            yield io.Reject(call.id, self.retry_after())
        else:
            yield io.Release(call.id)

    def __init__(self, now, config):
        """`config`: a `NodeConfig`."""
        settings, rng = Settings(config, SlowStart.DEFAULT_NODES), SeededRandom(config.seed)
        membership = Membership(rng, settings, config.dynamic_weights)
        super().__init__(now, settings, membership, Records(config.max_remembered))
        self.rng, self.groups, self.loads = rng, Groups(), Loads()
        self.arrivals = SlidingCount(SECOND // 4, 64)  # arrived calls, over up to 16 s
        self.readings, self.rotation = Readings(rng, settings), Rotation(rng)
        self.health, self.slow_start = Health(settings), SlowStart(rng, settings)
        self.ceilings = Ceilings(self.loads, rng, settings)
        self.overview, self.drain_moves = Overview(self), DrainMoves(self)
        self.timed_out = set()  # servers whose set-ups timed out since the last set-up that was answered
        self.forced_attempt_at = now  # earliest time of a forced attempt, see `Choice.FORCED_AFTER_CALLS`
        if config.server_list.polled:
            self.pending.append(io.Subscribe())

    def call_arrived(self, call):
        """Counts the call, and schedules a forced attempt if too many calls in a row had no leg."""
        call.max_load_ratio = self.readings.draw_bound()
        self.groups.calls.add(call.group)
        self.arrivals.add(self.now)
        if self.calls_since_leg == Choice.FORCED_AFTER_CALLS:
            wait = Choice.FORCED_AFTER_TIME + SeededRandom(self.rng.seed + self.last_leg_at).below(SECOND)
            self.forced_attempt_at = self.last_leg_at + wait

    def leg_deadline(self, call):
        """The time at which the next leg times out; 0 if there is no time for one."""
        # The answer must reach the client before its guard time ends, even if a timer tick is late.
        last = call.guard - 2 * self.settings.tick
        if last <= self.now:
            return 0
        if len(call.legs) + 1 >= self.settings.limits.max_legs or self.shared_dependency.recovery_limit:
            return last
        # A server that takes calls without answering costs one leg instead of the whole call.
        return min(last, self.now + call.type.setup_target)

    def retry_after(self):
        """After how long a rejected client may retry, with random jitter so that not all retry at once.

        0: the rejection does not say.
        """
        half = self.settings.limits.max_retry_after // 2 if self.settings.limits.may_retry_after else 0
        return half + self.rng.below(half + 1)

    def load_of_new(self, call, host):
        """(weight of a new leg, weight it adds to its server): the mean, until the leg's load is reported."""
        return Loads.MEAN, self.loads.added_by(call, host)

    def leg_established(self, leg):
        """Has the client moved if the server drains already."""
        self.drain_moves.schedule(leg.host)

    def leg_accepted(self, leg):
        """Counts a success of the server, and the call's earlier errors as failures of their servers.

        An error counts against its server only once another server accepts the same call: otherwise calls
        that no server can parse would get every server ejected, one after the other.
        """
        self.record_success(leg.host)
        for other in leg.call.legs:
            if other.ending is Ending.ERROR:
                self.record_failure(other.host, other.ending)

    def leg_ended(self, leg, e):
        """Updates sums, records and health after the end of a leg, whatever its cause."""
        self.sums.add(leg.host, -1, -self.loads.freed_by(leg))
        leg.close(e.ending)
        if e.ending in (Ending.OK, Ending.CANCELLED):
            self.leg_ended_normally(leg, e.cancelled_by_host)
        else:
            self.leg_failed(leg)
        self.membership.drop_gone([leg.host])

    def leg_ended_normally(self, leg, cancelled_by_host):
        """Handles a leg that completed or was cancelled. A draining server may cancel to move its clients."""
        host = leg.host
        self.records.touch(leg.call.key, host, self.now)
        if leg.ending is Ending.CANCELLED and cancelled_by_host:
            self.drain_moves.leg_cancelled(leg)
        if leg.ending is Ending.OK and not leg.accepted:
            self.record_success(host)

    def leg_failed(self, leg):
        """Counts a failure of the server.

        An established connection that breaks counts too: the server is lost, or sheds load.
        """
        host, ending = leg.host, leg.ending
        self.records.drop(leg.call.key, host)
        self.overview.mark_exceptional(host)
        if ending is Ending.TIMEOUT:
            self.timed_out.add(host)
            if len(self.timed_out) >= Health.SHARED_FAULT_SERVERS:
                # A dependency shared by all set-ups, such as a session store, is at fault; retries from all
                # nodes would keep it overloaded.
                host = self.shared_dependency
        if ending not in (Ending.NOT_SENT, Ending.ERROR) and not self.is_isolated_break(host, ending):
            self.record_failure(host, ending)

    def is_isolated_break(self, host, ending):
        """Whether a single connection broke while others stay open on the server.

        A server that is lost or sheds load breaks several within a second.
        """
        if ending not in (Ending.RESET, Ending.CONNECT_FAILED):
            return False
        before, host.last_break_at = host.last_break_at, self.now
        return self.now - before > SECOND and any(leg.accepted for leg in host.legs)

    def record_success(self, host):
        """Counts a set-up that the server answered."""
        host.answers, host.skip_until = host.answers + 1, 0
        self.timed_out.clear()
        self.health.record_success(self.shared_dependency)
        if not self.health.is_slow(host, self.now):
            self.health.record_success(host)

    def record_failure(self, host, ending):
        """Counts a failure of the server, which ejects it unless it is ejected already."""
        self.overview.watched[host] = None
        if self.health.record_failure(host, self.now):
            self.pending.append(
                io.Log(f"{host.name}: {ending.value}, ejected for {host.ejection_time // 1000} ms")
            )

    def client_gave_up(self, call):
        """Cancels the call's legs that are not accepted yet, after the client's guard time."""
        waiting = [leg for leg in call.legs if leg.ending is None and not leg.accepted]
        self.pending += [io.Cancel(call.id, leg.number) for leg in waiting if self.settings.limits.may_cancel]

    # Reports from servers

    def probe_ended(self, host, e):
        """Records the load that a probe reported, or that the server did not answer it."""
        self.readings.record(host, e, self.now)
        self.overview.watched[host] = None

    def load_reported(self, leg, load):
        """Records the work that a connection causes at its server, in microseconds a second."""
        self.loads.record(leg, load)
        self.sums.reweigh(leg, self.loads.weight_of(leg))

    def delay_reported(self, host, delay):
        """Handles a reported message delay, in microseconds.

        A single slow report is taken for a pause; delays that persist or are very long count as overload.
        """
        report = self.health.record_delay(host, delay, self.now)
        self.overview.mark_exceptional(host)
        if report is None:
            return
        if self.overview.slow_share >= Ceilings.FLEET_OVERLOAD_SHARE:
            self.ceilings.fleet_overloaded_at = self.now
        far = self.health.is_far(host, report)
        if far or self.health.is_hung(host, report, self.now):
            # All its calls are moved. A server that is merely far away is not overloaded: no ceiling applies.
            self.health.record_failure(host, self.now)
            host.hung, host.ceiling = True, 0.0 if far else host.ceiling
            self.request_moves(host, delay, "far" if far else "hung", list(host.staying))
        elif self.health.is_overloaded(host, report, self.now):
            self.request_moves(host, delay, "overloaded", list(self.ceilings.cut(host, self.now)))

    def request_moves(self, host, delay, why, leaving):
        """Asks clients of a slow server to reconnect elsewhere, if a move is worth its price."""
        if leaving and self.may_request_moves():
            delay_text = f"messages take {delay // 1000} ms"
            self.pending.append(
                io.Log(f"{host.name}: {delay_text}, {why}: moving {len(leaving)} connections")
            )
            for leg in leaving:
                self.move(leg)

    def may_request_moves(self):
        """Whether a move is worth its price."""
        return self.settings.move_price <= self.MAX_MOVE_PRICE

    def settings_changed(self):
        """Moves clients off draining servers if the price of a move allows it only now."""
        for host in self.membership.hosts.values():
            self.drain_moves.schedule(host)

    # The server list

    def list_updated(self, e):
        """Applies a list update, or schedules the next poll after one that failed."""
        if e.kind is ListUpdateKind.FAILED:
            self.pending.append(io.Timer(self.membership.poll_delay(e.took), "ask"))
            return
        self.membership.failures = 0
        withdrawn, restarted, changed = self.membership.apply_update(e)
        # Dynamic weights arrive every second for every server: rotation, orders and sums stay as they are.
        if not changed:
            return
        for host in restarted:
            host.restart()
        for host in withdrawn:
            self.withdraw(host)
        self.membership.drop_gone(withdrawn)
        up = self.membership.up()
        for host in up:
            host.drain = None
        self.rotation.set_servers(up)
        self.overview.set_servers(up, self.now)

    def withdraw(self, host):
        """Handles a server that gets no new calls; clients of a draining one are moved one by one."""
        self.records.drop_value(host)
        if host.entry.state is HostState.DRAINING:
            self.drain_moves.begin(host)

    def move_next_draining(self):
        """Moves the next client off a draining server."""
        self.drain_moves.move_next()
