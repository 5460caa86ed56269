"""What every process of a run has in common: its plan, the start that all share, and its end."""

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
    """One process.

    Says `ready`, waits for `begin T` (monotonic microseconds), ends at
    `end`, SIGTERM or when its parent is gone.
    """

    kind = ""

    def __init__(self, path, number):
        self.loop, self.number = Loop(), number
        with open(path, "rb") as file:
            self.plan = msgspec.json.decode(file.read(), type=plans.Plan)
        self.record = Record(os.path.join(os.path.dirname(path), f"{self.kind}-{number}.jsonl"))
        self.start = 0
        signal.signal(signal.SIGTERM, lambda *_: self.loop.stop())
        # a terminal's reaches the whole group: the runner decides
        signal.signal(signal.SIGINT, signal.SIG_IGN)

    def main(self):
        try:
            self.prepare()
        except OSError as fault:
            send_to_parent(f"fault {fault}")
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
        if words[0] == "begin":
            self.start = int(words[1])
            self.begin()
            self.loop.at(self.start, self.report_counts)
        elif words[0] == "end":
            self.loop.stop()
        else:
            self.on_command(words)

    def report_counts(self):
        """Once a second: what was seen so far goes to disk, and counts to the runner."""
        self.record.flush()
        counts = self.counts()
        if counts:
            try:
                send_to_parent("counts " + json.dumps(counts))
            except BrokenPipeError:
                self.loop.stop()
                sys.stdout = open(os.devnull, "w")  # noqa: SIM115  it stays open until the process ends
        self.loop.at(now() + 1_000_000, self.report_counts)

    # A part's own

    def prepare(self):
        """Before `ready`: sockets. OSError ends the process with its text."""

    def begin(self):
        """`self.start` is known."""

    def on_command(self, words):
        pass

    def counts(self):
        return {}

    def finish(self):
        pass
