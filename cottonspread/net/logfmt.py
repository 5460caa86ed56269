"""Log lines as key=value pairs, or as JSON lines with the same keys."""

import contextlib
import json
import logging
import logging.handlers
import queue
import time

QUEUE = 4096  # lines


def pair(key, value):
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and text.isprintable() and not set(text) & set(' ="')
    return f"{key}={text if plain else json.dumps(text)}"


class KeyValue(logging.Formatter):
    """`log.info("event", extra={"pairs": {...}})` becomes `time=... level=info node=... event=event ...`.

    `own`: pairs of every line.
    """

    def __init__(self, node, **own):
        super().__init__()
        self.own = {"node": node, **own}

    def pairs(self, record):
        at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)) + f".{int(record.msecs):03d}Z"
        pairs = {
            "time": at,
            "level": record.levelname.lower(),
            **self.own,
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return pairs

    def format(self, record):
        return " ".join(pair(k, v) for k, v in self.pairs(record).items())


class JsonLines(KeyValue):
    def format(self, record):
        return json.dumps(self.pairs(record), default=str)


class Queued(logging.handlers.QueueHandler):
    """A bounded queue to the thread that writes: whoever reads the log
    slowly holds nobody up, and misses lines.
    """

    def prepare(self, record):
        return record

    def enqueue(self, record):
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)


FORMATS = {"pairs": KeyValue, "json": JsonLines}


def start(node, level=logging.INFO, format="pairs", **own):
    """Logs to standard error; returns what writes out the rest at the end. `own`: pairs of every line."""
    handler = logging.StreamHandler()
    handler.setFormatter(FORMATS[format](node, **own))
    logging.raiseExceptions = (
        False  # a full disk costs lines, and no tracebacks where there is no room either
    )
    records = queue.Queue(QUEUE)
    root = logging.getLogger("cottonspread")
    root.handlers, root.propagate = [Queued(records)], False
    root.setLevel(level)
    listener = logging.handlers.QueueListener(records, handler)
    listener.start()
    return listener.stop
