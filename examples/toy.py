"""A toy environment to try a node with: three servers that echo lines, and the discovery that lists them.

    python examples/toy.py               # servers and discovery
    python examples/toy.py talk [GROUP]  # a client: what you type goes to the server that the node chose

In the first, type `drain 1` or `up 1` to change the state of a server in the list, or `stop 1` to make it
stop answering, like a machine that has vanished. The servers speak the hosts' side of the protocol:
`UP RECEIPT` answers a first line, each line after it is echoed, and BYE ends a connection.
"""

import contextlib
import json
import secrets
import socket
import sys
import threading
import urllib.parse

DISCOVERY, NODE = ("127.0.0.1", 8500), ("127.0.0.1", 8080)
STATES = {"drain": "Terminating", "up": "Ready"}


class Toy:
    """The servers and their discovery."""

    def __init__(self, count):
        """Starts `count` servers on free ports of the loopback interface."""
        self.changed, self.version, self.changes = threading.Condition(), 1, []
        self.silent = set()
        self.servers = []
        for n in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            self.servers.append(
                {
                    "instanceId": f"toy-{n + 1}",
                    "hostPort": "{}:{}".format(*listener.getsockname()),
                    "zone": "here",
                    "machineType": "toy",
                    "cell": 0,
                    "lifecycle": "Ready",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
            )
            threading.Thread(target=self.accept, args=(listener, self.serve, n), daemon=True).start()

    def accept(self, listener, what, *args):
        """Accepts connections and calls `what(sock, *args)` for each in a thread of its own."""
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=what, args=(sock, *args), daemon=True).start()

    def serve(self, sock, n):
        """Serves a connection to server n."""
        with contextlib.suppress(ConnectionError):  # the node has closed the connection
            self.echo(sock, n)

    def echo(self, sock, n):
        """Answers the first line with UP and echoes the others until BYE or the connection's end."""
        with sock, sock.makefile("rwb") as file:
            for number, line in enumerate(file):
                if n in self.silent:
                    continue
                file.write(b"UP %s\r\n" % secrets.token_hex(8).encode() if not number else line)
                file.flush()
                if number and line.strip() == b"BYE":
                    return

    def discover(self, sock):
        """Serves a connection to the discovery."""
        with contextlib.suppress(ConnectionError):  # the node has closed the connection or was killed
            self.serve_list(sock)

    def serve_list(self, sock):
        """Answers HTTP requests for the list until the connection's end."""
        with sock, sock.makefile("rwb") as file:
            while line := file.readline():
                while file.readline().strip():
                    pass
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(line.split()[1].decode()).query)
                body = json.dumps(self.answer(query)).encode()
                file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                file.flush()

    def answer(self, query):
        """Returns the full list, or, for a long poll, the changes, once there are some or it times out."""
        with self.changed:
            if "since" not in query:
                return {"generation": self.version, "reset": True, "instances": self.servers}
            since = int(query["since"][0])
            self.changed.wait_for(lambda: self.version > since, int(query["timeout_ms"][0]) / 1000)
            latest = {s["instanceId"]: s for version, s in self.changes if version > since}
            return {"generation": self.version, "reset": False, "instances": list(latest.values())}

    def change(self, n, state):
        """Changes the state of server n in the list."""
        with self.changed:
            self.version += 1
            self.servers[n] = self.servers[n] | {"lifecycle": state}
            self.changes.append((self.version, self.servers[n]))
            self.changed.notify_all()


def run_servers():
    """Runs servers and discovery, and reads commands from standard input."""
    toy = Toy(3)
    threading.Thread(
        target=toy.accept, args=(socket.create_server(DISCOVERY), toy.discover), daemon=True
    ).start()
    print(
        "servers:",
        ", ".join(s["instanceId"] for s in toy.servers),
        "- discovery at {}:{}".format(*DISCOVERY),
        flush=True,
    )
    for line in sys.stdin:
        word, _, number = line.strip().partition(" ")
        if number not in ("1", "2", "3") or word not in ("drain", "up", "stop"):
            print("drain N, up N or stop N, N from 1 to 3")
            continue
        if word in STATES:
            toy.silent.discard(int(number) - 1)
            toy.change(int(number) - 1, STATES[word])
        else:
            toy.silent.add(int(number) - 1)
    threading.Event().wait()  # without a terminal: runs until it is killed


def talk(group):
    """Opens a connection to the node, sends the lines typed and prints the ones received."""
    with socket.create_connection(NODE) as sock:
        sock.sendall(
            b"OPEN %s %s c=chat,d=2000,g=%s\r\n"
            % (secrets.token_hex(8).encode(), secrets.token_hex(8).encode(), group.encode())
        )

        answers = sock.makefile("rb")
        print("<", answers.readline().decode().rstrip(), flush=True)  # UP: the connection is established

        def show():
            for line in answers:
                print("<", line.decode().rstrip(), flush=True)
            print("the connection has ended", flush=True)

        reader = threading.Thread(target=show, daemon=True)
        reader.start()
        try:
            for line in sys.stdin:
                sock.sendall(line.rstrip("\r\n").encode() + b"\r\n")
        except OSError:
            pass
        reader.join(1)


if __name__ == "__main__":
    if sys.argv[1:2] == ["talk"]:
        talk(sys.argv[2] if len(sys.argv) > 2 else secrets.token_hex(8))
    else:
        run_servers()
