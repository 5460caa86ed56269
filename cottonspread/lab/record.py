"""What clients, hosts, the list and the runner saw: JSON Lines, one file a process. A last line cut off by a kill is passed over."""
import glob
import os

import msgspec

KEPT = 16 * 1024                   # little at a time: a large write makes a generator late


class Record:
    """Appends lines; written out when much has come together, at `flush` and at `close`."""

    def __init__(self, path):
        self.file, self.kept, self.size, self.encode = open(path, "ab", buffering=0), [], 0, msgspec.json.Encoder().encode

    def put(self, line):
        data = self.encode(line)
        self.kept.append(data)
        self.size += len(data)
        if self.size > KEPT:
            self.flush()

    def flush(self):
        if self.kept:
            self.file.write(b"\n".join(self.kept) + b"\n")
            self.kept, self.size = [], 0

    def close(self):
        self.flush()
        self.file.close()


def read(folder, kind):
    """All lines of the files `kind-*.jsonl` of a folder, each file in its order."""
    decode = msgspec.json.Decoder().decode
    for path in sorted(glob.glob(os.path.join(folder, f"{kind}-*.jsonl"))):
        with open(path, "rb") as file:
            for line in file:
                if line.endswith(b"\n"):
                    yield decode(line)
