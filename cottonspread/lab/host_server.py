"""The hosts' side of the line protocol around the host model, independent of the transport.

The transport is a subclass, on sockets (`hosts`) or on the simulated network (`sim`). It has `now()`,
`at(when, callback, *args)`, `put(line)` for the record, `open()`, `refuse()` and `vanish()` for the address,
`write(conn, line)`, and `drop(conn, how)`, which closes the transport's connection. Its connections have
`splitter` (a LineSplitter), `call` (the OpenRequest, None before it) and `ended`.
"""

import zlib

import numpy as np

from cottonspread.lab import model, wire

SECOND = 1_000_000


def host_model(plan, machine, now):
    """Returns the model of one of a plan's machines; its randomness depends on the plan's seed alone."""
    return model.Host(
        machine.traits,
        {k.name: k.load_us for k in plan.experiment.load.types},
        np.random.default_rng([plan.seed, 2, zlib.crc32(machine.name.encode())]),
        now=now,
    )


class HostServer:
    """A host that serves the line protocol."""

    def __init__(self, name, host, reports):
        """`host`: its model; `reports`: whether it answers STATS with its load."""
        self.name, self.model, self.reports, self.conns = name, host, reports, {}

    def on_data(self, conn, data):
        """Handles bytes that were received on a connection."""
        at = self.now()
        try:
            lines = conn.splitter.feed(data)
        except ValueError:
            self.end(conn, "reset")
            return
        for line in lines:
            if conn.call is None:
                self.on_first_line(conn, line, at)
            else:
                self.apply(self.model.on_line(at, conn, line))
            if conn.ended:
                return

    def on_first_line(self, conn, line, at):
        """Handles a connection's first line: PING, STATS or OPEN."""
        if line in (b"PING", b"STATS"):
            self.send_line(conn, b"PONG" if line == b"PING" else self.load_report(at))
            return
        try:
            request = conn.call = wire.parse_open(line)
        except (ValueError, UnicodeDecodeError) as error:
            self.put(
                {"k": "syntax", "t": at, "host": self.name, "line": line.decode("latin-1"), "why": str(error)}
            )
            self.send_line(conn, b"SYNTAX")
            self.end(conn, "end")
            return
        self.put(
            {
                "k": "leg",
                "t": at,
                "host": self.name,
                "id": request.id,
                "key": request.key,
                "type": request.type,
                "group": request.group,
                "d": request.wait_ms,
                "cold": round(self.model.capacity_share(), 4),
                "up": self.model.state,
            }
        )
        self.apply(self.model.on_first_line(at, conn, request))

    def load_report(self, at):
        """Returns the reply to STATS."""
        if not self.reports:
            return b"NO"
        self.put({"k": "probe", "t": at, "host": self.name})
        return b"PONG " + b",".join(b"%s:%.4f" % (name, value) for name, value in self.model.load_report(at))

    def apply(self, effects):
        """Executes the model's effects, each at its time."""
        for effect in effects:
            if isinstance(effect, (model.SendLine, model.Close)) and effect.conn.ended:
                continue
            if isinstance(effect, model.AddressChange):
                {"open": self.open, "refused": self.refuse, "vanished": self.vanish}[effect.state]()
            elif isinstance(effect, model.HostEvent):
                self.on_model_event(effect)
            elif effect.at > self.now():
                self.at(effect.at, self.execute, effect)
            else:
                self.execute(effect)

    def execute(self, effect):
        """Sends a line or closes a connection, unless the host has become unresponsive meanwhile."""
        conn = effect.conn
        if conn.ended or self.model.unresponsive:
            return
        if isinstance(effect, model.SendLine):
            self.send_line(conn, effect.line)
        else:
            self.end(conn, effect.how)

    def on_model_event(self, effect):
        """Records an event of the model, or sets the timer that it asks for."""
        conn, at = effect.conn, self.now()
        if effect.kind in ("turn", "change"):
            self.at(
                effect.value,
                self.resume,
                conn,
                self.model.finish_setup if effect.kind == "turn" else self.model.change_load,
            )
        else:
            line = {"k": effect.kind, "t": at, "host": self.name}
            if conn is not None:
                line["id"] = conn.call.id
            if effect.value is not None:
                line["v"] = effect.value
            if effect.kind == "ran":
                line["gone"] = conn.ended  # the leg had been given up before the set-up was done
            self.put(line)

    def resume(self, conn, what):
        """Calls a method of the model when its timer is due."""
        self.apply(what(self.now(), conn))

    def send_line(self, conn, line):
        """Sends a line, and records an UP."""
        if conn.ended:
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
        """Ends a connection. how: "theirs" (the peer has ended it), "end" or "reset" (this host does)."""
        if conn.ended:
            return
        conn.ended = True
        self.drop(conn, how)
        self.conns.pop(conn, None)
        if conn.call is not None:
            self.put({"k": "end", "t": self.now(), "host": self.name, "id": conn.call.id, "how": how})
            self.apply(self.model.on_end(self.now(), conn))

    def start_fault(self, fault):
        """Starts a fault of the plan."""
        self.put({"k": "fault", "t": self.now(), "host": self.name, "kind": fault.kind})
        if fault.kind in ("vanish", "cold"):
            self.put({"k": "down", "t": self.now(), "host": self.name})
        self.apply(
            self.model.start_fault(self.now(), fault.kind, round(fault.seconds * SECOND), fault.factor)
        )
        if fault.kind in ("cold", "reset"):
            for conn in list(self.conns):
                self.end(conn, "reset")

    def end_fault(self, fault):
        """Ends a fault of the plan."""
        if fault.kind in ("drain", "vanish"):  # the drained process exits, or the vanished one is back
            for conn in list(self.conns):
                self.end(conn, "end" if fault.kind == "drain" else "reset")
        self.put({"k": "mend", "t": self.now(), "host": self.name, "kind": fault.kind})
        self.apply(self.model.end_fault(self.now(), fault.kind))
