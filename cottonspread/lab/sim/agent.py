"""The list of hosts as one node's agent has it: the lab's own book, told late, cut, garbled,
begun anew, or at odds with the others'.

The calls are the node's own (`discovery.Discovery.turn`); what is simulated is
when an answer comes, and what it holds.
"""

import json
import urllib.parse

from cottonspread.lab.listing import Book
from cottonspread.lab.sim.world import SECOND

GARBAGE_BODIES = (b"<html>not found</html>", b"[" * 3000, b'{"generation": "x"}', b"")
ROUND_TRIP = 300  # microseconds there and back


class Agent:
    def __init__(self, fleet, name, entries, lag):
        self.fleet, self.world, self.name, self.lag, self.extra_lag = fleet, fleet.world, name, lag, 0
        self.book, self.silent_until, self.garbage_left, self.last_change_at, self.callers = (
            Book(entries),
            0,
            0,
            0,
            [],
        )

    # What the world has to tell

    def schedule_change(self, name, lifecycle, started_ms, entry):
        """A change comes here in its own time, and never before an earlier one."""
        self.last_change_at = max(self.last_change_at, self.world.now + self.lag + self.extra_lag)
        self.world.at(self.last_change_at, self.apply_change, name, lifecycle, started_ms, entry)

    def apply_change(self, name, lifecycle, started_ms, entry):
        self.book.change(name, lifecycle, started_ms, self.book.entries.get(name) or entry)
        self.answer_waiting_calls()

    def update_weights(self, held):
        self.book.weigh(held)
        self.answer_waiting_calls()

    def go_silent(self, span):
        self.silent_until = max(self.silent_until, self.world.now + span)
        self.world.at(self.silent_until, self.answer_waiting_calls)

    def restart(self):
        self.book.begin_anew()
        for caller in list(self.callers):
            caller.fail(caller.call, ConnectionResetError("begun anew"))

    def answer_waiting_calls(self):
        self.callers = [one for one in self.callers if not one.process.dead]
        for caller in self.callers:
            caller.answer_if_due()

    def attach(self, process):
        self.callers.append(self.caller(process))
        return self.callers[-1]

    def caller(self, process):
        """The list client's carrier for a process that starts."""
        return Caller(self, process)


class Caller:
    """One process's calls: in the place of `http.Http`."""

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
        self.process.discovery.wanted.set()
        self.send_request()

    def send_request(self):
        """The next call."""
        self.call += 1
        discovery, self.answer = self.process.discovery, None
        _, wait = discovery.call()
        self.due = self.world.now + (0 if discovery.whole else discovery.WATCH_MS * 1000)
        self.world.after(
            round(wait * SECOND), self.fail, self.call, TimeoutError("the answer takes too long")
        )
        self.world.at(self.due, self.answer_if_due, self.call)
        self.answer_if_due()

    def answer_if_due(self, call=None):
        """Whether there is an answer to the call that is out."""
        if call not in (None, self.call) or self.world.now < self.agent.silent_until:
            return
        agent = self.agent
        if (
            self.world.now >= self.due
            or self.process.discovery.version != agent.book.version
            or agent.garbage_left
        ):
            self.world.after(ROUND_TRIP, self.process.run_if_alive, self.handle_answer, self.call)

    def fail(self, call, fault):
        if call == self.call:
            self.answer = fault
            self.process.run_if_alive(self.handle_answer, call)

    def handle_answer(self, call):
        """The answer is there; `get` gives it."""
        discovery = self.process.discovery
        if (
            call != self.call
            or not discovery.wanted.is_set()
            or self.answer is None
            and self.world.now < self.agent.silent_until
        ):
            return
        self.call += 1
        pause = self.run_turn()
        if discovery.wanted.is_set():
            self.world.after(round(pause * SECOND) + 1, self.process.run_if_alive, self.send_request)

    def run_turn(self):
        """The list client's own turn; how many seconds it pauses then."""
        return self.process.discovery.turn()

    def get(self, path, wait):
        """The body of an answer."""
        if self.answer is not None:
            raise self.answer
        return self.body(path)

    def body(self, path):
        """What the list has to say to this call now."""
        agent, book = self.agent, self.agent.book
        if agent.garbage_left:
            agent.garbage_left -= 1
            return GARBAGE_BODIES[agent.garbage_left % len(GARBAGE_BODIES)]
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        since = int(query["since"][0]) if "since" in query else -1
        answer = book.whole() if since < 0 or since > book.version else book.since(since)
        answer = answer or {"generation": book.version, "reset": False, "instances": []}
        hosts = [[e["instanceId"], e["lifecycle"], e["startedAtMs"]] for e in answer["instances"]]
        agent.fleet.add_record(
            "list",
            {
                "k": "told",
                "t": self.world.now,
                "node": self.process.node.name,
                "version": answer["generation"],
                "whole": answer["reset"],
                "hosts": hosts,
            },
        )
        agent.fleet.invariants.told(self.process, answer["reset"], hosts)
        return json.dumps(answer).encode()

    def close(self):
        pass

    give_up = close
