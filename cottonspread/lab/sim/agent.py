"""The list of hosts as one node's agent has it: the lab's own book, told late, cut, garbled, begun anew, or at odds with the others'.

The calls are the node's own (`discovery.Discovery.turn`); what is simulated is when an answer comes, and what it holds.
"""
import json
import urllib.parse

from cottonspread.lab.listing import Book

GARBAGE = (b"<html>not found</html>", b"[" * 3000, b'{"generation": "x"}', b"")
NEAR = 300                             # microseconds there and back


class Agent:
    def __init__(self, fleet, name, entries, lag):
        self.fleet, self.world, self.name, self.lag, self.later = fleet, fleet.world, name, lag, 0
        self.book, self.silent, self.garbage, self.process, self.call = Book(entries), 0, 0, None, 0
        self.began, self.due, self.answer, self.told_last = 0, 0, None, 0
        self.knows = {}                      # hosts that were told as freshly started, and when that was told

    # What the world has to tell

    def change(self, name, lifecycle, started_ms, entry):
        """A change comes here in its own time, and never before an earlier one."""
        self.told_last = max(self.told_last, self.world.now + self.lag + self.later)
        self.world.at(self.told_last, self.changed, name, lifecycle, started_ms, entry)

    def changed(self, name, lifecycle, started_ms, entry):
        self.book.change(name, lifecycle, started_ms, self.book.entries.get(name) or entry)
        self.look()

    def weigh(self, held):
        self.book.weigh(held)
        self.look()

    def cut(self, span):
        self.silent = max(self.silent, self.world.now + span)
        self.world.at(self.silent, self.look)

    def begin_anew(self):
        self.book.begin_anew()
        if self.process is not None:
            self.fail(self.call, ConnectionResetError("begun anew"))

    # The calls of the process that follows

    def follow(self, process):
        self.process, self.call = process, self.call + 1
        process.discovery.http = process.discovery.target = self

    def wanted(self, process):
        process.discovery.wanted.set()
        if self.process is process:
            self.ask()

    def ask(self):
        """The process makes its next call."""
        self.call += 1
        self.began, self.answer = self.world.now, None
        found = self.process.discovery
        wait = 2.0 if found.whole else found.WATCH_MS / 1000 + found.SPARE
        self.due = self.world.now + (0 if found.whole else found.WATCH_MS * 1000)
        self.world.after(round(wait * 1e6), self.fail, self.call, TimeoutError("the answer takes too long"))
        if not found.whole:
            self.world.at(self.due, self.look, self.call)
        self.look(self.call)

    def look(self, call=None):
        """Whether there is an answer to the call that is out."""
        process = self.process
        if process is None or process.dead or call not in (None, self.call) or self.world.now < self.silent:
            return
        found = process.discovery
        if self.world.now >= self.due or found.version != self.book.version or self.garbage:
            self.world.after(NEAR, process.alive, self.turn, self.call)

    def fail(self, call, fault):
        if call == self.call and self.process is not None:
            self.answer = fault
            self.process.alive(self.turn, call)

    def turn(self, call):
        """The answer is there; `get` gives it."""
        process = self.process
        if call != self.call or process is None or process.dead or not process.discovery.wanted.is_set():
            return
        if self.answer is None and self.world.now < self.silent:
            return
        self.call += 1
        pause = process.discovery.turn()
        if process.discovery.wanted.is_set():
            self.world.after(round(pause * 1e6) + 1, process.alive, self.again, process)

    def again(self, process):
        if process is self.process:
            self.ask()

    def get(self, path, wait):
        """In the place of `http.Http`: the body of an answer."""
        if self.answer is not None:
            raise self.answer
        if self.garbage:
            self.garbage -= 1
            return GARBAGE[self.garbage % len(GARBAGE)]
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        since = int(query["since"][0]) if "since" in query else -1
        said = self.book.whole() if since < 0 or since > self.book.version else self.book.since(since)
        said = said or {"generation": self.book.version, "reset": False, "instances": []}
        hosts = [[e["instanceId"], e["lifecycle"], e["startedAtMs"]] for e in said["instances"]]
        self.fleet.put("list", {"k": "told", "t": self.world.now, "node": self.name, "version": said["generation"],
                                "whole": said["reset"], "hosts": hosts})
        self.fleet.promises.told(self.process, said["reset"], hosts)
        return json.dumps(said).encode()

    def close(self):
        pass

    give_up = close
