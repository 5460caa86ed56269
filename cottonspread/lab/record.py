"""What clients, hosts, the list and the runner saw: JSON Lines, one file a process.

A last line cut off by a kill is passed over.
"""

import glob
import io
import os
import queue
import threading

import msgspec

BUFFER_SIZE = 16 * 1024


class Record:
    """Appends lines; handed out to be written when much has come together, at `flush` and at `close`.

    A thread of its own writes: a disk that commits its journal held a generator up for 15 ms.
    """

    def __init__(self, path):
        self.file, self.encode = io.FileIO(path, "ab"), msgspec.json.Encoder().encode
        self.buffer, self.size = [], 0
        self.queue = queue.SimpleQueue()
        self.writer = threading.Thread(target=self.write_loop, daemon=True)
        self.writer.start()

    def put(self, line):
        data = self.encode(line)
        self.buffer.append(data)
        self.size += len(data)
        if self.size > BUFFER_SIZE:
            self.flush()

    def flush(self):
        if self.buffer:
            self.queue.put(self.buffer)
            self.buffer, self.size = [], 0

    def write_loop(self):
        while (lines := self.queue.get()) is not None:
            self.file.write(b"\n".join(lines) + b"\n")

    def close(self):
        self.flush()
        self.queue.put(None)
        self.writer.join()
        self.file.close()


def read(folder, kind):
    """All lines of the files `kind-*.jsonl` of a folder, each file in its order."""
    decode = msgspec.json.Decoder().decode
    for path in sorted(glob.glob(os.path.join(folder, f"{kind}-*.jsonl"))):
        with open(path, "rb") as file:
            for line in file:
                if line.endswith(b"\n"):
                    yield decode(line)
