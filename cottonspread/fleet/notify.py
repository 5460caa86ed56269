"""The service manager's notification protocol (sd_notify).

It consists of datagrams of KEY=VALUE lines to the socket in $NOTIFY_SOCKET.
"""

import os
import socket
import time


class ServiceManager:
    """The service manager that started this process; without one nothing is sent."""

    def __init__(self, environment=os.environ):
        """Reads the socket's address and the watchdog interval from the environment."""
        self.address = environment.get("NOTIFY_SOCKET", "")
        self.watchdog_interval = 0.0  # seconds between two keep-alives: half the configured timeout
        if environment.get("WATCHDOG_USEC", "").isdigit() and environment.get(
            "WATCHDOG_PID", str(os.getpid())
        ) == str(os.getpid()):
            self.watchdog_interval = int(environment["WATCHDOG_USEC"]) / 2e6

    def send(self, *lines):
        """Sends a datagram without waiting; returns whether it was sent."""
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
        """Reports that the service is ready."""
        return self.send("READY=1", f"STATUS={status}")

    def notify_reloading(self):
        """Reports that the service reloads its configuration."""
        return self.send("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")

    def notify_stopping(self):
        """Reports that the service is stopping."""
        return self.send("STOPPING=1")

    def notify_watchdog(self):
        """Sends the watchdog's keep-alive."""
        return self.send("WATCHDOG=1")
