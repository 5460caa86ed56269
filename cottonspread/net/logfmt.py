"""Log lines as key=value pairs."""
import json
import logging
import time


def pair(key, value):
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    return f"{key}={text if text and text.isprintable() and not set(text) & set(' =' + chr(34)) else json.dumps(text)}"


class KeyValue(logging.Formatter):
    """`log.info("event", extra={"pairs": {...}})` becomes `time=... level=info node=... event=event ...`."""

    def __init__(self, node):
        super().__init__()
        self.node = node

    def format(self, record):
        at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)) + f".{int(record.msecs):03d}Z"
        pairs = {"time": at, "level": record.levelname.lower(), "node": self.node,
                 "event": record.getMessage(), **getattr(record, "pairs", {})}
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(pair(k, v) for k, v in pairs.items())


def start(node, level=logging.INFO):
    handler = logging.StreamHandler()
    handler.setFormatter(KeyValue(node))
    root = logging.getLogger("cottonspread")
    root.handlers, root.propagate = [handler], False
    root.setLevel(level)
    return root
