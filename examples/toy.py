"""A toy to try a node with: three servers that echo lines, and the discovery that lists them.

    python examples/toy.py               # servers and discovery
    python examples/toy.py talk [GROUP]  # a client: what you type goes to the server that the node chose

Typing `drain 1`, `up 1`, `stop 1` at the first changes the list.
The servers speak the hosts' side of the protocol: `UP RECEIPT` for a first line, then each line back; BYE
ends a connection. `stop N` makes server N silent, as a machine that vanished.
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
    def __init__(self, count):
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
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=what, args=(sock, *args), daemon=True).start()

    def serve(self, sock, n):
        with contextlib.suppress(ConnectionError):  # the node was first
            self.echo(sock, n)

    def echo(self, sock, n):
        with sock, sock.makefile("rwb") as file:
            for number, line in enumerate(file):
                if n in self.silent:
                    continue
                file.write(b"UP %s\r\n" % secrets.token_hex(8).encode() if not number else line)
                file.flush()
                if number and line.strip() == b"BYE":
                    return

    def discover(self, sock):
        with contextlib.suppress(ConnectionError):  # the node was first, as one that is killed is
            self.tell_list(sock)

    def tell_list(self, sock):
        with sock, sock.makefile("rwb") as file:
            while line := file.readline():
                while file.readline().strip():
                    pass
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(line.split()[1].decode()).query)
                body = json.dumps(self.answer(query)).encode()
                file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                file.flush()

    def answer(self, query):
        with self.changed:
            if "since" not in query:
                return {"generation": self.version, "reset": True, "instances": self.servers}
            since = int(query["since"][0])
            self.changed.wait_for(lambda: self.version > since, int(query["timeout_ms"][0]) / 1000)
            news = {s["instanceId"]: s for version, s in self.changes if version > since}
            return {"generation": self.version, "reset": False, "instances": list(news.values())}

    def change(self, n, state):
        with self.changed:
            self.version += 1
            self.servers[n] = self.servers[n] | {"lifecycle": state}
            self.changes.append((self.version, self.servers[n]))
            self.changed.notify_all()


def run_servers():
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
    threading.Event().wait()  # without a terminal: until it is ended


def talk(group):
    with socket.create_connection(NODE) as sock:
        sock.sendall(
            b"OPEN %s %s c=chat,d=2000,g=%s\r\n"
            % (secrets.token_hex(8).encode(), secrets.token_hex(8).encode(), group.encode())
        )

        answers = sock.makefile("rb")
        print("<", answers.readline().decode().rstrip(), flush=True)  # UP: the connection stands

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
