"""A small fleet of real processes, with stand-ins for the platform.

The processes are started with the command of the deploy file and with
settings rendered from its template. Instances, clients and the operator run
in threads of the calling process and follow the platform's pages.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "rota.example"
REGION_OF_ZONE = {
    "hobart": "south",
    "launceston": "north",
    "burnie": "northwest",
    "huonville": "south",
    "scottsdale": "north",
    "devonport": "northwest",
    "kingston": "south",
    "deloraine": "north",
    "smithton": "northwest",
}
PEER_PORT, METRICS_PORT = 7200, 9100
FRONT_PORT, READY_PORT = 8381, 8388
CONTROL_PORT, DIRECTORY_PORT, INSTANCE_PORT = 8382, 8383, 8407
HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 1.0
READ_BYTES = 65_536
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        now = time.monotonic() - self._began
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        with self._lock:
            self._file.write(f"{now:8.3f} {event} {text}\n")
            self._file.flush()


class Reader:
    """Reads heads and bodies of HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Start with nothing read."""
        self.sock = sock
        self.data = b""

    def _fill(self) -> None:
        piece = self.sock.recv(READ_BYTES)
        if not piece:
            raise EOFError
        self.data += piece

    def read_until(self, delimiter: bytes) -> bytes:
        """Return the bytes before a delimiter."""
        while delimiter not in self.data:
            self._fill()
        part, _, self.data = self.data.partition(delimiter)
        return part

    def read_exactly(self, size: int) -> bytes:
        """Return this number of bytes."""
        while len(self.data) < size:
            self._fill()
        part, self.data = self.data[:size], self.data[size:]
        return part

    def read_head(self) -> tuple[str, dict[str, str]]:
        """Return the first line and the headers, with lower-case names."""
        lines = self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines[1:])
        return lines[0], {n.strip().lower(): v.strip() for n, v in pairs}

    def read_body(self, headers: dict[str, str]) -> bytes:
        """Return the body of the message with these headers."""
        if headers.get("transfer-encoding") != "chunked":
            return self.read_exactly(int(headers.get("content-length", 0)))
        pieces = []
        while size := int(self.read_until(b"\r\n"), 16):
            pieces.append(self.read_exactly(size))
            self.read_until(b"\r\n")
        self.read_until(b"\r\n")
        return b"".join(pieces)


class Answer:
    """An HTTP answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        """Store the parts."""
        self.status, self.headers, self.body = status, headers, body


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def connect(address: str, timeout: float = 5.0) -> socket.socket:
    """Open a connection."""
    sock = socket.create_connection(split_address(address), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_answer(reader: Reader) -> Answer:
    """Read one answer."""
    line, headers = reader.read_head()
    return Answer(int(line.split()[1]), headers, reader.read_body(headers))


def build_head(
    method: str, path: str, headers: dict[str, str], length: int | None
) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{n}: {v}" for n, v in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout: float = CALL_TIMEOUT_S,
) -> Answer:
    """Call one of the system's own JSON interfaces."""
    data = b"" if body is None else json.dumps(body).encode()
    with contextlib.closing(connect(address, timeout)) as sock:
        headers = {"Content-Type": "application/json"}
        sock.sendall(build_head(method, path, headers, len(data)) + data)
        return read_answer(Reader(sock))


def wait_for(check: Callable[[], Any], timeout: float, what: str) -> Any:
    """Wait until a check returns a true value."""
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        with contextlib.suppress(OSError, EOFError):
            value = check()
            if value:
                return value
        time.sleep(0.1)
    raise NotRunError(f"no {what} within {timeout} s")


