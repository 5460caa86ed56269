"""The servers by name, from the updates of the server list."""

from cottonspread import interface as io
from cottonspread.interface import HostState, ListUpdateKind
from cottonspread.state import Host


class ServerTable:
    """The listed servers. One that leaves the list is kept, as gone, while it has legs."""

    def __init__(self):
        """No server is known yet."""
        self.hosts = {}  # by name

    def merge(self, update):
        """Yields (server, its new entry) for each server that a list update concerns.

        The caller sets the entry: the server still has its previous one, or the new one if it was not known.
        """
        entries = list(update.entries)
        if update.kind is not ListUpdateKind.CHANGES:
            named = {entry.host for entry in entries}
            left_out = [host for name, host in self.hosts.items() if name not in named]
            entries += [host.entry._replace(state=HostState.GONE) for host in left_out]
        for entry in entries:
            host = self.hosts.get(entry.host)
            if host is None:
                host = self.hosts[entry.host] = Host(entry.host, entry)
            yield host, entry

    def get_or_add_unlisted(self, name):
        """The server of this name; one that is not listed is added as gone, and gets no new calls."""
        return self.hosts.setdefault(name, Host(name, io.Entry(name, state=HostState.GONE)))

    def up(self):
        """The servers that may get new calls, as far as the list goes."""
        return [host for host in self.hosts.values() if host.up]

    def count_unavailable(self, now):
        """How many listed servers get no new calls now, because they drain or are ejected."""
        listed = [host for host in self.hosts.values() if host.entry.state is not HostState.GONE]
        return sum(not host.up or now < host.ejected_until for host in listed)

    def drop_gone(self, hosts):
        """Removes those of these servers that are gone and have no leg."""
        for host in hosts:
            if host.entry.state is HostState.GONE and not host.legs:
                self.hosts.pop(host.name, None)
