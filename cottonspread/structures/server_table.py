"""The servers by name, taken from the words of the list."""

from cottonspread import interface as io
from cottonspread.interface import HostState, ListUpdateKind
from cottonspread.state import Host


class ServerTable:
    """The servers that the list names. One that it names no more is gone, and stays while legs stand
    there."""

    def __init__(self):
        self.hosts = {}  # by name

    def merge(self, listed):
        """(server, its entry from now on) for each that a word from the list is about; the server still has
        the entry from before, or the new one if it was not known."""
        entries = list(listed.entries)
        if listed.kind is not ListUpdateKind.CHANGES:
            named = {entry.host for entry in entries}
            entries += [io.Entry(name, state=HostState.GONE) for name in self.hosts if name not in named]
        for entry in entries:
            host = self.hosts.get(entry.host)
            if host is None:
                host = self.hosts[entry.host] = Host(entry.host, entry)
            yield host, entry

    def get_or_add_unlisted(self, name):
        """The server of this name; one that no list told of gets nothing new."""
        return self.hosts.setdefault(name, Host(name, io.Entry(name, state=HostState.GONE)))

    def up(self):
        """The servers that may get something new as far as the list goes."""
        return [host for host in self.hosts.values() if host.up]

    def count_unavailable(self, now):
        """How many listed servers get nothing new now: they drain, or are set aside."""
        listed = [host for host in self.hosts.values() if host.entry.state is not HostState.GONE]
        return sum(not host.up or now < host.ejected_until for host in listed)

    def drop_gone(self, hosts):
        """Forgets those of these servers that are gone and hold no leg."""
        for host in hosts:
            if host.entry.state is HostState.GONE and not host.legs:
                self.hosts.pop(host.name, None)
