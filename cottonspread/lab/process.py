"""The base of all of the lab's processes in a run: plan, common start time, and end."""

import json
import os
import signal
import sys

import msgspec

from cottonspread.lab import plan as plans
from cottonspread.lab.loop import Loop, disable_gc, send_to_parent
from cottonspread.lab.record import Record
from cottonspread.lab.wire import now


class LabProcess:
    """One process of a run.

    It writes `ready`, waits for `begin T` (microseconds of the monotonic clock), and exits at `end`, SIGTERM
    or when its standard input is closed.
    """

    kind = ""

    def __init__(self, path, number):
        """`path`: the plan's file; `number`: which of the processes of this kind it is."""
        self.loop, self.number = Loop(), number
        with open(path, "rb") as file:
            self.plan = msgspec.json.decode(file.read(), type=plans.Plan)
        self.record = Record(os.path.join(os.path.dirname(path), f"{self.kind}-{number}.jsonl"))
        self.start = 0
        signal.signal(signal.SIGTERM, lambda *_: self.loop.stop())
        # A terminal sends SIGINT to the whole process group; the runner decides what happens then.
        signal.signal(signal.SIGINT, signal.SIG_IGN)

    def main(self):
        """Runs the process and returns its exit code."""
        try:
            self.prepare()
        except OSError as error:
            send_to_parent(f"fault {error}")
            return 1
        self.loop.read_parent_commands(self.on_parent_command)
        disable_gc()
        send_to_parent("ready")
        try:
            self.loop.run()
        finally:
            self.finish()
            self.record.close()
        return 0

    def on_parent_command(self, words):
        """Handles a command of the runner."""
        if words[0] == "begin":
            self.start = int(words[1])
            self.begin()
            self.loop.at(self.start, self.report_counts)
        elif words[0] == "end":
            self.loop.stop()
        else:
            self.on_command(words)

    def report_counts(self):
        """Once a second: writes the records so far to disk, and sends the counts to the runner."""
        self.record.flush()
        counts = self.counts()
        if counts:
            try:
                send_to_parent("counts " + json.dumps(counts))
            except BrokenPipeError:
                self.loop.stop()
                sys.stdout = open(os.devnull, "w")  # noqa: SIM115  it stays open until the process exits
        self.loop.at(now() + 1_000_000, self.report_counts)

    # What subclasses implement

    def prepare(self):
        """Opens sockets, before `ready`; an OSError ends the process and is reported to the runner."""

    def begin(self):
        """Called once `self.start`, the run's start time, is known."""

    def on_command(self, words):
        """Handles any other command of the runner."""
        pass

    def counts(self):
        """Returns the counts that are sent to the runner every second."""
        return {}

    def finish(self):
        """Called at the end, before the record is closed."""
        pass
