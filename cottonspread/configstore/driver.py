"""The publisher's I/O shell: one run in the calling thread, with calls in the threads of `callers`."""

import os
import queue
import random
from collections.abc import Callable

from cottonspread.configstore import messages as m
from cottonspread.configstore import publisher as core
from cottonspread.configstore.callers import CallError, Callers, now

MAX_WAIT_S = 1.0
"""Maximum seconds that a run waits for the next event."""


def run(replicas: tuple[str, ...], command: core.Command, progress: Callable) -> core.Done:
    """Executes a command to its end; calls `progress` with each `Progress`."""
    publisher = core.Publisher(replicas, command, random.Random(os.urandom(8)).random)
    callers, inbox = Callers(), queue.SimpleQueue()

    def start_call(effect: core.Call) -> None:
        def done(outcome):
            if isinstance(outcome, CallError):
                inbox.put(core.CallFailed(effect.call, str(outcome)))
            else:
                inbox.put(core.Replied(effect.call, outcome))

        callers.call(effect.replica, effect.message, effect.deadline, done)

    event = core.Started()
    try:
        while True:
            for effect in publisher.step(now(), event):
                match effect:
                    case core.Call():
                        start_call(effect)
                    case core.Progress():
                        progress(effect)
                    case core.Done():
                        return effect
            event = next_event(inbox, publisher.wake_at)
    finally:
        callers.stop()


def next_event(inbox: queue.SimpleQueue, wake_at: int) -> core.Event:
    """Returns the next event, or a tick at `wake_at`."""
    try:
        return inbox.get(timeout=max(0.0, min(MAX_WAIT_S, (wake_at - now()) / m.SECOND)))
    except queue.Empty:
        return core.Tick()


def read_states(replicas: tuple[str, ...], wait: float) -> dict:
    """Returns each replica's state with all reports, or its CallError, within about `wait` seconds."""
    callers, inbox, outcomes = Callers(), queue.SimpleQueue(), {}
    deadline = now() + round(wait * m.SECOND)
    try:
        for name in replicas:
            message = m.ReadState(reports=True)
            callers.call(name, message, deadline, lambda outcome, name=name: inbox.put((name, outcome)))
        while len(outcomes) < len(replicas) and now() < deadline + m.SECOND:
            try:
                name, outcome = inbox.get(timeout=wait + 1)
            except queue.Empty:
                break
            outcomes[name] = outcome
    finally:
        callers.stop()
    return {name: outcomes.get(name, CallError("no reply")) for name in replicas}
