"""Stand-ins for the platform: instances, callers and the operator.

They speak the platform's published protocol. Instances run in this process,
so that a scenario can look at what reached them.
"""

from __future__ import annotations

import contextlib
import json
import socket
from dataclasses import dataclass, field

import gevent
from gevent.server import StreamServer

BEAT_INTERVAL_S = 0.5
HOST = "rota.example"
READ_BYTES = 65_536


@dataclass
class Received:
    """A request as it reached an instance."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    at_work: bool = True
    left_early: bool = False


@dataclass
class Response:
    """A status, headers and a body."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    def json(self):
        return json.loads(self.body)


class Reader:
    """Reads heads and bodies of HTTP messages from a socket."""

    def __init__(self, sock) -> None:
        self.sock = sock
        self.data = b""

    def until(self, mark: bytes) -> bytes:
        while mark not in self.data:
            more = self.sock.recv(READ_BYTES)
            if not more:
                raise EOFError
            self.data += more
        found, _, self.data = self.data.partition(mark)
        return found

    def exactly(self, size: int) -> bytes:
        while len(self.data) < size:
            more = self.sock.recv(READ_BYTES)
            if not more:
                raise EOFError
            self.data += more
        found, self.data = self.data[:size], self.data[size:]
        return found

    def head(self) -> tuple[str, dict[str, str]]:
        first, *lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines)
        return first, {n.strip().lower(): v.strip() for n, v in pairs}

    def body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding") == "chunked":
            pieces = []
            while size := int(self.until(b"\r\n"), 16):
                pieces.append(self.exactly(size))
                self.until(b"\r\n")
            self.until(b"\r\n")
            return b"".join(pieces)
        return self.exactly(int(headers.get("content-length", 0)))


class Instance:
    """One instance of a service, which registers itself.

    Attributes:
        mode: `serve`, `reset`, `early`, `unframed`, `extra`, `full` or
            `other` (it is not the instance that is expected).
        delay_s: time that each request takes.
    """

    def __init__(self, name, service, address, zone, control, born=1_000):
        self.name, self.service, self.zone = name, service, zone
        self.address, self.control, self.born = address, control, born
        self.mode, self.delay_s = "serve", 0.0
        self.state, self.sequence = "ready", 0
        self.requests: list[Received] = []
        host, _, port = address.rpartition(":")
        self.server = StreamServer((host, int(port)), self.serve)
        self.server.start()
        self.beats = gevent.spawn(self.beat_forever)

    @property
    def started_ids(self) -> list[str]:
        """Ids of the requests that it began to run."""
        return [r.headers.get("request-id", "") for r in self.requests]

    def say(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self.sequence,
            "born": self.born,
        }

    def beat(self) -> bool:
        """Tell the control hosts in turn until one acknowledges."""
        for address in self.control:
            try:
                response = call(
                    address, "PUT", f"/-/instances/{self.name}", self.say()
                )
            except (OSError, EOFError):
                continue
            if response.status == 200:
                return True
        return False

    def beat_forever(self) -> None:
        while True:
            self.beat()
            gevent.sleep(BEAT_INTERVAL_S)

    def leave(self) -> bool:
        """Say that it leaves; tell whether that was acknowledged."""
        self.state = "draining"
        return self.beat()

    def stop(self) -> None:
        self.beats.kill()
        self.server.stop(timeout=0)

    # Serving

    def serve(self, sock, _address) -> None:
        reader = Reader(sock)
        try:
            while self.serve_one(sock, reader):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            sock.close()

    def serve_one(self, sock, reader) -> bool:
        first, headers = reader.head()
        method, target, _ = first.split(" ", 2)
        if self.mode == "other":
            sock.sendall(answer(421, {"Instance-Id": "i-other"}))
            return True
        if self.mode == "full":
            sock.sendall(answer(503, {"Not-Executed": "1"}))
            return True
        request = Received(method, target, headers)
        self.requests.append(request)
        stamp = {
            "Request-Id": headers.get("request-id", ""),
            "Server-Stamp": f"stamp-{self.name}",
            "Server-Load": "1,0,2",
        }
        if self.mode == "early":
            sock.sendall(answer(413, stamp, b"too long"))
            return False
        request.body = reader.body(headers)
        if self.mode == "reset":
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            return False
        self.work(sock, request)
        request.at_work = False
        body = f"{self.name} {len(request.body)}".encode()
        if self.mode == "unframed":
            head = "".join(f"{n}: {v}\r\n" for n, v in stamp.items())
            sock.sendall(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body)
            return False
        whole = answer(200, stamp, body)
        if self.mode == "extra":
            sock.sendall(whole + answer(200, stamp, b"nobody's"))
            return True
        sock.sendall(whole)
        return True

    def work(self, sock, request: Received) -> None:
        """Take the time of the request; stop when its sender leaves."""
        with gevent.Timeout(self.delay_s or 0.001, False):
            gevent.socket.wait_read(sock.fileno())
            if not sock.recv(1, socket.MSG_PEEK):
                request.left_early, request.at_work = True, False
                raise EOFError


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{n}: {v}" for n, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def connect(address: str):
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.settimeout(10)
    return sock


def call(address: str, method: str, path: str, body=None) -> Response:
    """Make one call of the system's own interfaces."""
    data = b"" if body is None else json.dumps(body).encode()
    return send(address, method, path, data, {})


def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    chunked: bool = False,
) -> Response:
    """Send a request on a connection of its own and read the answer."""
    sock = connect(address)
    try:
        sock.sendall(request_head(method, path, body, headers or {}, chunked))
        with contextlib.suppress(OSError):  # an early answer can end it
            sock.sendall(frame(body) if chunked else body)
        return read_response(sock)
    finally:
        sock.close()


def request_head(method, path, body, headers, chunked=False) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{n}: {v}" for n, v in headers.items()]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def frame(body: bytes) -> bytes:
    pieces = [body[i : i + 50_000] for i in range(0, len(body), 50_000)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + (
        b"0\r\n\r\n"
    )


def read_response(sock) -> Response:
    reader = Reader(sock)
    first, headers = reader.head()
    response = Response(int(first.split(" ")[1]), headers)
    try:
        response.body = reader.body(headers)
    except (EOFError, OSError):
        response.complete = False
    return response


def make_config(version: int, routes: dict[str, dict], services) -> dict:
    """Return a whole configuration.

    Args:
        version: its number.
        routes: path prefix to the fields that differ from the defaults.
        services: names of the services.
    """
    return {
        "version": f"r{version}",
        "routes": [
            {
                "name": f"r-{prefix.strip('/')}",
                "host": HOST,
                "path_prefix": prefix,
                "kind": "idempotent",
                "timeout": "5000ms",
                "latency_target": "800ms",
                "priority": 1,
                "attempts": 2,
                **fields,
            }
            for prefix, fields in routes.items()
        ],
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 330,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
