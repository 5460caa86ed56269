"""The list of hosts as one node's agent has it: the lab's own book, told late, cut, garbled,
begun anew, or at odds with the others'.

The calls are the node's own (`discovery.Discovery.poll`); what is simulated is
when an answer comes, and what it holds.
"""

import json
import urllib.parse

from cottonspread.lab.listing import Book
from cottonspread.lab.sim.world import SECOND

GARBAGE = (b"<html>not found</html>", b"[" * 3000, b'{"generation": "x"}', b"")
ROUND_TRIP = 300  # microseconds there and back


class Agent:
    def __init__(self, fleet, name, entries, lag):
        self.fleet, self.world, self.name, self.lag, self.later = fleet, fleet.world, name, lag, 0
        self.book, self.silent, self.garbage, self.told_last, self.callers = Book(entries), 0, 0, 0, []

    # What the world has to tell

    def schedule_change(self, name, lifecycle, started_ms, entry):
        """A change comes here in its own time, and never before an earlier one."""
        self.told_last = max(self.told_last, self.world.now + self.lag + self.later)
        self.world.at(self.told_last, self.apply_change, name, lifecycle, started_ms, entry)

    def apply_change(self, name, lifecycle, started_ms, entry):
        self.book.change(name, lifecycle, started_ms, self.book.entries.get(name) or entry)
        self.answer_waiting_calls()

    def weigh(self, held):
        self.book.weigh(held)
        self.answer_waiting_calls()

    def cut(self, span):
        self.silent = max(self.silent, self.world.now + span)
        self.world.at(self.silent, self.answer_waiting_calls)

    def begin_anew(self):
        self.book.begin_anew()
        for caller in list(self.callers):
            caller.fail(caller.call, ConnectionResetError("begun anew"))

    def answer_waiting_calls(self):
        self.callers = [one for one in self.callers if not one.process.dead]
        for caller in self.callers:
            caller.answer_if_due()

    def serve(self, process):
        self.callers.append(self.caller(process))
        return self.callers[-1]

    def caller(self, process):
        """The list client's carrier for a process that starts."""
        return Caller(self, process)


class Caller:
    """One process's calls: in the place of `http.HttpClient`."""

    def __init__(self, agent, process):
        self.agent, self.world, self.process, self.call, self.due, self.answer = (
            agent,
            agent.world,
            process,
            0,
            0,
            None,
        )
        process.discovery.http = process.discovery.target = self

    def wanted(self):
        self.process.discovery.enabled.set()
        self.send_request()

    def send_request(self):
        """The next call."""
        self.call += 1
        found, self.answer = self.process.discovery, None
        _, wait = found.next_request()
        self.due = self.world.now + (0 if found.need_full_list else found.WATCH_TIMEOUT_MS * 1000)
        self.world.after(
            round(wait * SECOND), self.fail, self.call, TimeoutError("the answer takes too long")
        )
        self.world.at(self.due, self.answer_if_due, self.call)
        self.answer_if_due()

    def answer_if_due(self, call=None):
        """Whether there is an answer to the call that is out."""
        if call not in (None, self.call) or self.world.now < self.agent.silent:
            return
        agent = self.agent
        if (
            self.world.now >= self.due
            or self.process.discovery.version != agent.book.version
            or agent.garbage
        ):
            self.world.after(ROUND_TRIP, self.process.run_if_alive, self.turn, self.call)

    def fail(self, call, fault):
        if call == self.call:
            self.answer = fault
            self.process.run_if_alive(self.turn, call)

    def turn(self, call):
        """The answer is there; `get` gives it."""
        found = self.process.discovery
        if (
            call != self.call
            or not found.enabled.is_set()
            or self.answer is None
            and self.world.now < self.agent.silent
        ):
            return
        self.call += 1
        pause = self.run_turn()
        if found.enabled.is_set():
            self.world.after(round(pause * SECOND) + 1, self.process.run_if_alive, self.send_request)

    def run_turn(self):
        """The list client's own turn; how many seconds it pauses then."""
        return self.process.discovery.poll()

    def get(self, path, wait):
        """The body of an answer."""
        if self.answer is not None:
            raise self.answer
        return self.body(path)

    def body(self, path):
        """What the list has to say to this call now."""
        agent, book = self.agent, self.agent.book
        if agent.garbage:
            agent.garbage -= 1
            return GARBAGE[agent.garbage % len(GARBAGE)]
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        since = int(query["since"][0]) if "since" in query else -1
        said = book.whole() if since < 0 or since > book.version else book.since(since)
        said = said or {"generation": book.version, "reset": False, "instances": []}
        hosts = [[e["instanceId"], e["lifecycle"], e["startedAtMs"]] for e in said["instances"]]
        agent.fleet.put(
            "list",
            {
                "k": "told",
                "t": self.world.now,
                "node": self.process.node.name,
                "version": said["generation"],
                "whole": said["reset"],
                "hosts": hosts,
            },
        )
        agent.fleet.invariants.told(self.process, said["reset"], hosts)
        return json.dumps(said).encode()

    def close(self):
        pass

    abort = close
