"""Discovery: the list of servers and the watch on it, in a thread of its own."""

import json
import logging
import threading
import time

from cottonspread import interface as io
from cottonspread.net import events
from cottonspread.net.http import HttpClient

log = logging.getLogger("cottonspread.discovery")

STATE_OF_LIFECYCLE = {
    "Ready": io.HostState.UP,
    "Terminating": io.HostState.DRAINING,
    "Gone": io.HostState.GONE,
}


class ListError(ValueError):
    """An answer that is no list of servers."""


def read_entry(one, names, state):
    host, _, port = str(one.get("hostPort")).rpartition(":")
    address = None
    if state is not io.HostState.GONE:  # what is gone needs no address
        if not host or not 0 < int(port) < 65536:
            raise ValueError(f"hostPort: {one.get('hostPort')!r}")
        address = host, int(port)
    weight = float(one.get("weight", 1))
    if not 0 <= weight < 1e15:
        raise ValueError(f"weight: {weight}")
    # A server in a zone that the settings don't name is far from every node.
    return io.Entry(
        str(one["instanceId"]),
        names.zones.get(one.get("zone"), -1),
        names.kinds.get(one.get("machineType"), -1),
        weight,
        int(one.get("cell", 0)),
        round(float(one.get("startedAtMs", 0)) * 1000),
        state,
    ), address


UNREADABLE = KeyError, TypeError, ValueError, AttributeError, OverflowError


def read_list(said, names, news=None, before=None):
    """An answer as JSON: (version, ListUpdate, addresses by server, {server: why its entry is unreadable}).

    An entry that cannot be read costs its own news alone: its server stays as it was told `before`
    (entry and address by server), but that it drains or is gone is taken in, for nothing may go there.
    One never told before is not there yet.
    """
    try:
        version, instances = int(said["generation"]), said["instances"]
        news = news or (io.ListUpdateKind.FULL if said["reset"] else io.ListUpdateKind.CHANGES)
        if not isinstance(instances, list):
            raise TypeError("instances: not a list")
    except UNREADABLE as fault:
        raise ListError(f"{type(fault).__name__}: {fault}") from fault
    entries, addresses, unread = {}, {}, {}
    for one in instances:
        name, state = None, None
        try:
            name, state = str(one["instanceId"]), STATE_OF_LIFECYCLE.get(one.get("lifecycle"))
            if state is None:
                raise ValueError(f"lifecycle: {one.get('lifecycle')!r}")
            if name in entries:  # the later word holds
                unread[name + " again"] = "listed twice"
            entry, address = read_entry(one, names, state)
        except UNREADABLE as fault:
            unread[str(name)] = f"{type(fault).__name__}: {fault}"
            entry, address = (before or {}).get(name, (None, None))
            if entry is None:
                continue
            entry = entry._replace(state=state or entry.state)
        entries[name] = entry
        addresses.pop(name, None)
        if entry.state is not io.HostState.GONE:
            addresses[name] = address
    return version, io.ListUpdate(news, version, tuple(entries.values())), addresses, unread