def build_answer(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded answer with a Content-Length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{n}: {v}" for n, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Instance:
    """An instance of a service: registers, beats and serves requests.

    Attributes:
        ran: the ids of the requests that it began to run, in order.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        registries: list[str],
        record: Record,
        slots: int = 2,
    ) -> None:
        """Start to listen and to register."""
        self.name, self.service, self.zone = name, service, zone
        self.address, self._registries = address, registries
        self.record, self._slots = record, slots
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.ran: list[str] = []
        self._sequence = 0
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._listener = socket.create_server(
            split_address(address), backlog=128
        )
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self) -> None:
        """End, as a crash does."""
        self._ended.set()
        self._listener.close()

    def register(self) -> bool:
        """Check in with one control host; return whether it acknowledged."""
        with self._lock:
            self._sequence += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self._slots,
                "state": self.state,
                "warmup_left": "0ms",
                "seq": self._sequence,
                "born": self.born,
            }
        for address in random.sample(self._registries, len(self._registries)):
            with contextlib.suppress(OSError, EOFError, ValueError):
                path = f"/-/instances/{self.name}"
                if call(address, "PUT", path, body).status == 200:
                    return True
        return False

    def _beat(self) -> None:
        while not self._ended.is_set():
            self.register()
            self._ended.wait(HEARTBEAT_S)

    def _accept(self) -> None:
        while not self._ended.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        try:
            while not self._ended.is_set():
                line, headers = reader.read_head()
                method, target, _ = line.split(" ", 2)
                if not self.serve_one(sock, reader, method, target, headers):
                    return
        except (OSError, EOFError, ValueError):
            pass
        finally:
            sock.close()

    def start_run(
        self, method: str, target: str, headers: dict[str, str]
    ) -> str:
        """Record that a request begins to run; return its id."""
        request_id = headers.get("request-id", "")
        self.ran.append(request_id)
        self.record.write(
            "run", at=self.name, id=request_id, request=f"{method} {target}"
        )
        return request_id

    def answer_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of this instance's own answers."""
        return {
            "Request-Id": request_id,
            "Server-Stamp": f"stamp-{self.name}-{request_id}",
            "Server-Load": f"1,0,{self._slots}",
        }

    def is_mistaken(self, sock: socket.socket, headers: dict) -> bool:
        """Refuse a request that is meant for another instance."""
        if headers.get("expect-instance", self.name) == self.name:
            return False
        sock.sendall(build_answer(421, {"Not-Executed": "1"}))
        return True

    def serve_one(
        self,
        sock: socket.socket,
        reader: Reader,
        method: str,
        target: str,
        headers: dict[str, str],
    ) -> bool:
        """Serve one request; return whether to keep the connection."""
        body = reader.read_body(headers)
        if self.is_mistaken(sock, headers):
            return True
        request_id = self.start_run(method, target, headers)
        answer = f"{self.name} {request_id} {len(body)}".encode()
        sock.sendall(
            build_answer(200, self.answer_headers(request_id), answer)
        )
        return True


def make_config(
    version: int, routes: dict[str, dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a complete configuration."""
    return {
        "version": f"r{version}",
        "routes": [
            {
                "name": f"r-{prefix.strip('/').replace('/', '-')}",
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


class Fleet:
    """Control hosts and entries, started as the deploy file says."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        controls: int,
        entries: int,
        zones: int = 2,
    ) -> None:
        """Choose addresses that are free; nothing is started."""
        self._zones = tuple(REGION_OF_ZONE)[:zones]
        self.folder, self.record = folder, record
        self.controls = [f"c{n + 1}" for n in range(controls)]
        self.entries = [f"e{n + 1}" for n in range(entries)]
        self.processes: dict[str, subprocess.Popen] = {}
        self.instances: dict[str, Instance] = {}
        # Hosts before whose peer listener stands a proxy.
        self.proxied: set[str] = set()
        self._number = self._find_free_number()
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._deploy = tomllib.load(file)

    def _find_free_number(self) -> int:
        for _ in range(50):
            self._number = random.randrange(20, 250)
            with contextlib.suppress(OSError), contextlib.ExitStack() as held:
                for name in (*self.controls, *self.entries):
                    for port in (PEER_PORT, FRONT_PORT, CONTROL_PORT):
                        held.enter_context(
                            socket.create_server((self.ip(name), port))
                        )
                return self._number
        raise NotRunError("no free loopback addresses")

    def ip(self, name: str) -> str:
        """Return a machine's address."""
        kind = {"c": 5, "e": 6, "i": 7}[name[0]]
        return f"127.{self._number}.{kind}.{name[1:]}"

    def inner_ip(self, name: str) -> str:
        """Return where a host behind a proxy listens for its peers."""
        return f"127.{self._number}.8.{name[1:]}"

    def zone(self, name: str) -> str:
        """Return a machine's zone."""
        return self._zones[(int(name[1:]) - 1) % len(self._zones)]

    def region(self, name: str) -> str:
        """Return a machine's region."""
        return REGION_OF_ZONE[self.zone(name)]

    def control(self, name: str) -> str:
        """Return the address of `control` of a machine."""
        return f"{self.ip(name)}:{CONTROL_PORT}"

    def front(self, name: str) -> str:
        """Return the address of `front` of a machine."""
        return f"{self.ip(name)}:{FRONT_PORT}"

    # Processes

    def start_host(self, name: str, bootstrap: bool = False) -> None:
        """Start one process, or start it again."""
        is_control = name in self.controls
        role = self._deploy["roles"]["control" if is_control else "entry"]
        ip = self.ip(name)
        listen = {"directory": f"{ip}:{DIRECTORY_PORT}"}
        if is_control:
            listen["control"] = self.control(name)
        else:
            listen["front"] = self.front(name)
            listen["ready"] = f"{ip}:{READY_PORT}"
        data = self.folder / f"{name}-data"
        fields = {
            "ip": ip,
            "role": "control" if is_control else "entry",
            "region": self.region(name),
            "zone": self.zone(name),
            "bootstrap": bootstrap,
            "bounds": {"grace": "6s", "retry_ratio": 0.2, "retry_slack": 56},
            "data_dir": str(data) if is_control else None,
            "listen": listen,
            "port_range": [PEER_PORT, PEER_PORT + 15],
            "seeds": [self.control(c) for c in self.controls[:3]],
            "zones": {z: REGION_OF_ZONE[z] for z in self._zones},
        }
        text = render((ROOT / role["template"]).read_text(), fields)
        if name in self.proxied:
            peers = f"{ip}:{PEER_PORT}"
            inner = f"{self.inner_ip(name)}:{PEER_PORT}"
            text = text.replace(f'peers = "{peers}"', f'peers = "{inner}"')
            text = f'advertised_peers = "{peers}"\n' + text
        settings = self.folder / f"{name}.toml"
        settings.write_text(text)
        if is_control:
            data.mkdir(exist_ok=True)
        words = role["run"].split()
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *words[1:]],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": str(self.folder),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WASABITRAY_SETTINGS": str(settings),
                },
            )
        self.record.write("process started", host=name)

    def start(self, config: dict[str, Any]) -> None:
        """Start all processes and send the first configuration."""
        for name in (*self.controls, *self.entries):
            self.start_host(name, bootstrap=True)
        self.put_config(config, 20.0)
        for name in self.entries:
            self.wait_ready(name)

    def wait_ready(self, name: str, timeout: float = 20.0) -> None:
        """Wait until an entry says that it is ready."""
        address = f"{self.ip(name)}:{READY_PORT}"
        wait_for(
            lambda: call(address, "GET", "/-/readyz").status == 200,
            timeout,
            f"readiness of {name}",
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.record.write("signal", host=name, signal=number.name)
        self.processes[name].send_signal(number)

    def shut_down(self) -> None:
        """Kill all processes that were started."""
        for instance in self.instances.values():
            instance.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # The operator

    def put_config(
        self,
        config: dict[str, Any],
        timeout: float = 10.0,
        first: list[str] | None = None,
    ) -> int:
        """Send a configuration until it gets a clear answer."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            for name in first or self.controls:
                with contextlib.suppress(OSError, EOFError):
                    status = self._put_once(self.control(name), config)
                    if status < 500:
                        self.record.write(
                            "config answered",
                            version=config["version"],
                            status=status,
                        )
                        return status
            time.sleep(0.2)
        raise NotRunError(f"{config['version']} got no clear answer")

    def _put_once(self, address: str, config: dict[str, Any]) -> int:
        for _ in range(3):
            answer = call(address, "PUT", "/-/config", config, 4.0)
            if answer.status != 307:
                return answer.status
            address = answer.headers["location"].split("/")[2]
        return 503

    # Instances

    def add_instance(
        self,
        name: str,
        service: str,
        kind: type[Instance] = Instance,
        **options: Any,
    ) -> Instance:
        """Start an instance; its name begins with `i`."""
        instance = kind(
            f"i-{name}",
            service,
            self.zone(name),
            f"{self.ip(name)}:{INSTANCE_PORT}",
            [self.control(c) for c in self.controls],
            self.record,
            **options,
        )
        self.instances[name] = instance
        return instance

    def wait_served(self, path: str, timeout: float = 15.0) -> None:
        """Wait until every entry serves a path."""
        for name in self.entries:
            wait_for(
                lambda n=name: self.get(n, path).status == 200,  # type: ignore
                timeout,
                f"answer to {path} from {name}",
            )

    def get(self, entry: str, path: str, request_id: str = "") -> Answer:
        """Send one GET on a connection of its own."""
        headers = {
            "Request-Id": request_id or f"warm-{os.urandom(4).hex()}",
            "Deadline-Ms": "4000",
        }
        with contextlib.closing(connect(self.front(entry))) as sock:
            self.record.write(
                "send", id=headers["Request-Id"], entry=entry, path=path
            )
            sock.sendall(build_head("GET", path, headers, None))
            return read_answer(Reader(sock))


class CutLink:
    """A loopback proxy before one host's listener for its peers.

    While `is_cut` returns true for a peer's address, nothing is forwarded in
    either direction and no connection is closed, as behind a partition.
    """

    POLL_S = 0.02

    def __init__(
        self, address: str, target: str, is_cut: Callable[[str], bool]
    ) -> None:
        """Listen at an address and forward to a target."""
        self._target, self._is_cut = target, is_cut
        self._listener = socket.create_server(
            split_address(address), backlog=128
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, (peer, _) = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._forward, args=(sock, peer), daemon=True
            ).start()

    def _forward(self, near: socket.socket, peer: str) -> None:
        self._wait(peer)
        try:
            far = connect(self._target)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        threading.Thread(
            target=self._copy, args=(far, near, peer), daemon=True
        ).start()
        self._copy(near, far, peer)

    def _wait(self, peer: str) -> None:
        while self._is_cut(peer):
            time.sleep(self.POLL_S)

    def _copy(
        self, source: socket.socket, sink: socket.socket, peer: str
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                self._wait(peer)
                sink.sendall(data)
            self._wait(peer)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def render(template: str, fields: dict[str, Any]) -> str:
    """Render a settings template as the platform's pages describe it."""
    section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)

    def find_field(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if value else None
        return value

    def render_section(match: re.Match) -> str:
        value, text = find_field(match[1]), match[2]
        if not value:
            return ""
        pairs: list[tuple[Any, Any]] = [("", value)]
        if isinstance(value, dict):
            pairs = list(value.items())
        elif isinstance(value, list):
            pairs = list(enumerate(value))
        rendered = []
        for number, (key, item) in enumerate(pairs):
            comma = "," if number + 1 < len(pairs) else ""
            entry = text.replace("{{.}}", str(item)).replace("{{@}}", str(key))
            rendered.append(entry.replace("{{,}}", comma))
        return "".join(rendered)

    def render_value(match: re.Match) -> str:
        value = find_field(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = section.sub(render_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", render_value, text)


def run_case(case: Callable[[Fleet, Record, bool], bool], **size: int) -> int:
    """Run a case in a temporary folder and return the exit code.

    Args:
        case: gets the fleet, the record and whether to cause the disruption;
            returns whether the rule held.
        size: the numbers of `controls` and `entries`.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes are ended also if the case takes too long.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    fleet = None
    try:
        fleet = Fleet(folder, record, **size)
        held = case(fleet, record, trouble)
        record.write("rule held" if held else "rule broken", trouble=trouble)
        return EXIT_HELD if held else EXIT_BROKEN
    except Exception as error:
        record.write("not run", reason=f"{type(error).__name__}: {error}")
        return EXIT_NOT_RUN
    finally:
        if fleet is not None:
            fleet.shut_down()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(folder, ignore_errors=True)
        else:
            print(folder)
