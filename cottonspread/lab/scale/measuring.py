"""Cost of a piece of work: processor time of this thread, lines of Python executed, memory allocated.

Lines are counted by the interpreter's trace hook, each iteration of a loop anew. The count is the same in
every run with the same seed, however busy the machine is, and grows with the work.
"""

import gc
import sys
import time
import tracemalloc
from dataclasses import dataclass

MICROSECOND = 1000  # nanoseconds


def processor_time(work):
    """Runs `work()`; returns microseconds of processor time that this thread used for it."""
    started = time.thread_time_ns()
    work()
    return (time.thread_time_ns() - started) / MICROSECOND


def lines_run(work):
    """Runs `work()`; returns how many lines of Python it executed, each loop iteration counted.

    The garbage collector is off meanwhile: its callbacks and finalizers are Python code too.
    """
    count, was_enabled = 0, gc.isenabled()

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
        if was_enabled:
            gc.enable()
    return count


def memory_taken(build):
    """Runs `build()`; returns (its result, bytes of memory that it left allocated)."""
    tracemalloc.start()
    try:
        built = build()
        return built, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@dataclass
class Cost:
    """What one kind of work cost in several runs."""

    microseconds: list
    lines: list

    @classmethod
    def measure(cls, tasks):
        """Measures each of `tasks`: every other one by time, the others by lines executed.

        A task is a callable, or an object whose `prepare()` does what is not measured and returns one.
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
        """Microseconds of the median run."""
        return sorted(self.microseconds)[len(self.microseconds) // 2]

    @property
    def longest(self):
        """Microseconds of the longest run."""
        return max(self.microseconds)

    @property
    def max_lines(self):
        """Lines executed in the run that executed most."""
        return max(self.lines)