class Discovery:
    """Follows the list and posts what it tells; a call that fails or hangs costs a pause and no entry.

    A change counts as told 6 s after discovery had it and could be reached, whatever failed in
    between. The longest way to it: a call that went silent just before runs out (WATCH_TIMEOUT_MS +
    WATCH_MARGIN, 3 s), the pause after it (1 s at most, where the list is asked for as long as the module
    says, 1.5 s at most), a connection that is not answered at first (CONNECT_TIMEOUT, 0.5 s), the answer: 5
    s, and 1 s is left for a node that is late itself.
    """

    WATCH_TIMEOUT_MS = 2000  # a watch that hangs is given up this and the spare after it was begun
    WATCH_MARGIN = 1.0
    FULL_LIST_TIMEOUT = 2.0  # seconds for the whole list
    FIRST_LIST_TIMEOUT = 1.0  # the same at the start, where a known list waits for it
    CONNECT_TIMEOUT = 0.5
    RETRY_DELAY, MAX_RETRY_DELAY = 0.05, 1.0
    MAX_LOWER_VERSIONS = 3  # whole lists in a row with a lower version: discovery itself began anew

    def __init__(self, address, names, post, version, ask=False, on_list=None, known=False):
        self.http, self.names, self.post = HttpClient(address, self.CONNECT_TIMEOUT), names, post
        # Where each call counts, a list that is known is watched from its version on: to ask for all of it
        # first is a second call, of a discovery that may have room for neither.
        self.version, self.need_full_list, self.lower_versions, self.failures = version, not known, 0, 0
        self.ask, self.enabled, self.stopped, self.initial = ask, threading.Event(), False, None
        self.wake = threading.Event()  # the pause that is on, or the next, is cut short
        self.last_entries, self.unread = {}, {}  # the last word on each server; entries not readable
        self.on_list = on_list  # is given each list as JSON, once it has been posted
        self.target = self.http  # what is to be followed from now on

    def change_address(self, address):
        """From another thread: what the new address tells counts at once, so neither a watch at the old one
        nor the wait for the next time to ask is waited for.
        """
        self.target = target = HttpClient(address, self.CONNECT_TIMEOUT)
        current = self.http
        # The thread may have moved on just now, and a connection that was given up is given up for good:
        # the list died.
        if current is not target:
            current.abort()
        self.enabled.set()
        self.wake.set()

    def start_with(self, listed, addresses, unread, trusted):
        """The list that a process begins with.

        Unless it is `trusted`, discovery is asked first, for what it has counts from the first moment; once
        it has failed to answer, the known list is what there is.
        """
        self.record(listed, addresses, unread)
        self.initial = events.Heard(listed, addresses)
        if trusted:
            self.publish_initial()

    def publish_initial(self):
        initial, self.initial = self.initial, None
        if initial:
            self.post(initial)

    def switch_address(self):
        """The list is kept until the new address has told the whole of it, whatever
        version that begins with.
        """
        while self.http is not self.target:
            self.http.close()
            self.http = self.target
        self.need_full_list, self.lower_versions, self.failures = True, self.MAX_LOWER_VERSIONS - 1, 0

    def run(self):
        while not self.stopped:
            self.enabled.wait()
            if self.stopped:
                break
            pause = self.poll()
            if pause:
                self.wake.wait(pause)
        self.http.close()

    def poll(self):
        """One call. How many seconds to wait before the next."""
        if self.http is not self.target:
            self.switch_address()
        self.wake.clear()
        began = time.monotonic()
        try:
            self.fetch()
            self.failures = 0
            return 0
        except Exception as fault:
            if self.http is not self.target or self.stopped:
                return 0
            self.failures += 1
            self.publish_initial()
            if not isinstance(fault, (OSError, ValueError)):  # our own: in plain sight, and the list lives on
                log.exception("fault")
            # What cannot be read would come again: the whole list mends it.
            self.need_full_list |= isinstance(fault, ListError)
            if self.failures in (1, 10, 100):
                log.warning("discovery-fails", extra={"pairs": {"why": fault, "times": self.failures}})
            if self.ask:  # the module is told and asks again in its own time
                self.enabled.clear()
            self.post(events.ListFailed(round((time.monotonic() - began) * 1_000_000)))
            return min(self.RETRY_DELAY * 2 ** min(self.failures, 10), self.MAX_RETRY_DELAY)

    def next_request(self):
        """What the next call asks for, and how many seconds it may take."""
        if self.need_full_list:
            return "/api/targets", self.FIRST_LIST_TIMEOUT if self.initial else self.FULL_LIST_TIMEOUT
        return (
            f"/api/targets?since={self.version}&timeout_ms={self.WATCH_TIMEOUT_MS}",
            self.WATCH_TIMEOUT_MS / 1000 + self.WATCH_MARGIN,
        )

    def fetch(self):
        body = self.http.get(*self.next_request())
        try:
            said = json.loads(body)
        except (ValueError, RecursionError) as fault:
            raise ListError(f"no JSON: {fault}") from fault
        version, listed, addresses, unread = read_list(said, self.names, before=self.last_entries)
        full = listed.kind is io.ListUpdateKind.FULL
        if version < self.version:
            # An old answer must not bring back what is gone; only discovery
            # begun anew says it again and again.
            self.need_full_list, self.lower_versions = True, self.lower_versions + full
            if self.lower_versions < self.MAX_LOWER_VERSIONS:
                raise ListError(f"version {version} after {self.version}")
        elif version == self.version and not self.need_full_list:
            return  # nothing new
        elif self.need_full_list and not full:
            raise ListError("changes where the whole list was asked")
        self.version, self.need_full_list, self.lower_versions, self.initial = version, False, 0, None
        self.record(listed, addresses, unread)
        self.post(events.Heard(listed, addresses))
        if self.on_list:
            self.on_list(
                version,
                [
                    one
                    for one in said["instances"]
                    if isinstance(one, dict) and str(one.get("instanceId")) not in unread
                ],
                full,
            )

    def record(self, listed, addresses, unread):
        """What could not be read is said once, not at each list: the same
        entry comes again with every whole one.
        """
        self.last_entries = self.last_entries if listed.kind is io.ListUpdateKind.CHANGES else {}
        for entry in listed.entries:
            self.last_entries[entry.host] = entry, addresses.get(entry.host)
            if entry.state is io.HostState.GONE:
                del self.last_entries[entry.host]
        if unread and unread != self.unread:
            name, why = next(iter(unread.items()))
            log.warning(
                "list-entry", extra={"pairs": {"entries": len(unread), "first": name[:64], "why": why[:200]}}
            )
        self.unread = unread

    def stop(self):
        self.stopped = True
        self.enabled.set()
        self.wake.set()
        self.http.abort()
