"""The path of a call, and the node that takes all events.

Make one `Balancer(now, begin)` for each node, pass every event to `handle(now, event)` and carry out the
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
from cottonspread.policy.retries import may_go_again, may_reject, remembered_until
from cottonspread.policy.rotation import Rotation
from cottonspread.policy.slow_start import SlowStart
from cottonspread.state import SECOND, SeededRandom, Settings, SlidingCount


class Balancer(Driver):
    """Every decision of one node, from events to actions."""

    DEAREST_MOVE = 0.3  # part of a call's result; dearer moves are not asked for

    def path(self, call):
        """A call from arrival to its final answer: yields what is to be done, is resumed with the result."""
        if call.legs:  # open already, when this node started
            yield None
        while len(call.legs) < min(call.max_legs, self.settings.limits.max_legs) and may_go_again(
            call, self.now
        ):
            until = self.leg_until(call)
            host = Choice(self, call).host() if until else None
            if host is None:
                break
            # What other nodes put on a server is not in this one's counts: a connection or none on each.
            if self.readings.needs_probe(call, host, self.now):
                call.probes, call.probed_host = call.probes + 1, host
                yield io.Probe(host.name)
                continue  # chosen again, with what the probe told
            self.records.put(call.key, host, self.now)
            result = yield io.Send(call.id, host.name, until, remembered_until(call))
            if isinstance(result, io.LegAccepted):
                result = yield None  # it stands; its end closes the call
            if result.ending is Ending.NOT_SENT:
                break  # there is no time or no leg left for it
        if may_reject(call):
            yield io.Reject(call.id, self.retry_after())
        else:
            yield io.Release(call.id)

    def __init__(self, now, begin):
        settings, rng = Settings(begin, SlowStart.DEFAULT_NODES), SeededRandom(begin.seed)
        super().__init__(now, settings, Membership(rng, settings, begin.dynamic_weights), Records())
        self.rng, self.groups, self.loads = rng, Groups(), Loads()
        self.arrived = SlidingCount(SECOND // 4, 64)  # calls, over up to 16 s
        self.readings, self.rotation = Readings(rng, settings), Rotation(rng)
        self.health, self.slow_start = Health(settings), SlowStart(rng, settings)
        self.ceilings = Ceilings(self.loads, rng, settings)
        self.overview = Overview(self)
        self.unanswered = set()  # servers whose set-ups timed out since one was answered
        self.seen_off = deque()  # legs at servers that drain
        self.overdue_at = now  # see `Choice`
        if begin.server_list.polled:
            self.out.append(io.Subscribe())

    def met(self, call):
        """A call has arrived."""
        call.max_load_ratio = self.readings.draw_bound()
        self.groups.calls.add(call.group)
        self.arrived.add(self.now)
        if self.calls_since_leg == Choice.MANY:
            patience = Choice.QUIET + SeededRandom(self.rng.seed + self.last_leg_at).below(SECOND)
            self.overdue_at = self.last_leg_at + patience

    def leg_until(self, call):
        """The time-out of the next leg; 0 if there is no time for one."""
        # Answered before the client gives up, also if the tick is late.
        last = call.guard - 2 * self.settings.tick
        if last <= self.now:
            return 0
        if len(call.legs) + 1 >= self.settings.limits.max_legs or self.way.recovery_limit:
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
        self.good(leg.host)
        for other in leg.call.legs:
            if other.ending is Ending.ERROR:
                self.bad(other.host, other.ending)

    def leg_ended(self, leg, ending):
        """A leg has ended, whichever way."""
        self.sums.add(leg.host, -1, -self.loads.freed_by(leg))
        leg.close(ending)
        if ending in (Ending.OK, Ending.CANCELLED):
            self.ended_well(leg)
        else:
            self.ended_badly(leg)
        self.membership.drop_gone([leg.host])

    def ended_well(self, leg):
        """The call went its way, or a side had it called off; a server that drains may do so by itself."""
        host = leg.host
        self.records.touch(leg.call.key, host, self.now)
        host.moves_own_clients |= leg.ending is Ending.CANCELLED and not (leg.move_requested or host.up)
        if leg.ending is Ending.OK and not leg.accepted:
            self.good(host)

    def ended_badly(self, leg):
        """A standing one that breaks counts too: the server is lost, or sheds load."""
        host, ending = leg.host, leg.ending
        self.records.drop(leg.call.key, host)
        self.overview.mark_exceptional(host)
        if ending is Ending.TIMEOUT:
            self.unanswered.add(host)
            if len(self.unanswered) >= Health.RUN:
                # What all set-ups need is to blame: legs sent again by all nodes keep a session store jammed.
                host = self.way
        if ending not in (Ending.NOT_SENT, Ending.ERROR) and not self.broke_alone(host, ending):
            self.bad(host, ending)

    def broke_alone(self, host, ending):
        """One that breaks while others stand was cut by itself: a server lost, or shedding, breaks more."""
        if ending not in (Ending.RESET, Ending.CONNECT_FAILED):
            return False
        before, host.last_break_at = host.last_break_at, self.now
        return self.now - before > SECOND and any(leg.accepted for leg in host.legs)

    def good(self, host):
        """A server has answered a set-up."""
        host.answers, host.skip_until = host.answers + 1, 0
        self.unanswered.clear()
        self.health.good(self.way)
        if not self.health.is_slow(host, self.now):
            self.health.good(host)

    def bad(self, host, ending):
        """A server is in trouble."""
        self.overview.watched[host] = None
        if self.health.bad(host, self.now):
            self.out.append(io.Log(f"{host.name}: {ending.value}, aside for {host.ejection_time // 1000} ms"))

    def given_up(self, call):
        """The client has given up: legs not accepted are called off."""
        waiting = [leg for leg in call.legs if leg.ending is None and not leg.accepted]
        self.out += [io.Cancel(call.id, leg.number) for leg in waiting if self.settings.limits.may_cancel]

    # What servers tell

    def probe_ended(self, host, e):
        """What a probe tells of its server, or its silence."""
        self.readings.record(host, e, self.now)
        self.overview.watched[host] = None

    def load_told(self, leg, load):
        """What a connection costs its server."""
        self.loads.record(leg, load)
        self.sums.weigh(leg, self.loads.weight_of(leg))

    def delay_told(self, host, delay):
        """Messages take long at a server: one pause is passed over; what lasts, or is huge, is overload."""
        told = self.health.note(host, delay, self.now)
        self.overview.mark_exceptional(host)
        if told is None:
            return
        if self.overview.slow_share >= Ceilings.JAM_SHARE:
            self.ceilings.slow_at = self.now
        far = self.health.far(host, told)
        if far or self.health.hangs(host, told, self.now):
            # It keeps no call, and one that is far no ceiling: it's not overloaded.
            self.health.bad(host, self.now)
            host.hung, host.ceiling = True, 0.0 if far else host.ceiling
            self.relieve(host, delay, "far" if far else "hung", host.staying_legs())
        elif self.health.overloaded(host, told, self.now):
            self.relieve(host, delay, "overloaded", list(self.ceilings.cut(host, self.now)))

    def relieve(self, host, delay, why, leaving):
        """Asks connections of a slow server to leave, if a move is worth its price."""
        if leaving and self.settings.move_price <= self.DEAREST_MOVE:
            took = f"messages take {delay // 1000} ms"
            self.out.append(io.Log(f"{host.name}: {took}, {why}: {len(leaving)} asked to leave"))
            for leg in leaving:
                self.move(leg)

    # What the list tells

    def listed(self, e):
        """A word from the list, or of an asking that failed."""
        if e.kind is ListUpdateKind.FAILED:
            self.out.append(io.Timer(self.membership.wait_to_ask(e.took), "ask"))
            return
        self.membership.failures = 0
        lost, started, new = self.membership.read(e)
        # Weights that move come each second for every server: rotation, orders and sums stay as they are.
        if not new:
            return
        for host in lost:
            self.lose(host)
        for host in started:
            host.restart()
        self.membership.drop_gone(lost)
        up = self.membership.up()
        self.rotation.keep(up)
        self.overview.keep(up, self.now)

    def lose(self, host):
        """A server takes nothing new. If it drains its clients leave one by one, from half a second on."""
        self.records.drop_value(host)
        leaving = [] if host.draining else [leg for leg in host.legs if leg.accepted]
        host.draining = host.entry.state is HostState.DRAINING
        if not host.draining or self.settings.move_price > self.DEAREST_MOVE:
            return
        for n, leg in enumerate(leaving):
            self.seen_off.append(leg)
            self.out.append(io.Timer((n + len(leaving)) * SECOND // 2 // len(leaving), "off"))

    def see_off(self):
        """A server that drains cuts off its clients when it stops, unless it asks them to leave itself."""
        leg = self.seen_off.popleft()
        if not (leg.ending or leg.move_requested or leg.host.up or leg.host.moves_own_clients):
            self.move(leg)
