"""A fleet's part in the configuration store: what is carried there stands for the platform's JSON file.

The follower's thread hands over what is to be put into force; the supervisor's loop takes it up and rolls
it out like a reload. In force is what a rollout ended well with. At the store's stage EVERYWHERE other
machines have had the version in force for a while, so no instance is watched for it once more.
"""

import contextlib
import dataclasses
import queue

import msgspec

from cottonspread import config
from cottonspread.config import operator as op
from cottonspread.fleet import plan as plans

CANARY_WATCH_S = 0.5
"""How long a canary watches a live change at most, twice: the store's own wait for canaries comes on top."""


class Carrying:
    """Between the follower and the supervisor."""

    def __init__(self, supervisor, section):
        self.supervisor, self.section, self.client = supervisor, section, None
        self.in_force, self.wanted = None, None
        """The carried text that the fleet runs under, and the one of the rollout under way or ended last."""
        self.orders = queue.SimpleQueue()

    def prepare(self):
        """What was in force before this supervisor counts from its first plan on.

        Raises config.ConfigurationError.
        """
        from cottonspread.configstore.client import Client  # what a fleet without the section does not load

        folder = plans.beside(self.supervisor.path, self.section.state)
        name = self.section.node or self.supervisor.fleet.name
        try:
            self.client = Client(name, tuple(self.section.replicas), folder, self.check, self.hand_over)
        except OSError as fault:
            raise op.OperatorFileError(
                [f"{self.supervisor.path}: configuration.state: {folder}: {fault}"]
            ) from fault
        if self.client.saved:
            with contextlib.suppress(
                config.ConfigurationError
            ):  # else the file is what there is; the follower tells
                self.check(self.client.saved)
                self.in_force = self.wanted = self.client.saved.body

    def start(self):
        """Begins to follow."""
        self.client.start()

    def stop(self):
        """Follows no more."""
        self.client.stop()

    def check(self, record):
        """In the follower's thread: whether a plan can be made of it. Raises config.ConfigurationError."""
        supervisor = self.supervisor
        plans.read(supervisor.path, supervisor.program, supervisor.check, record.body)

    def hand_over(self, record, done):
        """In the follower's thread."""
        self.orders.put((record, done))

    def look(self):
        """In the supervisor's loop: what was handed over is rolled out."""
        while not self.orders.empty():
            record, done = self.orders.get()
            try:
                self.roll_out(record, done)
            except (config.ConfigurationError, OSError) as fault:
                self.wanted = self.in_force
                done(False, str(fault))

    def roll_out(self, record, done):
        """Like a reload, with its outcome told to the store."""
        supervisor = self.supervisor
        if supervisor.core.stopping:
            raise config.ConfigurationError("the fleet is stopping")
        self.wanted = record.body
        pending = supervisor.core.pending
        plan = supervisor.read_plan((pending[0] if pending else supervisor.core.plan).program)
        watch = 0.0 if record.stage.name == "EVERYWHERE" else CANARY_WATCH_S
        plan = with_live_watch(plan, min(watch, plan.fleet.live_watch_s))
        supervisor.begin(plan, "configuration", Teller(self, record, done))

    def status(self):
        """For staff."""
        return msgspec.to_builtins(self.client.view()) if self.client else None


def with_live_watch(plan, seconds):
    """The plan with another watch of live changes."""
    return dataclasses.replace(plan, fleet=msgspec.structs.replace(plan.fleet, live_watch_s=seconds))


class Teller:
    """Takes a rollout's outcome in the place of a line to staff."""

    def __init__(self, carrying, record, done):
        self.carrying, self.record, self.done = carrying, record, done

    def send(self, said):
        """`said`: {"ok", "why"}."""
        carrying, body = self.carrying, self.record.body
        if said["ok"]:
            carrying.in_force = body
        elif carrying.wanted == body:
            carrying.wanted = carrying.in_force
        self.done(said["ok"], said["why"])
        return True
