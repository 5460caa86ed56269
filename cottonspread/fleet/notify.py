"""The service manager's notification protocol (sd_notify): datagrams of KEY=VALUE
lines to the socket in $NOTIFY_SOCKET.
"""

import os
import socket
import time


class ServiceManager:
    """Whoever started us, if it listens; without one nothing is sent."""

    def __init__(self, environment=os.environ):
        self.address = environment.get("NOTIFY_SOCKET", "")
        self.watchdog_interval = 0.0  # seconds between two signs of life: half of what it asks for
        if environment.get("WATCHDOG_USEC", "").isdigit() and environment.get(
            "WATCHDOG_PID", str(os.getpid())
        ) == str(os.getpid()):
            self.watchdog_interval = int(environment["WATCHDOG_USEC"]) / 2e6

    def send(self, *lines):
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

    def notify_ready(self, status):
        return self.send("READY=1", f"STATUS={status}")

    def notify_reloading(self):
        return self.send("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")

    def notify_stopping(self):
        return self.send("STOPPING=1")

    def notify_watchdog(self):
        return self.send("WATCHDOG=1")
