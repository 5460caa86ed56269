"""How one piece of work is measured: processor time of this thread, lines of code run, memory taken.

Lines are counted by the interpreter's trace hook, each turn of a loop anew. They are the same in every run
with the same seed, whatever else the machine does, and grow as the work does.
"""

import gc
import sys
import time
import tracemalloc
from dataclasses import dataclass

MICROSECOND = 1000  # nanoseconds


def processor_time(work):
    """Runs `work()`; returns microseconds of processor time that this thread took for it."""
    started = time.thread_time_ns()
    work()
    return (time.thread_time_ns() - started) / MICROSECOND


def lines_run(work):
    """Runs `work()`; returns how many lines of Python code it ran, each turn of a loop counted.

    The garbage collector is off meanwhile: what it calls in the midst of the work is Python code too.
    """
    count, collects = 0, gc.isenabled()

    def on_event(frame, event, argument):
        nonlocal count
        count += event == "line"
        return on_event

    before = sys.gettrace()
    gc.disable()
    sys.settrace(on_event)
    try:
        work()
    finally:
        sys.settrace(before)
        if collects:
            gc.enable()
    return count


def memory_taken(build):
    """Runs `build()`; returns (what it returned, bytes of memory that it left allocated)."""
    tracemalloc.start()
    try:
        built = build()
        return built, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@dataclass
class Cost:
    """What one kind of work cost in several plays."""

    microseconds: list
    lines: list

    @classmethod
    def measure(cls, tasks):
        """Measures each of `works`: every other one by time, the others by lines run.

        A work is a callable, or has `ready()`, which does what comes before, unmeasured, and returns one.
        """
        microseconds, lines = [], []
        for n, one in enumerate(tasks):
            work = one.prepare() if hasattr(one, "prepare") else one
            if n % 2:
                lines.append(lines_run(work))
            else:
                microseconds.append(processor_time(work))
        return cls(microseconds, lines)

    @property
    def median(self):
        """Microseconds, the middle play."""
        return sorted(self.microseconds)[len(self.microseconds) // 2]

    @property
    def longest(self):
        """Microseconds, the longest play."""
        return max(self.microseconds)

    @property
    def max_lines(self):
        """Lines run in the play that ran most."""
        return max(self.lines)
