"""A cycle of servers with a place in it, taken in turn by their sizes."""


class CyclicOrder:
    """Servers in a fixed cyclic order, and the place after the one that was taken last."""

    def __init__(self):
        self.order, self.at, self.largest = [], 0, 1

    def following(self):
        """All from the place on, once round."""
        return self.order[self.at :] + self.order[: self.at]

    def keep(self, items):
        """Exactly these from now on; new ones come last, in the order given."""
        following = self.following()
        wanted, known = set(items), set(following)
        self.order = [one for one in following if one in wanted] + [one for one in items if one not in known]
        self.at, self.largest = 0, max((one.size for one in items), default=1)

    def next(self, fits, now):
        """The next that is not shut and `fits(server)`, or None; one of half the largest size takes every
        second turn."""
        left = [one for one in self.following() if one.shut_until <= now]
        while left:
            waiting = []
            for one in left:
                if fits(one):
                    one.turn += one.size / self.largest
                    if one.turn >= 1:
                        one.turn -= 1
                        self.at = self.order.index(one) + 1
                        return one
                    waiting.append(one)
            left, fits = waiting, bool  # these fit, and it is soon the turn of one
        return None
