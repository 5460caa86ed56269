"""The supervisor's connection to the configuration store, whose body replaces the platform's JSON file.

The follower's thread hands over records to apply; the supervisor's loop takes them and rolls them out like a
reload. A record is in force once its rollout has succeeded. At the store's stage EVERYWHERE other machines
have already run the version for a while, so the instances are not observed again.
"""

import contextlib
import dataclasses
import queue

import msgspec

from cottonspread import config
from cottonspread.config import operator as op
from cottonspread.fleet import plan as plans

MAX_CANARY_WATCH_S = 0.5
"""Upper bound in seconds for observing a live change on a canary. A rollout observes the first instance
and then all others, so it takes twice this; the store's own wait for canaries comes on top."""


class StoreFollower:
    """Passes records from the follower's thread to the supervisor's loop."""

    def __init__(self, supervisor, section):
        """`section`: the [configuration] section of the operator's file."""
        self.supervisor, self.section, self.client = supervisor, section, None
        self.body_in_force, self.wanted_body = None, None
        """The body that the fleet runs, and the body of the current or last rollout."""
        self.pending_records = queue.SimpleQueue()

    def prepare(self):
        """Creates the client and takes the saved body into account from the first plan on.

        Raises config.ConfigurationError.
        """
        from cottonspread.configstore.client import Client  # not loaded without the section

        folder = plans.resolve_path(self.supervisor.path, self.section.state)
        name = self.section.node or self.supervisor.fleet.name
        try:
            self.client = Client(name, tuple(self.section.replicas), folder, self.check, self.enqueue)
        except OSError as error:
            raise op.OperatorFileError(
                [f"{self.supervisor.path}: configuration.state: {folder}: {error}"]
            ) from error
        if self.client.saved:
            # If the saved body is no longer valid, the file is used, and the follower reports the refusal.
            with contextlib.suppress(config.ConfigurationError):
                self.check(self.client.saved)
                self.body_in_force = self.wanted_body = self.client.saved.body

    def start(self):
        """Starts the follower."""
        self.client.start()

    def stop(self):
        """Stops the follower."""
        self.client.stop()

    def check(self, record):
        """Called in the follower's thread: checks that the record gives a valid plan.

        Raises config.ConfigurationError.
        """
        supervisor = self.supervisor
        plans.read(supervisor.path, supervisor.program, supervisor.check, record.body)

    def enqueue(self, record, done):
        """Called in the follower's thread: queues a record to apply."""
        self.pending_records.put((record, done))

    def process_records(self):
        """Called in the supervisor's loop: rolls out the queued records."""
        while not self.pending_records.empty():
            record, done = self.pending_records.get()
            try:
                self.roll_out(record, done)
            except (config.ConfigurationError, OSError) as error:
                self.wanted_body = self.body_in_force
                done(False, str(error))

    def roll_out(self, record, done):
        """Starts a rollout as for a reload; its outcome goes to the follower."""
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
        """Returns the follower's status, for operators."""
        return msgspec.to_builtins(self.client.view()) if self.client else None


def with_live_watch(plan, seconds):
    """Returns the plan with another observation time for live changes."""
    return dataclasses.replace(plan, fleet=msgspec.structs.replace(plan.fleet, live_watch_s=seconds))


class OutcomeReporter:
    """Receives a rollout's outcome like a command connection and reports it to the follower."""

    def __init__(self, store_follower, record, done):
        """`done(ok, why)`: the follower's callback for this record."""
        self.store_follower, self.record, self.done = store_follower, record, done

    def send(self, outcome):
        """`outcome`: {"ok", "why"}."""
        store_follower, body = self.store_follower, self.record.body
        if outcome["ok"]:
            store_follower.body_in_force = body
        elif store_follower.wanted_body == body:
            store_follower.wanted_body = store_follower.body_in_force
        self.done(outcome["ok"], outcome["why"])
        return True
