"""A stand-in for a target: announces itself and answers requests.

Its behaviour can be changed while it runs, by POST to /_control with any of
the fields of `Behaviour` as JSON.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import dataclasses
import json
import os
import random
import signal
import socket
import time

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from geventhttpclient import HTTPClient

LEASE_S = 3.0
ANNOUNCE_INTERVAL_S = 1.0
# Time that a request takes in addition while the target is cold.
COLD_DELAY_S = 0.3


@dataclasses.dataclass
class Behaviour:
    """How the target handles requests.

    Attributes:
        delay_s: time that each request takes.
        fail_share: share of requests answered with status 500.
        break_share: share whose connection is closed without a response.
        shed_share: share refused before running, with outcome not-run.
        hang: never respond to requests.
        broken_data: respond without the fields that callers need.
        cut_body: close the connection within the response's body.
        answer_bytes: extra bytes in each response.
        poison: path of the requests whose connection is closed.
        silence_open: connections that are open when this is set get no more
            responses.
    """

    delay_s: float = 0.0
    fail_share: float = 0.0
    break_share: float = 0.0
    shed_share: float = 0.0
    hang: bool = False
    broken_data: bool = False
    cut_body: bool = False
    answer_bytes: int = 0
    poison: str = ""
    silence_open: bool = False


class SocketHandler(WSGIHandler):
    """Passes the socket and its opening time to the application.

    The application closes the socket to simulate a broken connection.
    """

    def handle(self):
        """Serve one connection."""
        self.opened_at = time.monotonic()
        super().handle()

    def get_environ(self):
        """Return the WSGI environment of one request."""
        return {
            **super().get_environ(),
            "wasabitray.socket": self.socket,
            "wasabitray.opened": self.opened_at,
        }


class NoDelayServer(WSGIServer):
    """A server that sends small writes without delay (TCP_NODELAY)."""

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class Target:
    """A target: its announcements and its WSGI application."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Create the target with the arguments of the command line."""
        self.arguments = arguments
        self.behaviour = Behaviour()
        self.busy = 0
        self.runs: dict[str, int] = {}
        self.poisoned = 0
        self.received = 0
        self.silent_before = 0.0
        self.warm_at = time.monotonic() + arguments.cold_s
        self.sequence = 0
        self.generation = time.time_ns() // 1_000_000
        self.leaving = False

    # Announcing

    def announce_forever(self) -> None:
        """Announce to the configured entries in turn, again and again."""
        while True:
            for entry in self.arguments.entry:
                self.announce_to(entry)
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def announce_to(self, entry: str) -> None:
        """Send one announcement to an entry."""
        self.sequence += 1
        body = {
            "address": self.arguments.address,
            "service": self.arguments.service,
            "region": self.arguments.region,
            "failure_domain": self.arguments.domain,
            "slots": self.arguments.slots,
            "generation": self.generation,
            "sequence": self.sequence,
            "lease_s": LEASE_S,
            "leaving": self.leaving,
        }
        host, _, port = entry.rpartition(":")
        client = HTTPClient(
            host, int(port), connection_timeout=1, network_timeout=1
        )
        try:
            client.post("/v1/announcements", json.dumps(body)).read()
        except Exception:
            pass  # the next announcement may succeed
        finally:
            client.close()

    def leave(self) -> None:
        """Announce the departure, let requests finish for a while and exit."""
        self.leaving = True
        for entry in self.arguments.entry:
            self.announce_to(entry)
        gevent.sleep(self.arguments.leave_s)
        os._exit(0)

    # Serving

    def serve(self, environ, start_response):
        """Answer one request (a WSGI application)."""
        if environ["PATH_INFO"] == "/_control":
            return self.handle_control(environ, start_response)
        if environ["wasabitray.opened"] < self.silent_before:
            gevent.sleep(3_600)
        self.received += 1
        behaviour = self.behaviour
        draw = random.random()
        if draw < behaviour.shed_share:
            headers = [
                ("Wasabitray-Outcome", "not-run"),
                *self.get_headers(environ),
            ]
            start_response("503 Busy", headers)
            return [b""]
        body = environ["wsgi.input"].read()
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key:
            self.runs[key] = self.runs.get(key, 0) + 1
        self.busy += 1
        try:
            cold = time.monotonic() < self.warm_at
            gevent.sleep(behaviour.delay_s + COLD_DELAY_S * cold)
            if behaviour.hang:
                gevent.sleep(3_600)
        finally:
            self.busy -= 1
        poisoned = environ["PATH_INFO"] == behaviour.poison
        self.poisoned += poisoned
        if poisoned or random.random() < behaviour.break_share:
            environ["wasabitray.socket"].shutdown(socket.SHUT_RDWR)
            raise ConnectionError("connection closed on purpose")
        if random.random() < behaviour.fail_share:
            start_response("500 Failed", self.get_headers(environ))
            return [b"failed"]
        return self.respond(environ, start_response, len(body))

    def respond(self, environ, start_response, received_bytes):
        """Respond with the data that the examples' template requires."""
        document = {
            "branch": environ["PATH_INFO"].rsplit("/", 1)[-1],
            "monitors": ["E. Pennicott", "R. Fipple"],
            "target": self.arguments.address,
            "received": received_bytes,
            "query": environ["QUERY_STRING"],
            "path": environ["PATH_INFO"],
            "padding": "x" * self.behaviour.answer_bytes,
        }
        if self.behaviour.broken_data:
            del document["monitors"]
        body = json.dumps(document).encode()
        length = str(len(body))
        headers = [
            ("Content-Type", "application/json"),
            *self.get_headers(environ),
        ]
        if self.behaviour.cut_body:
            start_response("200 OK", [*headers, ("Content-Length", length)])
            return self.yield_half(body)
        start_response("200 OK", [*headers, ("Content-Length", length)])
        return [body]

    @staticmethod
    def yield_half(body):
        """Yield the first half of a body and fail."""
        yield body[: len(body) // 2]
        raise ConnectionError("body truncated on purpose")

    def get_headers(self, environ):
        """Return the headers with the load and the id of the request."""
        load = f"busy={self.busy}, slots={self.arguments.slots}"
        return [
            ("Wasabitray-Load", load),
            (
                "Wasabitray-Request-Id",
                environ.get("HTTP_WASABITRAY_REQUEST_ID", ""),
            ),
        ]

    def handle_control(self, environ, start_response):
        """Change the behaviour if this is a POST; respond with the state."""
        if environ["REQUEST_METHOD"] == "POST":
            fields = json.loads(environ["wsgi.input"].read())
            self.behaviour = dataclasses.replace(self.behaviour, **fields)
            if fields.get("silence_open"):
                self.silent_before = time.monotonic()
        start_response("200 OK", [("Content-Type", "application/json")])
        state = {
            **dataclasses.asdict(self.behaviour),
            "runs": self.runs,
            "poisoned": self.poisoned,
            "received": self.received,
        }
        return [json.dumps(state).encode()]


def main() -> None:
    """Serve until SIGTERM, on which the target leaves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="IP:PORT")
    parser.add_argument("--service", required=True)
    parser.add_argument("--region", required=True)
    parser.add_argument("--domain", required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--leave-s", type=float, default=5.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--entry", action="append", required=True)
    arguments = parser.parse_args()
    target = Target(arguments)
    host, _, port = arguments.address.rpartition(":")
    server = NoDelayServer(
        (host, int(port)),
        target.serve,
        log=None,
        error_log=None,
        handler_class=SocketHandler,
    )
    gevent.signal_handler(signal.SIGTERM, gevent.spawn, target.leave)
    gevent.spawn(target.announce_forever)
    server.serve_forever()


if __name__ == "__main__":
    main()
