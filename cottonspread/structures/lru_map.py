"""A map that knows when each key was last used, and which keys have a value."""

from collections import OrderedDict


class LruMap:
    """Key to value in order of last use, the longest idle first. Times are those of the caller's clock.

    Values are told apart by identity. An index makes `drop_value` cost a step for each key that it takes out.
    """

    def __init__(self):
        self.entries = OrderedDict()  # key: (value, when last used)
        self.keys_of = {}  # value: its keys, a set that is never empty

    def __len__(self):
        return len(self.entries)

    def items(self):
        """(key, (value, when last used)), the longest idle first."""
        return self.entries.items()

    def get(self, key):
        """The key's value, or None. Not a use."""
        return self.entries.get(key, (None,))[0]

    def put(self, key, value, now):
        """Sets the value and counts as a use; None is no key, and keeps nothing."""
        if key is None:
            return
        if self.get(key) is not value:
            self.remove(key)
            self.keys_of.setdefault(value, set()).add(key)
        self.entries[key] = value, now
        self.entries.move_to_end(key)

    def touch(self, key, value, now):
        """Counts as a use if the key still has this very value."""
        if self.get(key) is value:
            self.put(key, value, now)

    def drop(self, key, value):
        """Takes out the key if it still has this very value."""
        if self.get(key) is value:
            self.remove(key)

    def drop_value(self, value):
        """Takes out every key that has this very value."""
        for key in self.keys_of.pop(value, ()):
            del self.entries[key]

    def trim(self, oldest, most):
        """Takes out, from the longest idle on, what was last used before `oldest` or is over `most` keys."""
        while self.entries:
            key, (_, used) = next(iter(self.entries.items()))
            if used >= oldest and len(self.entries) <= most:
                return
            self.remove(key)

    def remove(self, key):
        """Takes out the key, if it is there."""
        value, _ = self.entries.pop(key, (None, 0))
        keys = self.keys_of.get(value)
        if keys:
            keys.discard(key)
            if not keys:
                del self.keys_of[value]
