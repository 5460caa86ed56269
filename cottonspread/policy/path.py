"""The path of a call, and the node that takes all events.

Make one `Balancer(now, config)` for each node, pass every event to `handle(now, event)` and carry out the
actions it returns, in order; `actions()` gives what the start asks for. Times: microseconds of the front's
clock; nothing here reads a clock, a file or the network. The ordinary path of a call is `Balancer.path`; each
exception to it stands with the failure that it prevents.
"""

from collections import deque

from cottonspread import interface as io
from cottonspread.driver import Driver
from cottonspread.interface import Ending, HostState, ListUpdateKind
from cottonspread.policy.ceilings import Ceilings
from cottonspread.policy.choice import Choice
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
    """Every decision of one node, from events to actions."""

    MAX_MOVE_PRICE = 0.3  # part of a call's result; dearer moves are not asked for

    def path(self, call):
        """A call from arrival to its final answer: yields what is to be done, is resumed with the result."""
        if call.legs:  # open already, when this node started
            yield None
        while len(call.legs) < min(call.max_legs, self.settings.limits.max_legs) and may_retry(
            call, self.now
        ):
            until = self.leg_deadline(call)
            host = Choice(self, call).host() if until else None
            if host is None:
                break
            # What other nodes put on a server is not in this one's counts: a connection or none on each.
            if self.readings.needs_probe(call, host, self.now):
                call.probes, call.probed_host = call.probes + 1, host
                yield io.Probe(host.name)
                continue  # chosen again, with what the probe told
            self.records.put(call.key, host, self.now)
            result = yield io.Send(call.id, host.name, until, deduplicated_until(call))
            if isinstance(result, io.LegAccepted):
                result = yield None  # it stands; its end closes the call
            if result.ending is Ending.NOT_SENT:
                break  # there is no time or no leg left for it
        if may_reject(call):
            yield io.Reject(call.id, self.retry_after())
        else:
            yield io.Release(call.id)

    def __init__(self, now, config):
        settings, rng = Settings(config, SlowStart.DEFAULT_NODES), SeededRandom(config.seed)
        super().__init__(now, settings, Membership(rng, settings, config.dynamic_weights), Records())
        self.rng, self.groups, self.loads = rng, Groups(), Loads()
        self.arrivals = SlidingCount(SECOND // 4, 64)  # calls, over up to 16 s
        self.readings, self.rotation = Readings(rng, settings), Rotation(rng)
        self.health, self.slow_start = Health(settings), SlowStart(rng, settings)
        self.ceilings = Ceilings(self.loads, rng, settings)
        self.overview = Overview(self)
        self.timed_out = set()  # servers whose set-ups timed out since one was answered
        self.draining_legs = deque()  # legs at servers that drain
        self.forced_attempt_at = now  # see `Choice`
        if config.server_list.polled:
            self.pending.append(io.Subscribe())

    def call_arrived(self, call):
        """A call has arrived."""
        call.max_load_ratio = self.readings.draw_bound()
        self.groups.calls.add(call.group)
        self.arrivals.add(self.now)
        if self.calls_since_leg == Choice.FORCED_AFTER_CALLS:
            wait = Choice.FORCED_AFTER_TIME + SeededRandom(self.rng.seed + self.last_leg_at).below(SECOND)
            self.forced_attempt_at = self.last_leg_at + wait

    def leg_deadline(self, call):
        """The time-out of the next leg; 0 if there is no time for one."""
        # Answered before the client gives up, also if the tick is late.
        last = call.guard - 2 * self.settings.tick
        if last <= self.now:
            return 0
        if len(call.legs) + 1 >= self.settings.limits.max_legs or self.shared_dependency.recovery_limit:
            return last
        # A server that takes calls and answers none costs one leg and not the call.
        return min(last, self.now + call.type.setup_target)

    def retry_after(self):
        """When a rejected client may come back, drawn so that not all come at once; 0: not said."""
        half = self.settings.limits.max_retry_after // 2 if self.settings.limits.may_retry_after else 0
        return half + self.rng.below(half + 1)

    def load_of_new(self, call, host):
        """What a call adds at the server, of which its own leg is a mean one until its load is told."""
        return Loads.MEAN, self.loads.added_by(call, host)

    def leg_accepted(self, leg):
        """The server has taken the call. It is to blame for an error once another takes the same call: calls
        that no server could read, one after the other, had all servers set aside."""
        self.record_success(leg.host)
        for other in leg.call.legs:
            if other.ending is Ending.ERROR:
                self.record_failure(other.host, other.ending)

    def leg_ended(self, leg, ending):
        """A leg has ended, whichever way."""
        self.sums.add(leg.host, -1, -self.loads.freed_by(leg))
        leg.close(ending)
        if ending in (Ending.OK, Ending.CANCELLED):
            self.leg_ended_normally(leg)
        else:
            self.leg_failed(leg)
        self.membership.drop_gone([leg.host])

    def leg_ended_normally(self, leg):
        """The call went its way, or a side had it called off; a server that drains may do so by itself."""
        host = leg.host
        self.records.touch(leg.call.key, host, self.now)
        host.moves_own_clients |= leg.ending is Ending.CANCELLED and not (leg.move_requested or host.up)
        if leg.ending is Ending.OK and not leg.accepted:
            self.record_success(host)

    def leg_failed(self, leg):
        """A standing one that breaks counts too: the server is lost, or sheds load."""
        host, ending = leg.host, leg.ending
        self.records.drop(leg.call.key, host)
        self.overview.mark_exceptional(host)
        if ending is Ending.TIMEOUT:
            self.timed_out.add(host)
            if len(self.timed_out) >= Health.SHARED_FAULT_SERVERS:
                # What all set-ups need is to blame: legs sent again by all nodes keep a session store jammed.
                host = self.shared_dependency
        if ending not in (Ending.NOT_SENT, Ending.ERROR) and not self.is_isolated_break(host, ending):
            self.record_failure(host, ending)

    def is_isolated_break(self, host, ending):
        """One that breaks while others stand was cut by itself: a server lost, or shedding, breaks more."""
        if ending not in (Ending.RESET, Ending.CONNECT_FAILED):
            return False
        before, host.last_break_at = host.last_break_at, self.now
        return self.now - before > SECOND and any(leg.accepted for leg in host.legs)

    def record_success(self, host):
        """A server has answered a set-up."""
        host.answers, host.skip_until = host.answers + 1, 0
        self.timed_out.clear()
        self.health.record_success(self.shared_dependency)
        if not self.health.is_slow(host, self.now):
            self.health.record_success(host)

    def record_failure(self, host, ending):
        """A server is in trouble."""
        self.overview.watched[host] = None
        if self.health.record_failure(host, self.now):
            self.pending.append(
                io.Log(f"{host.name}: {ending.value}, aside for {host.ejection_time // 1000} ms")
            )

    def client_gave_up(self, call):
        """The client has given up: legs not accepted are called off."""
        waiting = [leg for leg in call.legs if leg.ending is None and not leg.accepted]
        self.pending += [io.Cancel(call.id, leg.number) for leg in waiting if self.settings.limits.may_cancel]

    # What servers tell

    def probe_ended(self, host, e):
        """What a probe tells of its server, or its silence."""
        self.readings.record(host, e, self.now)
        self.overview.watched[host] = None

    def load_reported(self, leg, load):
        """What a connection costs its server."""
        self.loads.record(leg, load)
        self.sums.reweigh(leg, self.loads.weight_of(leg))

    def delay_reported(self, host, delay):
        """Messages take long at a server: one pause is passed over; what lasts, or is huge, is overload."""
        report = self.health.record_delay(host, delay, self.now)
        self.overview.mark_exceptional(host)
        if report is None:
            return
        if self.overview.slow_share >= Ceilings.FLEET_OVERLOAD_SHARE:
            self.ceilings.fleet_overloaded_at = self.now
        far = self.health.is_far(host, report)
        if far or self.health.is_hung(host, report, self.now):
            # It keeps no call, and one that is far no ceiling: it's not overloaded.
            self.health.record_failure(host, self.now)
            host.hung, host.ceiling = True, 0.0 if far else host.ceiling
            self.request_moves(host, delay, "far" if far else "hung", host.staying_legs())
        elif self.health.is_overloaded(host, report, self.now):
            self.request_moves(host, delay, "overloaded", list(self.ceilings.cut(host, self.now)))

    def request_moves(self, host, delay, why, leaving):
        """Asks connections of a slow server to leave, if a move is worth its price."""
        if leaving and self.settings.move_price <= self.MAX_MOVE_PRICE:
            took = f"messages take {delay // 1000} ms"
            self.pending.append(io.Log(f"{host.name}: {took}, {why}: {len(leaving)} asked to leave"))
            for leg in leaving:
                self.move(leg)

    # What the list tells

    def list_updated(self, e):
        """A word from the list, or of an asking that failed."""
        if e.kind is ListUpdateKind.FAILED:
            self.pending.append(io.Timer(self.membership.poll_delay(e.took), "ask"))
            return
        self.membership.failures = 0
        lost, started, new = self.membership.apply_update(e)
        # Weights that move come each second for every server: rotation, orders and sums stay as they are.
        if not new:
            return
        for host in lost:
            self.withdraw(host)
        for host in started:
            host.restart()
        self.membership.drop_gone(lost)
        up = self.membership.up()
        self.rotation.keep(up)
        self.overview.keep(up, self.now)

    def withdraw(self, host):
        """A server takes nothing new. If it drains its clients leave one by one, from half a second on."""
        self.records.drop_value(host)
        leaving = [] if host.draining else [leg for leg in host.legs if leg.accepted]
        host.draining = host.entry.state is HostState.DRAINING
        if not host.draining or self.settings.move_price > self.MAX_MOVE_PRICE:
            return
        for n, leg in enumerate(leaving):
            self.draining_legs.append(leg)
            self.pending.append(io.Timer((n + len(leaving)) * SECOND // 2 // len(leaving), "off"))

    def move_next_draining(self):
        """A server that drains cuts off its clients when it stops, unless it asks them to leave itself."""
        leg = self.draining_legs.popleft()
        if not (leg.ending or leg.move_requested or leg.host.up or leg.host.moves_own_clients):
            self.move(leg)
