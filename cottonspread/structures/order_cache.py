"""Orders of servers, one for each key, that cost too much to make each time."""

from zlib import crc32


def rank(key):
    """The sort key of rendezvous hashing: with it all nodes sort servers alike for a key. The checksum is
    multiplied, for checksums of like texts keep their order."""
    start = crc32(str(key).encode())
    return lambda host: (crc32(str(host.name).encode(), start) * 2654435761 & 0xFFFFFFFF, host.name)


class OrderCache:
    """The order of all servers for each key, kept until there are `most` places in all orders together."""

    def __init__(self, most):
        self.most, self.orders = most, {}

    def get(self, key, hosts):
        """The servers in the key's order."""
        if key not in self.orders:
            if len(self.orders) * len(hosts) >= self.most:
                self.orders.clear()
            self.orders[key] = sorted(hosts, key=rank(key))
        return self.orders[key]

    def clear(self):
        """To be called when servers come or go."""
        self.orders.clear()
