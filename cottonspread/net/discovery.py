"""The client of the discovery service: fetches the list of servers and watches it, in its own thread."""

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
    """A response that is not a valid list of servers."""


def read_entry(instance, names, state):
    """One server of the list, as JSON: (entry, address as (host, port) or None if it is gone)."""
    host, _, port = str(instance.get("hostPort")).rpartition(":")
    address = None
    if state is not io.HostState.GONE:  # a server that is gone needs no address
        if not host or not 0 < int(port) < 65536:
            raise ValueError(f"hostPort: {instance.get('hostPort')!r}")
        address = host, int(port)
    weight = float(instance.get("weight", 1))
    if not 0 <= weight < 1e15:
        raise ValueError(f"weight: {weight}")
    zone, cell = instance.get("zone"), instance.get("cell")
    if not isinstance(zone, str | None):
        raise ValueError(f"zone: {zone!r}")
    return io.Entry(
        str(instance["instanceId"]),
        zone,
        names.kinds.get(instance.get("machineType"), -1),
        weight,
        None if cell is None else int(cell),
        round(float(instance.get("startedAtMs", 0)) * 1000),
        state,
    ), address


INVALID_VALUE_ERRORS = KeyError, TypeError, ValueError, AttributeError, OverflowError


def read_list(response, names, kind=None, previous=None):
    """Reads a response as JSON.

    Returns (version, ListUpdate, addresses by server, {server: why its entry is invalid}).

    An invalid entry does not invalidate the list. Its server keeps the entry and address that it had in
    `previous` ({server: (entry, address)}), but a readable change to draining or gone is applied, because no
    calls may go there any more. A server that is not in `previous` is left out.
    """
    try:
        version, instances = int(response["generation"]), response["instances"]
        kind = kind or (io.ListUpdateKind.FULL if response["reset"] else io.ListUpdateKind.CHANGES)
        if not isinstance(instances, list):
            raise TypeError("instances: not a list")
    except INVALID_VALUE_ERRORS as error:
        raise ListError(f"{type(error).__name__}: {error}") from error
    entries, addresses, invalid = {}, {}, {}
    for instance in instances:
        name, state = None, None
        try:
            name, state = str(instance["instanceId"]), STATE_OF_LIFECYCLE.get(instance.get("lifecycle"))
            if state is None:
                raise ValueError(f"lifecycle: {instance.get('lifecycle')!r}")
            if name in entries:  # the later entry wins
                invalid[name + " again"] = "listed twice"
            entry, address = read_entry(instance, names, state)
        except INVALID_VALUE_ERRORS as error:
            invalid[str(name)] = f"{type(error).__name__}: {error}"
            entry, address = (previous or {}).get(name, (None, None))
            if entry is None:
                continue
            entry = entry._replace(state=state or entry.state)
        entries[name] = entry
        addresses.pop(name, None)
        if entry.state is not io.HostState.GONE:
            addresses[name] = address
    return version, io.ListUpdate(kind, version, tuple(entries.values())), addresses, invalid


