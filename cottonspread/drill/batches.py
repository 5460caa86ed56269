"""Reads batches, keeps the nodes apart, writes the replies. No decisions here."""

import sys
import traceback

from cottonspread.config import ConfigurationError, ms_to_us
from cottonspread.drill import codec
from cottonspread.interface import CallArrived
from cottonspread.policy import Balancer


class FramingError(Exception):
    pass


def exception_line(text):
    return "exception\tMessage=" + " ".join(text.split())


class BatchProcessor:
    def __init__(self, report_error):
        self.nodes = {}
        self.report_error = report_error

    def process(self, clock, lines):
        """The reply to one batch, as lines."""
        try:
            now, serial = ms_to_us(clock["Now"]), clock["serial"]
        except (KeyError, ValueError) as error:
            raise FramingError(f"clock line without a readable time or number: {error!r}") from error
        replies, node, last_node, at = [], None, None, 0
        while at < len(lines):
            line, first = lines[at], at
            at += 1
            actions = []
            try:
                name, fields = codec.split(line)
                entries = []
                while name == "view" and at < len(lines) and lines[at].startswith("item"):
                    at += 1
                    entries.append(codec.split(lines[at - 1])[1])
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
        except Exception as error:  # a fault in the decisions ends the day, in plain sight
            self.report_error(traceback.format_exc())
            return [exception_line(f"{type(error).__name__}: {error}")]


def serve(source, sink, report_error):
    """Answers every batch of `source`; returns the exit code."""
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
        report_error(f"broken framing: {error}")
        return 2
    return 0


def main():
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    sys.stdout.reconfigure(encoding="utf-8")
    return serve(sys.stdin, sys.stdout, lambda text: print(text, file=sys.stderr, flush=True))
