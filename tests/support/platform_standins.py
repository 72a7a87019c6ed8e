"""Stand-ins for the platform: instances, callers and the operator.

They implement the platform's published protocol. Instances run in this
process, so that a scenario can inspect the requests that reached them.
"""

from __future__ import annotations

import contextlib
import json
import math
import socket
import time
from dataclasses import dataclass, field

import gevent
from gevent.server import StreamServer

REGISTRATION_INTERVAL_S = 0.5
HOST = "rota.example"
READ_BYTES = 65_536
EARLY_BYTES = 3_000
# The connection is idle in the pool of its entry by then.
ENDLESS_AFTER_S = 0.05


@dataclass
class ReceivedRequest:
    """A request as it reached an instance.

    Attributes:
        started_at: when the instance began to work on it.
        ended_at: when it ended that work, or its sender disconnected;
            infinity while it works.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    is_running: bool = True
    sender_left: bool = False
    started_at: float = field(default_factory=time.monotonic)
    ended_at: float = math.inf


@dataclass
class Response:
    """An HTTP response; it is not complete if its body was cut off."""

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

    def read_until(self, delimiter: bytes) -> bytes:
        while delimiter not in self.data:
            chunk = self.sock.recv(READ_BYTES)
            if not chunk:
                raise EOFError
            self.data += chunk
        part, _, self.data = self.data.partition(delimiter)
        return part

    def read_exactly(self, size: int) -> bytes:
        while len(self.data) < size:
            chunk = self.sock.recv(READ_BYTES)
            if not chunk:
                raise EOFError
            self.data += chunk
        part, self.data = self.data[:size], self.data[size:]
        return part

    def read_head(self) -> tuple[str, dict[str, str]]:
        """Return the first line and the headers, with lower-case names."""
        start_line, *lines = (
            self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        )
        pairs = (line.split(":", 1) for line in lines)
        return start_line, {n.strip().lower(): v.strip() for n, v in pairs}

    def read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding") == "chunked":
            chunks = []
            while size := int(self.read_until(b"\r\n"), 16):
                chunks.append(self.read_exactly(size))
                self.read_until(b"\r\n")
            self.read_until(b"\r\n")
            return b"".join(chunks)
        return self.read_exactly(int(headers.get("content-length", 0)))


class Instance:
    """An instance of a service, which registers with the control hosts.

    Attributes:
        mode: what it does with requests: `serve`; `reset` the connection;
            respond `early`, before the body is read; `early-reset`, without
            a length, and reset the connection; `unframed`, without a length;
            `status-000` and others, with such a status; send `extra` bytes
            after the response; `full`, refuse them as not executed; `other`,
            respond as an instance other than the expected one does;
            `endless-head`, `endless-after`, send header lines without end,
            or bytes after a complete response.
        delay_s: time that each request takes.
        transfer_s: time that each response takes to reach the entry.
        overrun_s: how long after the deadline of a request it gives up;
            negative for a time before the deadline.
        crash_path: requests with this path break their connection.
        is_leaving: whether its responses state that it is leaving.
        retry_after: the `Retry-After` header of its refusals, if any.
        received_at: when each request reached it, also those it refused.
    """

    def __init__(self, name, service, address, zone, registries, born=1_000):
        self.name, self.service, self.zone = name, service, zone
        self.address, self.registries, self.born = address, registries, born
        self.mode, self.crash_path = "serve", ""
        self.delay_s, self.overrun_s, self.transfer_s = 0.0, 0.0, 0.0
        self.is_leaving, self.retry_after = False, ""
        self.received_at: list[float] = []
        self.state, self.sequence = "ready", 0
        self.requests: list[ReceivedRequest] = []
        host, _, port = address.rpartition(":")
        self.server = StreamServer((host, int(port)), self.serve_connection)
        self.server.start()
        self.registration_job = gevent.spawn(self.register_forever)

    @property
    def started_ids(self) -> list[str]:
        """Ids of the requests that it started to run."""
        return [r.headers.get("request-id", "") for r in self.requests]

    def build_registration(self) -> dict:
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

    def register(self) -> bool:
        """Register with the control hosts in turn until one acknowledges."""
        for address in self.registries:
            try:
                response = call(
                    address,
                    "PUT",
                    f"/-/instances/{self.name}",
                    self.build_registration(),
                )
            except (OSError, EOFError):
                continue
            if response.status == 200:
                return True
        return False

    def register_forever(self) -> None:
        while True:
            self.register()
            gevent.sleep(REGISTRATION_INTERVAL_S)

    def leave(self) -> bool:
        """Announce that it is leaving; return whether that is acknowledged."""
        self.state = "draining"
        return self.register()

    def stop(self) -> None:
        self.registration_job.kill()
        self.server.stop(timeout=0)

    # Serving

    def serve_connection(self, sock, _address) -> None:
        reader = Reader(sock)
        try:
            while self.serve_one(sock, reader):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            sock.close()

    def serve_one(self, sock, reader) -> bool:
        request_line, headers = reader.read_head()
        method, target, _ = request_line.split(" ", 2)
        if self.mode == "other":
            sock.sendall(build_response(421, {"Instance-Id": "i-other"}))
            return True
        self.received_at.append(time.monotonic())
        if self.mode == "full":
            reader.read_body(headers)
            sock.sendall(build_response(503, self.build_refusal(headers)))
            return True
        request = ReceivedRequest(method, target, headers)
        self.requests.append(request)
        response_headers = {
            "Request-Id": headers.get("request-id", ""),
            "Server-Stamp": f"stamp-{self.name}",
            "Server-Load": "1,0,2",
        }
        if self.is_leaving:
            response_headers["Server-Leaving"] = "1"
        if self.mode == "early":
            sock.sendall(build_response(413, response_headers, b"too long"))
            return False
        if self.mode == "early-reset":
            head = build_response(200, response_headers)
            head = head.replace(b"Content-Length: 0\r\n", b"")
            sock.sendall(head + b"b" * EARLY_BYTES)
            reset_at_close(sock)
            return False
        request.body = reader.read_body(headers)
        if self.mode == "reset" or target == self.crash_path:
            reset_at_close(sock)
            return False
        try:
            is_done = self.wait_for_delay(sock, request)
        finally:
            request.ended_at = time.monotonic()
        gevent.sleep(self.transfer_s)
        if not is_done:
            sock.sendall(build_response(504, response_headers, b"too late"))
            return True
        request.is_running = False
        body = f"{self.name} {len(request.body)}".encode()
        if self.mode == "unframed":
            head = "".join(
                f"{n}: {v}\r\n" for n, v in response_headers.items()
            )
            sock.sendall(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body)
            return False
        status = self.mode.removeprefix("status-")
        if status != self.mode:
            response = build_response(200, response_headers, body)
            sock.sendall(response.replace(b"200", status.encode(), 1))
            return True
        complete_response = build_response(200, response_headers, body)
        if self.mode == "extra":
            sock.sendall(
                complete_response
                + build_response(200, response_headers, b"nobody's")
            )
            return True
        if self.mode == "endless-head":
            send_endlessly(sock, b"HTTP/1.1 200 OK\r\n", b"a:\r\n" * 1_024)
        sock.sendall(complete_response)
        if self.mode == "endless-after":
            gevent.sleep(ENDLESS_AFTER_S)
            send_endlessly(sock, b"", b"a" * 4_096)
        return True

    def build_refusal(self, headers: dict[str, str]) -> dict[str, str]:
        refusal = {
            "Not-Executed": "1",
            "Request-Id": headers.get("request-id", ""),
        }
        if self.retry_after:
            refusal["Retry-After"] = self.retry_after
        return refusal

    def wait_for_delay(self, sock, request: ReceivedRequest) -> bool:
        """Wait for the request's delay, or until the sender disconnects.

        Returns:
            Whether the delay was over before the instance gave up.
        """
        headers = request.headers
        delay_s = float(headers.get("x-delay-s", self.delay_s)) or 0.001
        deadline_s = int(headers.get("deadline-ms", 60_000)) / 1_000
        limit_s = deadline_s + self.overrun_s
        with gevent.Timeout(min(delay_s, limit_s), False):
            gevent.socket.wait_read(sock.fileno())
            if not sock.recv(1, socket.MSG_PEEK):
                request.sender_left, request.is_running = True, False
                raise EOFError
        return delay_s <= limit_s


def reset_at_close(sock) -> None:
    """Make the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


