"""Watches the echoes of hosts' messages, and reports delays and loads to the balancer.

A part of the reducer and without side effects like it. What the lines of a host say of its delay is
interpreted by `message_delays`.
"""

from cottonspread import interface as io

SECOND = 1_000_000
ECHO_CHECK_INTERVAL = SECOND // 10  # how often hosts are checked for missing echoes
HANG_DELAY = SECOND // 2  # a healthy host never pauses that long
# A client tolerates 7 s without an echo, counted from the last one, and its next line may be sent up to 2 s
# later. Its connection is moved away from a silent host before that.
ECHO_TIMEOUT = 9 * SECOND // 2


class EchoMonitor:
    """Reports how long the hosts of established connections take over messages, and the loads they tell."""

    def __init__(self, reducer):
        """`reducer`: the reducer that this is a part of."""
        self.reducer = reducer
        self.mean_load = 0.0  # moving average of the reported loads

    def expect(self, leg):
        """Marks a leg and its host as waiting for an echo."""
        leg.host.awaiting_echo.add(leg)
        self.reducer.active_hosts.add(leg.host)

    def load_reported(self, leg, value):
        """Handles a `LOAD` line: a load, or the delay of the host's messages."""
        delays = leg.host.message_delays
        self.reducer.active_hosts.add(leg.host)  # the line may be reinterpreted later
        if self.reducer.host_protocol.sends_delay and self.reducer.host_protocol.load_may_be_delay:
            # If hosts send no loads according to the settings, the line can only be a delay, also the first
            # one of a connection.
            delay = (
                delays.classify(
                    self.reducer.now,
                    leg.signals,
                    value,
                    delays.silence(self.reducer.now, leg.host.awaiting_echo.active())[0],
                    self.mean_load,
                )
                if self.reducer.host_protocol.sends_load
                else delays.accept_delay(self.reducer.now, round(value * 1000))
            )
            self.report_loads(leg.host, delays.misread_loads)
            delays.misread_loads.clear()
            if delay:
                self.reducer.queue_event(io.DelayReported(leg.conn, delay))
            if delay is not None:
                return
        self.report_load(leg, value)

    def report_load(self, leg, value):
        """Records a connection's load and reports it to the balancer."""
        leg.signals.load = value
        self.mean_load += (value - self.mean_load) / 50 if self.mean_load else value
        if self.reducer.host_protocol.sends_load:
            self.reducer.queue_event(io.LoadReported(leg.conn, value))

    def report_loads(self, host, loads):
        """Reports loads that were recognised late. `loads`: (signals of the connection, load)."""
        for signals, load in loads:
            for leg in [leg for leg in host.legs if leg.signals is signals]:
                self.report_load(leg, load)

    def received(self, leg, sent_at, received_at):
        """Reports the delay of an echo to the balancer.

        Late echoes are reported once a second, then the first one that is in time again. `sent_at`: when its
        line was sent, or None; `received_at`: when the echo arrived.
        """
        delays = leg.host.message_delays
        if sent_at is None or not self.reducer.host_protocol.sends_delay:
            return
        delays.last_echoed = max(delays.last_echoed, sent_at)
        delay = max(0, received_at - sent_at)
        late = delay > self.reducer.slow_threshold
        if (
            late
            and self.reducer.now - delays.reported_at >= SECOND
            or delays.reported_slow
            and not late
            and not delays.reported_delay
            and (
                delays.silence(self.reducer.now, leg.host.awaiting_echo.active())[0]
                <= self.reducer.slow_threshold
            )
        ):
            self.report_delay(leg, delay, late)

    def report_delay(self, leg, delay, slow):
        """Reports a host's message delay. `slow`: it exceeds the threshold."""
        leg.host.message_delays.reported_at, leg.host.message_delays.reported_slow = self.reducer.now, slow
        self.reducer.queue_event(io.DelayReported(leg.conn, delay))

    def check(self):
        """Checks all hosts for missing echoes: the time without one is a lower bound on the message delay."""
        self.reducer.call_later(ECHO_CHECK_INTERVAL, self.check)
        # an echo may have waited unread for this long
        late = self.reducer.lateness.recent_max(self.reducer.now)
        for host in [host for host in self.reducer.active_hosts.active() if host.legs]:
            # While a client reads nothing its host is not read either, so echoes are missing through no fault
            # of the host.
            legs = [leg for leg in host.awaiting_echo.active() if not leg.conn.client.writing_since]
            silence, leg = host.message_delays.silence(self.reducer.now, legs)
            silence = max(0, silence - late)
            loads = host.message_delays.resolved_loads(self.reducer.now)
            hang = (
                host.message_delays.confirmed_hang(self.reducer.now, silence)
                if self.reducer.host_protocol.sends_delay
                else None
            )
            if hang:  # a line that was taken for a load was a delay
                loads.append(hang[1:])
            self.report_loads(host, loads)
            if hang:
                self.report_delay(leg, hang[0], True)
            # A silence is reported when it begins, at half a second, where the balancer recognises a hang,
            # and then once a second.
            elif self.reducer.host_protocol.sends_delay and silence >= 3 * self.reducer.slow_threshold:
                # how long the silence had lasted at the last report
                silence_at_report = host.message_delays.reported_at - (self.reducer.now - silence)
                if (
                    self.reducer.now - host.message_delays.reported_at >= SECOND
                    or 0 <= silence_at_report < HANG_DELAY <= silence
                ):
                    self.report_delay(leg, silence, True)
            for leg in legs:
                if (
                    leg.signals.awaiting_echo
                    and self.reducer.now - leg.signals.awaiting_echo[0] - min(late, SECOND) > ECHO_TIMEOUT
                ):
                    self.reducer.move(leg.conn, "silent-host")
