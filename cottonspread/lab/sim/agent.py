"""The host list as a node's discovery agent serves it.

It is the lab's own list, delayed, cut off, garbled, restarted, or contradicting other agents. Requests come
from the node's own list client (`discovery.Discovery.poll`); only the arrival and content of answers are
simulated.
"""

import json
import urllib.parse

from cottonspread.lab.listing import HostList
from cottonspread.lab.sim.world import SECOND

GARBAGE_BODIES = (b"<html>not found</html>", b"[" * 3000, b'{"generation": "x"}', b"")
ROUND_TRIP = 300  # microseconds between a node and its agent


class Agent:
    """One agent with its copy of the list; several nodes may share it."""

    def __init__(self, fleet, name, entries, lag):
        """`lag`: microseconds that a change takes to arrive here."""
        self.fleet, self.world, self.name, self.lag, self.extra_lag = fleet, fleet.world, name, lag, 0
        self.host_list, self.silent_until, self.garbage_left, self.last_change_at, self.callers = (
            HostList(entries),
            0,
            0,
            0,
            [],
        )

    # Changes and faults

    def schedule_change(self, name, lifecycle, started_ms, entry):
        """Schedules a change of the list after the agent's lag, never before an earlier change."""
        self.last_change_at = max(self.last_change_at, self.world.now + self.lag + self.extra_lag)
        self.world.at(self.last_change_at, self.apply_change, name, lifecycle, started_ms, entry)

    def apply_change(self, name, lifecycle, started_ms, entry):
        """Applies a change to the agent's list and answers waiting calls."""
        self.host_list.change(name, lifecycle, started_ms, self.host_list.entries.get(name) or entry)
        self.answer_waiting_calls()

    def update_weights(self, usage):
        """Updates the hosts' weights and answers waiting calls.

        `usage`: (size, connections a core) by host.
        """
        self.host_list.set_weights(usage)
        self.answer_waiting_calls()

    def go_silent(self, span):
        """Answers nothing for `span` microseconds."""
        self.silent_until = max(self.silent_until, self.world.now + span)
        self.world.at(self.silent_until, self.answer_waiting_calls)

    def restart(self):
        """Restarts the list with the same hosts at a lower version; waiting calls fail."""
        self.host_list.restart()
        for caller in list(self.callers):
            caller.fail(caller.call, ConnectionResetError("list restarted"))

    def answer_waiting_calls(self):
        """Answers the waiting calls for which there is an answer, and drops those of dead processes."""
        self.callers = [caller for caller in self.callers if not caller.process.dead]
        for caller in self.callers:
            caller.answer_if_due()

    def attach(self, process):
        """Connects a process's list client to this agent and returns its caller."""
        self.callers.append(self.new_caller(process))
        return self.callers[-1]

    def new_caller(self, process):
        """Creates the transport of a starting process's list client."""
        return Caller(self, process)


class Caller:
    """One process's calls to its agent, in place of `http.HttpClient`."""

    def __init__(self, agent, process):
        """Replaces the HTTP client of the process's `Discovery`."""
        self.agent, self.world, self.process, self.call, self.due, self.answer = (
            agent,
            agent.world,
            process,
            0,
            0,
            None,
        )
        process.discovery.http = process.discovery.target = self

    def follow_list(self):
        """Starts to follow the list."""
        self.process.discovery.enabled.set()
        self.send_request()

    def send_request(self):
        """Sends the next request."""
        self.call += 1
        discovery, self.answer = self.process.discovery, None
        _, wait = discovery.next_request()
        self.due = self.world.now + (0 if discovery.need_full_list else discovery.WATCH_TIMEOUT_MS * 1000)
        self.world.after(round(wait * SECOND), self.fail, self.call, TimeoutError("no answer in time"))
        self.world.at(self.due, self.answer_if_due, self.call)
        self.answer_if_due()

    def answer_if_due(self, call=None):
        """Answers the waiting request if its time is over or the list has changed."""
        if call not in (None, self.call) or self.world.now < self.agent.silent_until:
            return
        agent = self.agent
        if (
            self.world.now >= self.due
            or self.process.discovery.version != agent.host_list.version
            or agent.garbage_left
        ):
            self.world.after(ROUND_TRIP, self.process.run_if_alive, self.handle_answer, self.call)

    def fail(self, call, error):
        """Fails request number `call` with `error`, unless it has been answered."""
        if call == self.call:
            self.answer = error
            self.process.run_if_alive(self.handle_answer, call)

    def handle_answer(self, call):
        """Passes an answer to the list client, which reads it through `get`."""
        discovery = self.process.discovery
        if (
            call != self.call
            or not discovery.enabled.is_set()
            or self.answer is None
            and self.world.now < self.agent.silent_until
        ):
            return
        self.call += 1
        pause = self.poll_list()
        if discovery.enabled.is_set():
            self.world.after(round(pause * SECOND) + 1, self.process.run_if_alive, self.send_request)

    def poll_list(self):
        """Runs one poll of the list client; returns the seconds that it waits before the next one."""
        return self.process.discovery.poll()

    def get(self, path, wait):
        """Returns the body of an answer, or raises the failure of the call."""
        if self.answer is not None:
            raise self.answer
        return self.body(path)

    def body(self, path):
        """Returns the list's answer to this request."""
        agent, host_list = self.agent, self.agent.host_list
        if agent.garbage_left:
            agent.garbage_left -= 1
            return GARBAGE_BODIES[agent.garbage_left % len(GARBAGE_BODIES)]
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        since = int(query["since"][0]) if "since" in query else -1
        answer = (
            host_list.full_list()
            if since < 0 or since > host_list.version
            else host_list.changes_since(since)
        )
        answer = answer or {"generation": host_list.version, "reset": False, "instances": []}
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
        agent.fleet.invariants.on_list_answer(self.process, answer["reset"], hosts)
        return json.dumps(answer).encode()

    def close(self):
        """Does nothing: there is no socket."""
        pass

    abort = close