def send_endlessly(sock, start: bytes, filler: bytes) -> None:
    """Send bytes until the connection is closed, which raises OSError."""
    sock.sendall(start)
    while True:
        sock.sendall(filler)
        gevent.sleep(0)


def build_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{n}: {v}" for n, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def connect(address: str):
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.settimeout(10)
    return sock


def call(address: str, method: str, path: str, body=None) -> Response:
    """Call one of the system's own JSON interfaces."""
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
    """Send a request on a connection of its own and read the response."""
    sock = connect(address)
    try:
        sock.sendall(
            encode_request_head(method, path, body, headers or {}, chunked)
        )
        with contextlib.suppress(OSError):  # closed after an early response
            sock.sendall(encode_chunks(body) if chunked else body)
        return read_response(sock)
    finally:
        sock.close()


def encode_request_head(method, path, body, headers, chunked=False) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{n}: {v}" for n, v in headers.items()]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunks(body: bytes) -> bytes:
    chunks = [body[i : i + 50_000] for i in range(0, len(body), 50_000)]
    return b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks) + (
        b"0\r\n\r\n"
    )


def read_response(sock) -> Response:
    return read_next_response(Reader(sock))


def read_next_response(reader: Reader) -> Response:
    status_line, headers = reader.read_head()
    response = Response(int(status_line.split(" ")[1]), headers)
    try:
        response.body = reader.read_body(headers)
    except (EOFError, OSError):
        response.complete = False
    return response


def make_config(version: int, routes: dict[str, dict], services) -> dict:
    """Return a complete configuration document.

    Args:
        version: the configuration's number.
        routes: for each path prefix, the fields that differ from the defaults.
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