class Discovery:
    """Watches the list and posts each change. After a failed or hanging request it retries; the list is kept.

    A change must be known within 6 s of the time when discovery had it and was reachable, whatever failed
    before. The worst case takes 5 s, which leaves 1 s for delays of the node itself: a request that stopped
    being answered just before the change times out (WATCH_TIMEOUT_MS + WATCH_MARGIN, 3 s), the retry delay
    follows (at most 1 s, or at most 1.5 s where the list is polled and the policy sets the delay), then a
    connection attempt that is not answered at first (CONNECT_TIMEOUT, 0.5 s), then the response.
    """

    WATCH_TIMEOUT_MS = 2000  # how long the server may hold a watch
    WATCH_MARGIN = 1.0  # seconds; a watch not answered by then is abandoned
    FULL_LIST_TIMEOUT = 2.0  # seconds for a request of the full list
    FIRST_LIST_TIMEOUT = 1.0  # the same at the start, while the initial list is held back until the response
    CONNECT_TIMEOUT = 0.5  # seconds
    RETRY_DELAY, MAX_RETRY_DELAY = 0.05, 1.0  # seconds; the delay doubles with each failure
    MAX_LOWER_VERSIONS = 3  # full lists in a row with a lower version: discovery has restarted its count

    def __init__(self, address, names, post, version, polled=False, on_list=None, watch_initial=False):
        """`post(event)` passes events to the reducer; `version`: of the initial list.

        `polled`: the list is polled when the policy says so (MembershipMode "ask"), not watched all the time.
        `on_list(version, instances, full)` gets each valid list as JSON after it has been posted.
        `watch_initial`: the initial list is watched from its version on.
        """
        self.http, self.names, self.post = HttpClient(address, self.CONNECT_TIMEOUT), names, post
        # Where requests are limited, a known list is watched from its version on: fetching all of it first
        # would be a second request to a server that may have capacity for neither.
        self.version, self.need_full_list, self.lower_versions, self.failures = (
            version,
            not watch_initial,
            0,
            0,
        )
        self.polled, self.enabled, self.stopped, self.initial = polled, threading.Event(), False, None
        self.wake = threading.Event()  # ends the current retry delay, or the next one
        self.last_entries, self.invalid = {}, {}  # the last valid entry of each server; invalid entries
        self.on_list = on_list
        self.target = self.http  # the client to use from the next request on

    def change_address(self, address):
        """Switches to another discovery address at once: ends the current watch and any retry delay or pause.

        Called from another thread.
        """
        self.target = target = HttpClient(address, self.CONNECT_TIMEOUT)
        current = self.http
        # The thread may have switched to the new client already. An aborted client never recovers: aborting
        # the new one would end all list updates.
        if current is not target:
            current.abort()
        self.enabled.set()
        self.wake.set()

    def start_with(self, update, addresses, invalid, trusted):
        """Sets the list that the process starts with.

        If it is `trusted` it is posted at once. Otherwise discovery is asked first, because its list is
        authoritative, and the initial list is posted only if that request fails.
        """
        self.record(update, addresses, invalid)
        self.initial = events.ListReceived(update, addresses)
        if trusted:
            self.publish_initial()

    def publish_initial(self):
        """Posts the initial list if it is still held back."""
        initial, self.initial = self.initial, None
        if initial:
            self.post(initial)

    def switch_address(self):
        """Uses the new address from now on. The list is kept until the new address has sent a full one,
        whatever its version.
        """
        while self.http is not self.target:
            self.http.close()
            self.http = self.target
        self.need_full_list, self.lower_versions, self.failures = True, self.MAX_LOWER_VERSIONS - 1, 0

    def run(self):
        """The thread: polls until `stop`."""
        while not self.stopped:
            self.enabled.wait()
            if self.stopped:
                break
            pause = self.poll()
            if pause:
                self.wake.wait(pause)
        self.http.close()

    def poll(self):
        """Makes one request; returns how many seconds to wait before the next."""
        if self.http is not self.target:
            self.switch_address()
        self.wake.clear()
        started_at = time.monotonic()
        try:
            self.fetch()
            self.failures = 0
            return 0
        except Exception as error:
            if self.http is not self.target or self.stopped:
                return 0
            self.failures += 1
            self.publish_initial()
            if not isinstance(error, (OSError, ValueError)):  # an internal error: log it and keep the list
                log.exception("fault")
            # An invalid response would come again; a full list replaces it.
            self.need_full_list |= isinstance(error, ListError)
            if self.failures in (1, 10, 100):
                log.warning("discovery-fails", extra={"pairs": {"why": error, "times": self.failures}})
            if self.polled:  # the policy learns of the failure and decides when to ask again
                self.enabled.clear()
            self.post(events.ListFailed(round((time.monotonic() - started_at) * 1_000_000)))
            return min(self.RETRY_DELAY * 2 ** min(self.failures, 10), self.MAX_RETRY_DELAY)

    def next_request(self):
        """(path, timeout in seconds) of the next request."""
        if self.need_full_list:
            return "/api/targets", self.FIRST_LIST_TIMEOUT if self.initial else self.FULL_LIST_TIMEOUT
        return (
            f"/api/targets?since={self.version}&timeout_ms={self.WATCH_TIMEOUT_MS}",
            self.WATCH_TIMEOUT_MS / 1000 + self.WATCH_MARGIN,
        )

    def fetch(self):
        """Makes the request and posts its list; raises OSError, ResponseError or ListError."""
        body = self.http.get(*self.next_request())
        try:
            response = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise ListError(f"invalid JSON: {error}") from error
        version, update, addresses, invalid = read_list(response, self.names, previous=self.last_entries)
        full = update.kind is io.ListUpdateKind.FULL
        if version < self.version:
            # A stale response must not bring back servers that are gone. Only a discovery service that has
            # restarted its version count repeats a lower version.
            self.need_full_list, self.lower_versions = True, self.lower_versions + full
            if self.lower_versions < self.MAX_LOWER_VERSIONS:
                raise ListError(f"list version went back from {self.version} to {version}")
        elif version == self.version and not self.need_full_list:
            return  # unchanged
        elif self.need_full_list and not full:
            raise ListError("got changes in response to a request for the full list")
        self.version, self.need_full_list, self.lower_versions, self.initial = version, False, 0, None
        self.record(update, addresses, invalid)
        self.post(events.ListReceived(update, addresses))
        if self.on_list:
            self.on_list(
                version,
                [
                    instance
                    for instance in response["instances"]
                    if isinstance(instance, dict) and str(instance.get("instanceId")) not in invalid
                ],
                full,
            )

    def record(self, update, addresses, invalid):
        """Remembers the entries. Invalid entries are logged only when they differ from the last ones, because
        each full list repeats them.
        """
        self.last_entries = self.last_entries if update.kind is io.ListUpdateKind.CHANGES else {}
        for entry in update.entries:
            self.last_entries[entry.host] = entry, addresses.get(entry.host)
            if entry.state is io.HostState.GONE:
                del self.last_entries[entry.host]
        if invalid and invalid != self.invalid:
            name, why = next(iter(invalid.items()))
            log.warning(
                "list-entry", extra={"pairs": {"entries": len(invalid), "first": name[:64], "why": why[:200]}}
            )
        self.invalid = invalid

    def stop(self):
        """Ends the thread. Called from another thread."""
        self.stopped = True
        self.enabled.set()
        self.wake.set()
        self.http.abort()
