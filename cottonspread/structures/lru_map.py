"""A map in order of last use, indexed by value."""

from collections import OrderedDict


class LruMap:
    """Maps keys to values in order of last use, the longest idle first. Times are of the caller's clock.

    Values are compared by identity. An index by value makes `drop_value` cost one step for each removed key.
    """

    def __init__(self):
        """An empty map."""
        self.entries = OrderedDict()  # key: (value, time of last use)
        self.keys_of = {}  # value: the set of its keys, never empty

    def __len__(self):
        """The number of keys."""
        return len(self.entries)

    def items(self):
        """(key, (value, time of last use)), the longest idle first."""
        return self.entries.items()

    def get(self, key):
        """The key's value, or None. Does not count as a use."""
        return self.entries.get(key, (None,))[0]

    def put(self, key, value, now):
        """Sets the value, which counts as a use; the key None is ignored."""
        if key is None:
            return
        if self.get(key) is not value:
            self.remove(key)
            self.keys_of.setdefault(value, set()).add(key)
        self.entries[key] = value, now
        self.entries.move_to_end(key)

    def touch(self, key, value, now):
        """Counts as a use if the key still has this value."""
        if self.get(key) is value:
            self.put(key, value, now)

    def drop(self, key, value):
        """Removes the key if it still has this value."""
        if self.get(key) is value:
            self.remove(key)

    def drop_value(self, value):
        """Removes all keys that have this value."""
        for key in self.keys_of.pop(value, ()):
            del self.entries[key]

    def trim(self, oldest, max_size):
        """Removes the longest idle keys: those last used before `oldest`, and those beyond `max_size`."""
        while self.entries:
            key, (_, used) = next(iter(self.entries.items()))
            if used >= oldest and len(self.entries) <= max_size:
                return
            self.remove(key)

    def remove(self, key):
        """Removes the key if it is there."""
        value, _ = self.entries.pop(key, (None, 0))
        keys = self.keys_of.get(value)
        if keys:
            keys.discard(key)
            if not keys:
                del self.keys_of[value]
