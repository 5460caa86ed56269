"""Logging to standard error as key=value pairs (logfmt), or as JSON lines with the same keys."""

import contextlib
import json
import logging
import logging.handlers
import queue
import time

QUEUE_SIZE = 4096  # log records that may wait to be written


def format_pair(key, value):
    """`key=value`, quoted where needed; floats with three decimals."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and text.isprintable() and not set(text) & set(' ="')
    return f"{key}={text if plain else json.dumps(text)}"


class KeyValueFormatter(logging.Formatter):
    """Formats `log.info("event", extra={"pairs": {...}})` as `time=... level=info node=... event=event ...`.

    `common`: pairs added to every line.
    """

    def __init__(self, node, **common):
        """`node`: the node's name, for every line; `common`: see the class."""
        super().__init__()
        self.common = {"node": node, **common}

    def pairs(self, record):
        """The pairs of a record, in the order in which they are written."""
        at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)) + f".{int(record.msecs):03d}Z"
        pairs = {
            "time": at,
            "level": record.levelname.lower(),
            **self.common,
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return pairs

    def format(self, record):
        """The line for a record."""
        return " ".join(format_pair(k, v) for k, v in self.pairs(record).items())


class JsonFormatter(KeyValueFormatter):
    """Formats a record as one JSON object per line."""

    def format(self, record):
        """The line for a record."""
        return json.dumps(self.pairs(record), default=str)


class DroppingQueueHandler(logging.handlers.QueueHandler):
    """Passes records to the writing thread through a bounded queue.

    A slow reader of the log does not block the threads that log: records that do not fit are dropped.
    """

    def prepare(self, record):
        """Leaves the record as it is: the writing thread formats it."""
        return record

    def enqueue(self, record):
        """Queues the record, or drops it if the queue is full."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)


FORMATS = {"pairs": KeyValueFormatter, "json": JsonFormatter}


def configure(node, level=logging.INFO, format="pairs", **common):
    """Sets up logging to standard error; returns a function that flushes and stops it.

    `common`: pairs added to every line.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(FORMATS[format](node, **common))
    # On a full disk lines are lost, without tracebacks that could not be written either.
    logging.raiseExceptions = False
    records = queue.Queue(QUEUE_SIZE)
    root = logging.getLogger("cottonspread")
    root.handlers, root.propagate = [DroppingQueueHandler(records)], False
    root.setLevel(level)
    listener = logging.handlers.QueueListener(records, handler)
    listener.start()
    return listener.stop
