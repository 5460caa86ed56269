"""Reads batches of messages from the simulator, passes them to their nodes and writes the replies.

Makes no decisions: those are the policy's.
"""

import sys
import traceback

from cottonspread.config import ConfigurationError, ms_to_us
from cottonspread.drill import codec
from cottonspread.interface import CallArrived
from cottonspread.policy import Balancer


class FramingError(Exception):
    """The input does not consist of well-formed batches."""


def exception_line(text):
    """The message that reports an error to the simulator."""
    return "exception\tMessage=" + " ".join(text.split())


class BatchProcessor:
    """The nodes of this process, by number."""

    def __init__(self, report_error):
        """`report_error(text)` is called for each line that cannot be processed."""
        self.nodes = {}
        self.report_error = report_error

    def process(self, clock, lines):
        """Processes one batch and returns the lines of the reply."""
        try:
            now, serial = ms_to_us(clock["Now"]), clock["serial"]
        except (KeyError, ValueError) as error:
            raise FramingError(f"clock line without a valid time or serial: {error!r}") from error
        replies, node, last_node, index = [], None, None, 0
        while index < len(lines):
            line, first = lines[index], index
            index += 1
            actions = []
            try:
                name, fields = codec.split(line)
                entries = []
                while name == "view" and index < len(lines) and lines[index].startswith("item"):
                    index += 1
                    entries.append(codec.split(lines[index - 1])[1])
                if name == "instance":
                    node = int(fields["Node"])
                    continue
                actions = self.handle(now, node, name, fields, entries)
            except (codec.DecodeError, KeyError, ValueError) as error:
                self.report_error(f"batch {serial} line {first + 1}: {error}")
            if actions and node != last_node:
                replies.append(f"by\tNode={node}")
                last_node = node
            replies += actions
        return replies + [f"end\tserial={serial}"]

    def handle(self, now, node, name, fields, entries):
        """Passes one message to its node and returns the lines of its actions."""
        if name == "killed":
            self.nodes.pop(node, None)
            return []
        if name == "begin":
            try:
                self.nodes[node] = Balancer(now, codec.read_begin(fields))
            except ConfigurationError as error:
                self.report_error(str(error))
                return [exception_line(str(error))]
            return [codec.write(a) for a in self.nodes[node].actions()]
        event = codec.read_list(fields, entries) if name == "view" else codec.read(name, fields)
        if event is None or node not in self.nodes:
            return []
        if isinstance(event, CallArrived) and not 0 <= event.type < len(self.nodes[node].settings.types):
            raise codec.DecodeError(f"{name}: no traffic type {event.type}")
        try:
            return [codec.write(a) for a in self.nodes[node].handle(now, event)]
        except Exception as error:  # a bug in the policy: report it, which ends the simulation
            self.report_error(traceback.format_exc())
            return [exception_line(f"{type(error).__name__}: {error}")]


def serve(source, sink, report_error):
    """Answers every batch from `source` on `sink`; returns the exit code, 2 after a framing error."""
    processor, clock, lines = BatchProcessor(report_error), None, []
    try:
        for raw_line in source:
            line = raw_line.rstrip("\r\n")
            name = line.partition("\t")[0]
            if name == "clock" and clock is None:
                clock, lines = codec.split(line)[1], []
            elif name == "clock":
                raise FramingError("a clock line inside a batch")
            elif not line:
                continue
            elif clock is None:
                raise FramingError(f"no clock line before {name!r}")
            elif name == "go":
                sink.write("\n".join(processor.process(clock, lines)) + "\n")
                sink.flush()
                clock = None
            else:
                lines.append(line)
        if clock is not None:
            raise FramingError("input ends inside a batch")
    except (FramingError, codec.DecodeError) as error:
        report_error(f"invalid framing: {error}")
        return 2
    return 0


def main():
    """Serves standard input; returns the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    sys.stdout.reconfigure(encoding="utf-8")
    return serve(sys.stdin, sys.stdout, lambda text: print(text, file=sys.stderr, flush=True))
