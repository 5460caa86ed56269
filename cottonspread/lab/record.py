"""The records that clients, hosts, the list and the runner write: JSON Lines, one file per process.

An incomplete last line, left by a killed process, is ignored.
"""

import glob
import io
import os
import queue
import threading

import msgspec

BUFFER_SIZE = 16 * 1024


class Record:
    """Appends lines to a file; they are written when the buffer is full, at `flush` and at `close`.

    A separate thread writes, because a disk that committed its journal delayed a load generator by 15 ms.
    """

    def __init__(self, path):
        """Opens the file and starts the thread."""
        self.file, self.encode = io.FileIO(path, "ab"), msgspec.json.Encoder().encode
        self.buffer, self.size = [], 0
        self.queue = queue.SimpleQueue()
        self.writer = threading.Thread(target=self.write_loop, daemon=True)
        self.writer.start()

    def put(self, line):
        """Adds a line."""
        data = self.encode(line)
        self.buffer.append(data)
        self.size += len(data)
        if self.size > BUFFER_SIZE:
            self.flush()

    def flush(self):
        """Passes the buffered lines on to be written."""
        if self.buffer:
            self.queue.put(self.buffer)
            self.buffer, self.size = [], 0

    def write_loop(self):
        """Writes lines until `close`; runs in a thread of its own."""
        while (lines := self.queue.get()) is not None:
            self.file.write(b"\n".join(lines) + b"\n")

    def close(self):
        """Writes what is left and closes the file."""
        self.flush()
        self.queue.put(None)
        self.writer.join()
        self.file.close()


def read(folder, kind):
    """Yields all lines of a folder's files `kind-*.jsonl`, file by file."""
    decode = msgspec.json.Decoder().decode
    for path in sorted(glob.glob(os.path.join(folder, f"{kind}-*.jsonl"))):
        with open(path, "rb") as file:
            for line in file:
                if line.endswith(b"\n"):
                    yield decode(line)
