"""Reads batches, keeps the nodes apart, writes the replies. No decisions here."""

import sys
import traceback

from cottonspread.config import ConfigurationError, ms_to_us
from cottonspread.drill import codec
from cottonspread.interface import CallArrived
from cottonspread.policy import Balancer


class FramingError(Exception):
    pass


def fault(text):
    return "exception\tMessage=" + " ".join(text.split())


class Hosting:
    def __init__(self, complain):
        self.nodes = {}
        self.complain = complain

    def answer(self, clock, lines):
        """The reply to one batch, as lines."""
        try:
            now, serial = ms_to_us(clock["Now"]), clock["serial"]
        except (KeyError, ValueError) as wrong:
            raise FramingError(f"clock line without a readable time or number: {wrong!r}") from wrong
        replies, node, spoke, at = [], None, None, 0
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
                actions = self.event(now, node, name, fields, entries)
            except (codec.DecodeError, KeyError, ValueError) as wrong:
                self.complain(f"batch {serial} line {first + 1}: {wrong}")
            if actions and node != spoke:
                replies.append(f"by\tNode={node}")
                spoke = node
            replies += actions
        return replies + [f"end\tserial={serial}"]

    def event(self, now, node, name, fields, entries):
        if name == "killed":
            self.nodes.pop(node, None)
            return []
        if name == "begin":
            try:
                self.nodes[node] = Balancer(now, codec.read_begin(fields))
            except ConfigurationError as wrong:
                self.complain(str(wrong))
                return [fault(str(wrong))]
            return [codec.write(a) for a in self.nodes[node].actions()]
        event = codec.read_list(fields, entries) if name == "view" else codec.read(name, fields)
        if event is None or node not in self.nodes:
            return []
        if isinstance(event, CallArrived) and not 0 <= event.type < len(self.nodes[node].settings.types):
            raise codec.DecodeError(f"{name}: no traffic type {event.type}")
        try:
            return [codec.write(a) for a in self.nodes[node].handle(now, event)]
        except Exception as wrong:  # a fault in the decisions ends the day, in plain sight
            self.complain(traceback.format_exc())
            return [fault(f"{type(wrong).__name__}: {wrong}")]


def serve(source, sink, complain):
    """Answers every batch of `source`; returns the exit code."""
    hosting, clock, lines = Hosting(complain), None, []
    try:
        for raw in source:
            line = raw.rstrip("\r\n")
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
                sink.write("\n".join(hosting.answer(clock, lines)) + "\n")
                sink.flush()
                clock = None
            else:
                lines.append(line)
        if clock is not None:
            raise FramingError("input ends inside a batch")
    except (FramingError, codec.DecodeError) as wrong:
        complain(f"broken framing: {wrong}")
        return 2
    return 0


def main():
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    sys.stdout.reconfigure(encoding="utf-8")
    return serve(sys.stdin, sys.stdout, lambda text: print(text, file=sys.stderr, flush=True))
