"""A node whose listening socket the platform holds: the process takes over from one that serves already, and hands over to the next.

The files are in the folder that both share (TMPDIR). A successor that could serve writes WANTED with a mark of its own; whoever
serves answers with HANDED, which bears the mark; then the successor takes connections. Without an answer within a second it
starts from nothing: a predecessor that hangs must not keep its successor from serving.
"""
import logging
import os
import socket
import tempfile
import time
from urllib.parse import quote

from cottonspread.cli.known import Known
from cottonspread.config import Senseless
from cottonspread.fleet import control
from cottonspread.front import handover
from cottonspread.lists import saved

log = logging.getLogger("cottonspread.succession")

LIST_WAIT = 2.0                    # see `Known`
ANSWER_WAIT = 1.0


def inherited(environment):
    """The listening socket that PROXY_INHERITED_FD names, or None without it."""
    word = environment.get("PROXY_INHERITED_FD")
    if not word:
        return None
    try:
        listener = socket.socket(fileno=int(word))
        listens = listener.type == socket.SOCK_STREAM and listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (ValueError, OSError) as fault:
        raise Senseless(f"PROXY_INHERITED_FD: {word!r}: {fault}") from fault
    if not listens:
        listener.detach()                    # it is not ours to close
        raise Senseless(f"PROXY_INHERITED_FD: {word!r} is no listening socket")
    return listener


class Succession:
    def __init__(self, parts, folder=None):
        folder = folder or tempfile.gettempdir()           # TMPDIR, where it is set
        base = os.path.join(folder, "cottonspread-" + quote(parts[0].name, safe=""))
        self.wanted, self.handed, self.mark = base + ".wanted", base + ".handed", f"{os.getpid()} {time.time_ns()}"
        self.lock = control.Lock(base + ".lock")
        self.known = Known(parts, base + ".list", LIST_WAIT)
        self.asked_at, self.alone, self.state = 0.0, False, "waiting"

    def look(self, node):
        """Some ten times a second and more often before it serves."""
        if node.reducer.stopping:
            return
        now = time.monotonic()
        if self.state == "waiting":
            if self.known.ready(node):
                self.alone = self.lock.take()
                if self.alone:
                    self.take(node, None)
                else:
                    self.state, self.asked_at = "asking", now
                    self.write(self.wanted, self.mark)
        elif self.state == "asking":
            answer, over = self.answer(), now - self.asked_at >= ANSWER_WAIT
            if answer or over:
                if not answer:
                    log.warning("hand-over", extra={"pairs": {"why": "no answer", "kept": "none"}})
                self.take(node, answer)
        else:
            if not self.alone and self.lock.take():          # the predecessor has ended
                self.alone = True
                node.limit(None)
            self.hand_over(node)

    def take(self, node, handed):
        self.state = "serving"
        if handed:
            node.inherit(handed)
        node.take()
        log.info("takes", extra={"pairs": {"handed": bool(handed), "alone": self.alone}})

    def answer(self):
        try:
            with open(self.handed, encoding="utf-8") as file:
                return handover.unpack(file.read(), self.mark)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as fault:           # of an earlier one, perhaps: once, and on
            log.warning("hand-over", extra={"pairs": {"why": fault, "kept": "none"}})
            self.remove(self.handed)
            return None

    def hand_over(self, node):
        """Whatever stands in WANTED, the answer is for nobody but who wrote it."""
        try:
            with open(self.wanted, encoding="utf-8", errors="replace") as file:
                mark = file.read(100)
        except OSError:
            return
        if mark == self.mark:                # its own, which nobody answered
            self.remove(self.wanted)
            return
        handed = node.hand_over()
        if handed:
            self.remove(self.wanted)
            self.write(self.handed, handover.pack(handed, mark))
            log.info("hands-over", extra={"pairs": {"records": len(handed.records), "calls": len(handed.ids), "room": handed.room}})

    def write(self, path, text):
        try:
            saved.write_whole(path, text)
        except OSError as fault:
            log.error("hand-over", extra={"pairs": {"file": path, "why": fault}})

    @staticmethod
    def remove(path):
        try:
            os.unlink(path)
        except OSError:
            pass
