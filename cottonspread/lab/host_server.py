"""A host's side of the line protocol round the pure model, whatever carries the bytes: sockets
(`hosts`) or simulated ways (`sim`).

A carrier is a subclass that has `now()`, `at(when, what, *args)`, `put(line)` for the record,
`open()`, `shut()` and `vanish()` for the address, `write(conn, line)`, and `drop(conn, how)`, which
ends the carrier's part of a connection.
"""

import zlib

import numpy as np

from cottonspread.lab import model, wire

SECOND = 1_000_000


def host_model(plan, machine, now):
    """The model of one of a plan's machines: one seed, one behaviour."""
    return model.Host(
        machine.traits,
        {k.name: k.load_us for k in plan.experiment.load.types},
        np.random.default_rng([plan.seed, 2, zlib.crc32(machine.name.encode())]),
        now=now,
    )


class HostServer:
    def __init__(self, name, host, reports):
        self.name, self.model, self.reports, self.conns = name, host, reports, {}

    def came(self, conn, data):
        """Bytes of a connection."""
        at = self.now()
        try:
            lines = conn.lines.feed(data)
        except ValueError:
            self.end(conn, "reset")
            return
        for line in lines:
            if conn.call is None:
                self.first(conn, line, at)
            else:
                self.do(self.model.line(at, conn, line))
            if conn.over:
                return

    def first(self, conn, line, at):
        if line in (b"PING", b"STATS"):
            self.say(conn, b"PONG" if line == b"PING" else self.report(at))
            return
        try:
            opening = conn.call = wire.parse_open(line)
        except (ValueError, UnicodeDecodeError) as fault:
            self.put(
                {"k": "syntax", "t": at, "host": self.name, "line": line.decode("latin-1"), "why": str(fault)}
            )
            self.say(conn, b"SYNTAX")
            self.end(conn, "end")
            return
        self.put(
            {
                "k": "leg",
                "t": at,
                "host": self.name,
                "id": opening.id,
                "key": opening.key,
                "type": opening.type,
                "group": opening.group,
                "d": opening.wait_ms,
                "cold": round(self.model.share(), 4),
                "up": self.model.state,
            }
        )
        self.do(self.model.first(at, conn, opening))

    def report(self, at):
        if not self.reports:
            return b"NO"
        self.put({"k": "probe", "t": at, "host": self.name})
        return b"PONG " + b",".join(b"%s:%.4f" % (name, value) for name, value in self.model.report(at))

    def do(self, effects):
        for effect in effects:
            if isinstance(effect, (model.Say, model.Close)) and effect.conn.over:
                continue
            if isinstance(effect, model.Door):
                {"open": self.open, "refused": self.shut, "vanished": self.vanish}[effect.state]()
            elif isinstance(effect, model.Note):
                self.note(effect)
            elif effect.at > self.now():
                self.at(effect.at, self.carry_out, effect)
            else:
                self.carry_out(effect)

    def carry_out(self, effect):
        conn = effect.conn
        if conn.over or self.model.deaf:
            return
        if isinstance(effect, model.Say):
            self.say(conn, effect.line)
        else:
            self.end(conn, effect.how)

    def note(self, effect):
        conn, at = effect.conn, self.now()
        if effect.kind in ("turn", "change"):
            self.at(
                effect.value, self.go_on, conn, self.model.run if effect.kind == "turn" else self.model.change
            )
        else:
            line = {"k": effect.kind, "t": at, "host": self.name}
            if conn is not None:
                line["id"] = conn.call.id
            if effect.value is not None:
                line["v"] = effect.value
            if effect.kind == "ran":
                line["gone"] = conn.over  # its leg was given up before: it ran for nobody
            self.put(line)

    def go_on(self, conn, what):
        self.do(what(self.now(), conn))

    def say(self, conn, line):
        if conn.over:
            return
        if conn.call is not None and line.startswith(b"UP "):
            self.put(
                {
                    "k": "up",
                    "t": self.now(),
                    "host": self.name,
                    "id": conn.call.id,
                    "receipt": line[3:].decode(),
                }
            )
        self.write(conn, line)

    def end(self, conn, how):
        """how: "theirs" (the other side ended it), "end" or "reset" (this one does)."""
        if conn.over:
            return
        conn.over = True
        self.drop(conn, how)
        self.conns.pop(conn, None)
        if conn.call is not None:
            self.put({"k": "end", "t": self.now(), "host": self.name, "id": conn.call.id, "how": how})
            self.do(self.model.ended(self.now(), conn))

    def fault(self, one):
        self.put({"k": "fault", "t": self.now(), "host": self.name, "kind": one.kind})
        if one.kind in ("vanish", "cold"):
            self.put({"k": "down", "t": self.now(), "host": self.name})
        self.do(self.model.fault(self.now(), one.kind, round(one.seconds * SECOND), one.factor))
        if one.kind in ("cold", "reset"):
            for conn in list(self.conns):
                self.end(conn, "reset")

    def mend(self, one):
        if one.kind in ("drain", "vanish"):  # the process ends with what is left on it, or is back
            for conn in list(self.conns):
                self.end(conn, "end" if one.kind == "drain" else "reset")
        self.put({"k": "mend", "t": self.now(), "host": self.name, "kind": one.kind})
        self.do(self.model.mend(self.now(), one.kind))
