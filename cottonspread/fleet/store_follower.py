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

MAX_CANARY_WATCH_S = 0.5
"""How long a canary watches a live change at most, twice: the store's own wait for canaries comes on top."""


class StoreFollower:
    """Between the follower and the supervisor."""

    def __init__(self, supervisor, section):
        self.supervisor, self.section, self.client = supervisor, section, None
        self.body_in_force, self.wanted_body = None, None
        """The carried text that the fleet runs under, and the one of the rollout under way or ended last."""
        self.handed_over = queue.SimpleQueue()

    def prepare(self):
        """What was in force before this supervisor counts from its first plan on.

        Raises config.ConfigurationError.
        """
        from cottonspread.configstore.client import Client  # what a fleet without the section does not load

        folder = plans.resolve_path(self.supervisor.path, self.section.state)
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
                self.body_in_force = self.wanted_body = self.client.saved.body

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
        self.handed_over.put((record, done))

    def process_records(self):
        """In the supervisor's loop: what was handed over is rolled out."""
        while not self.handed_over.empty():
            record, done = self.handed_over.get()
            try:
                self.roll_out(record, done)
            except (config.ConfigurationError, OSError) as fault:
                self.wanted_body = self.body_in_force
                done(False, str(fault))

    def roll_out(self, record, done):
        """Like a reload, with its outcome told to the store."""
        supervisor = self.supervisor
        if supervisor.core.stopping:
            raise config.ConfigurationError("the fleet is stopping")
        self.wanted_body = record.body
        pending = supervisor.core.pending
        plan = supervisor.read_plan((pending[0] if pending else supervisor.core.plan).program)
        watch = 0.0 if record.stage.name == "EVERYWHERE" else MAX_CANARY_WATCH_S
        plan = with_live_watch(plan, min(watch, plan.fleet.live_watch_s))
        supervisor.begin_rollout(plan, "configuration", OutcomeReporter(self, record, done))

    def status(self):
        """For staff."""
        return msgspec.to_builtins(self.client.view()) if self.client else None


def with_live_watch(plan, seconds):
    """The plan with another watch of live changes."""
    return dataclasses.replace(plan, fleet=msgspec.structs.replace(plan.fleet, live_watch_s=seconds))


class OutcomeReporter:
    """Takes a rollout's outcome in the place of a line to staff."""

    def __init__(self, store_follower, record, done):
        self.store_follower, self.record, self.done = store_follower, record, done

    def send(self, outcome):
        """`said`: {"ok", "why"}."""
        store_follower, body = self.store_follower, self.record.body
        if outcome["ok"]:
            store_follower.body_in_force = body
        elif store_follower.wanted_body == body:
            store_follower.wanted_body = store_follower.body_in_force
        self.done(outcome["ok"], outcome["why"])
        return True
