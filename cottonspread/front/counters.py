"""What a node counts for its operators.

Pure: the owner of a state counts into it, whoever asks gets it as text.

Each event is counted in one place (`Reducer.finish`, `host_lines`, `wrote`, `retuned`), each number
has one writer, and a reader in another thread takes whole numbers as they stand: nobody waits for
anybody. Every process counts from 0.
"""

ANSWERS = ("success", "busy", "failure")


def label(text):
    """A label's value, with what would end it escaped."""
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


class Counters:
    """Counters of one process, as the operators read them."""

    def __init__(self, types):
        """`types`: names of the traffic types that are in force at first."""
        self.answers, self.refused_on_accept = {}, {}
        self.backend_calls = self.hosts_listed = self.hosts_down = self.reconfig_ok = self.reconfig_failed = 0
        self.add_types(types)

    def add_types(self, types):
        """The names of the traffic types in force. What was counted under one that is gone stays."""
        for name in types:
            for answer in ANSWERS:
                self.answers.setdefault((answer, name), 0)
            self.refused_on_accept.setdefault(name, 0)

    def count_answer(self, answer, name):
        """Counts a final answer to a call of the traffic type of this name."""
        self.answers[answer, name] += 1

    def count_refused_on_accept(self, name):
        """BUSY before the reducer heard of it: by the thread that accepts, and no other."""
        if name in self.refused_on_accept:
            self.refused_on_accept[name] += 1

    def samples(self, inflight):
        """Every figure, as (name, labels, value)."""
        refused_on_accept = dict(self.refused_on_accept)
        for (answer, name), count in dict(self.answers).items():
            yield (
                answer,
                f'{{tier="{label(name)}"}}',
                count + (refused_on_accept.get(name, 0) if answer == "busy" else 0),
            )
        yield "inflight", "", inflight
        for name in ("backend_calls", "hosts_listed", "hosts_down", "reconfig_ok", "reconfig_failed"):
            yield name, "", getattr(self, name)

    def text(self, inflight):
        """All figures, a line each; `inflight`: calls that are open now."""
        return "".join(f"app_{name}{labels} {value}\n" for name, labels, value in self.samples(inflight))
