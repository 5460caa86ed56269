"""The counters that a node exposes to its operators. Does no I/O.

Each event is counted in one place (the methods of `net.reducer.Reducer` that end calls, write to hosts and
apply settings). Each counter has one writer, and a reader in another thread takes the values as they are, so
no locks are needed. Every process counts from 0.
"""

ANSWERS = ("success", "busy", "failure")


def escape_label(text):
    """Escapes the value of a label."""
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


class Counters:
    """The counters of one process."""

    def __init__(self, types):
        """`types`: names of the traffic types configured at first."""
        self.answers, self.refused_on_accept = {}, {}
        self.backend_calls = self.hosts_listed = self.hosts_down = self.reconfig_ok = self.reconfig_failed = 0
        self.add_types(types)

    def add_types(self, types):
        """Adds counters for configured traffic types, by name; those of types no longer configured stay."""
        for name in types:
            for answer in ANSWERS:
                self.answers.setdefault((answer, name), 0)
            self.refused_on_accept.setdefault(name, 0)

    def count_answer(self, answer, name):
        """Counts a final answer to a call; `name`: of its traffic type."""
        self.answers[answer, name] += 1

    def count_refused_on_accept(self, name):
        """Counts a BUSY sent before the reducer gets the connection; only the accepting thread calls this."""
        if name in self.refused_on_accept:
            self.refused_on_accept[name] += 1

    def samples(self, inflight):
        """All values, as (name, labels, value)."""
        refused_on_accept = dict(self.refused_on_accept)
        for (answer, name), count in dict(self.answers).items():
            yield (
                answer,
                f'{{tier="{escape_label(name)}"}}',
                count + (refused_on_accept.get(name, 0) if answer == "busy" else 0),
            )
        yield "inflight", "", inflight
        for name in ("backend_calls", "hosts_listed", "hosts_down", "reconfig_ok", "reconfig_failed"):
            yield name, "", getattr(self, name)

    def text(self, inflight):
        """All values as text, one to a line; `inflight`: the number of open calls."""
        return "".join(f"app_{name}{labels} {value}\n" for name, labels, value in self.samples(inflight))
