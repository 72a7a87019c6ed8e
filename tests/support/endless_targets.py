"""Measures the memory of attempts at many targets that send without end.

Run as a program, it makes attempts of one kind and sound ones beside them, in
a process of its own, and prints what it saw as JSON.
"""

from __future__ import annotations

import itertools
import json
import resource
import sys
import time

import gevent
from gevent.server import StreamServer

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import Request, Target
from wasabitray_core.states import AttemptStatus
from wasabitray_node.connections import ConnectionPool
from wasabitray_node.dialects import NativeTargetDialect
from wasabitray_node.settings import Limits
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerWatch

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"a" * 4_096
CHUNK = b"1000\r\n" + FILLER + b"\r\n"
# What a target sends first, and what it repeats then.
ENDLESS = {
    "header value": (HEAD + b"X-Filler: ", FILLER),
    "header lines": (HEAD, b"X-Filler: a\r\n" * 256),
    "short header lines": (HEAD, b"a:\r\n" * 1_024),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 128),
    "no protocol": (b"", FILLER),
    "chunk extension": (CHUNKED + b"1;x=", FILLER),
    "trailer lines": (CHUNKED + CHUNK + b"0\r\n", b"a:\r\n" * 1_024),
    "chunks": (CHUNKED, CHUNK),
    "body with a length": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        FILLER,
    ),
    "body until the end of the connection": (HEAD + b"\r\n", FILLER),
}
SOUND_RESPONSE = HEAD + b"Content-Length: 2\r\n\r\nok"
SOUND_PAUSE_S = 0.02
ATTEMPT_TIMEOUT_S = 20.0
# Callers read an endless body this slowly, and leave after some pieces.
PIECE_PAUSE_S = 0.05
PIECES_READ = 20


class Meter:
    """Makes attempts and counts how they end."""

    def __init__(self) -> None:
        limits = Limits()
        pool = ConnectionPool(limits, time.monotonic)
        self.upstream = Upstream(
            pool, limits, time.monotonic, NativeTargetDialect()
        )
        self.sound = self.sound_answered = 0
        self.slowest_s = 0.0

    def attempt(self, target):
        request = Request("hobart", "GET", "/")
        effect = Attempt(target, request, ATTEMPT_TIMEOUT_S, True, 0.0)
        return self.upstream.attempt(effect, CallerWatch(None))

    def read_endless(self, target):
        """Make an attempt and read some of its body."""
        response = self.attempt(target).response
        if response is None:
            return
        gevent.sleep(PIECE_PAUSE_S)
        response.body = b""  # it was sent
        try:
            for _ in itertools.islice(response.chunks, PIECES_READ):
                gevent.sleep(PIECE_PAUSE_S)
        except TruncatedAnswerError:
            return

    def send_sound(self, target, jobs):
        """Make sound attempts until the jobs are done."""
        while not all(job.ready() for job in jobs):
            started = time.monotonic()
            result = self.attempt(target)
            self.sound += 1
            self.sound_answered += result.status is AttemptStatus.ANSWERED
            elapsed = time.monotonic() - started
            self.slowest_s = max(self.slowest_s, elapsed)
            gevent.sleep(SOUND_PAUSE_S)


def start_target(name, serve):
    server = StreamServer(("127.0.0.1", 0), serve, backlog=1_024)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    return Target(name, "rota", "south", "south-a", 2, address)


def serve_sound(sock, _address):
    sock.recv(65_536)
    sock.sendall(SOUND_RESPONSE)


def get_peak_bytes():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024


def measure(kind: str, count: int) -> dict:
    """Make `count` attempts at once at targets of a kind."""

    def serve_endless(sock, _address):
        sock.recv(65_536)
        start, filler = ENDLESS[kind]
        try:
            for piece in itertools.chain([start], itertools.repeat(filler)):
                sock.sendall(piece)
                gevent.sleep(0)
        except OSError:
            return  # the entry has closed the connection

    endless = start_target("t1", serve_endless)
    sound = start_target("t2", serve_sound)
    meter = Meter()
    meter.attempt(sound)
    before = get_peak_bytes()
    jobs = [gevent.spawn(meter.read_endless, endless) for _ in range(count)]
    meter.send_sound(sound, jobs)
    return {
        "grown_bytes": get_peak_bytes() - before,
        "sound": meter.sound,
        "sound_answered": meter.sound_answered,
        "slowest_s": meter.slowest_s,
    }


if __name__ == "__main__":
    print(json.dumps(measure(sys.argv[1], int(sys.argv[2]))))
