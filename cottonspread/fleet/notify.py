"""The service manager's notification protocol (sd_notify): datagrams of KEY=VALUE
lines to the socket in $NOTIFY_SOCKET.
"""

import os
import socket
import time


class Manager:
    """Whoever started us, if it listens; without one nothing is sent."""

    def __init__(self, environment=os.environ):
        self.address = environment.get("NOTIFY_SOCKET", "")
        self.every = 0.0  # seconds between two signs of life: half of what it asks for
        if environment.get("WATCHDOG_USEC", "").isdigit() and environment.get(
            "WATCHDOG_PID", str(os.getpid())
        ) == str(os.getpid()):
            self.every = int(environment["WATCHDOG_USEC"]) / 2e6

    def say(self, *lines):
        """Whether it was sent; nobody waits for a manager that does not read."""
        if not self.address:
            return False
        path = "\0" + self.address[1:] if self.address[0] == "@" else self.address
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
                sock.setblocking(False)
                sock.sendto("\n".join(lines).encode(), path)
            return True
        except OSError:
            return False

    def ready(self, status):
        return self.say("READY=1", f"STATUS={status}")

    def reloading(self):
        return self.say("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")

    def stopping(self):
        return self.say("STOPPING=1")

    def alive(self):
        return self.say("WATCHDOG=1")
