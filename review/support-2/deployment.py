"""A small deployment on loopback addresses, and stand-ins around it.

The processes are started with the command of the deploy file and settings
rendered from its template. Instances, clients, the operator and the platform
follow the users' pages. Everything runs in threads of this process.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests"))

from links import NarrowLink  # noqa: E402
from support.platform_settings import render  # noqa: E402

FRONT, READY, CONTROL, DIRECTORY, INSTANCE = 8381, 8388, 8382, 8383, 8407
FIRST_PORT, LINK_PORT = 7200, 7215
REGIONS = {"grand-baie": "north-mu", "mahebourg": "south-mu"}
ZONES = tuple(REGIONS)
HEARTBEAT_S = 1.5
MIB = 1_048_576
MAX_PAUSE_S = 2.0
# After these the operator tries again.
UNCLEAR_STATUSES = {307, 408, 429, *range(500, 600)}
# The pages: a process that ended is started again after a short delay.
RESTART_S = 0.5
WATCH_INTERVAL_S = 0.05


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        elapsed = time.monotonic() - self._began
        with self._lock:
            self._file.write(f"{elapsed:8.3f} {text}\n")
            self._file.flush()


class Host:
    """One machine of the deployment and its process."""

    def __init__(self, name: str, ip: str, zone: str, memory_mb: int) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.memory_mb = memory_mb
        self.child: subprocess.Popen | None = None
        self.peak_mib = 0.0
        self.memory_ends: list[float] = []
        self.is_control = name.startswith("core")

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.child is not None and self.child.poll() is None

    def read_mib(self) -> float:
        """Return the resident memory of the process, 0 if there is none."""
        if self.child is None:
            return 0.0
        try:
            fields = Path(f"/proc/{self.child.pid}/statm").read_text().split()
            return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / MIB
        except (OSError, IndexError):
            return 0.0


def _exit(*_: object) -> None:
    sys.exit(2)


class Deployment:
    """Starts, stops and watches the processes as the platform does."""

    def __init__(
        self,
        record: Record,
        cores: int = 3,
        fronts: int = 2,
        front_memory_mb: int = 200,
        core_memory_mb: int = 296,
        bounds: dict | None = None,
        front_mbit_per_s: float | None = None,
    ) -> None:
        """Create the hosts; none is started yet.

        Args:
            record: gets what happens.
            cores: number of control hosts.
            fronts: number of entries.
            front_memory_mb: memory of an entry.
            core_memory_mb: memory of a control host.
            bounds: bounds of the settings that differ from the usual ones.
            front_mbit_per_s: speed of an entry's link to other hosts, None
                for one that is not limited.
        """
        # The processes are ended as well if this one is told to end.
        signal.signal(signal.SIGTERM, _exit)
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = bounds or {}
        block = 1 + os.getpid() % 250
        self.block = block
        self.hosts: dict[str, Host] = {}
        for kind, part, count, memory_mb in (
            ("core", 5, cores, core_memory_mb),
            ("front", 6, fronts, front_memory_mb),
        ):
            for number in range(1, count + 1):
                name = f"{kind}-{number}"
                zone = ZONES[(number - 1) % len(ZONES)]
                ip = f"127.{block}.{part}.{number}"
                self.hosts[name] = Host(name, ip, zone, memory_mb)
        self._lock = threading.RLock()
        self._is_over = False
        self._links = []
        self._has_narrow_links = front_mbit_per_s is not None
        if front_mbit_per_s is not None:
            self._links = [
                NarrowLink(
                    f"{h.ip}:{LINK_PORT}",
                    f"{h.ip}:{FIRST_PORT}",
                    front_mbit_per_s,
                )
                for h in self.fronts
            ]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]

    @property
    def cores(self) -> list[Host]:
        """The control hosts."""
        return [h for h in self.hosts.values() if h.is_control]

    @property
    def fronts(self) -> list[Host]:
        """The entries."""
        return [h for h in self.hosts.values() if not h.is_control]

    def _write_settings(self, host: Host, bootstrap: bool) -> Path:
        listen = {"directory": f"{host.ip}:{DIRECTORY}"}
        if host.is_control:
            listen["control"] = f"{host.ip}:{CONTROL}"
        else:
            listen["front"] = f"{host.ip}:{FRONT}"
            listen["ready"] = f"{host.ip}:{READY}"
        fields = {
            "ip": host.ip,
            "role": "control" if host.is_control else "entry",
            "region": REGIONS[host.zone],
            "zone": host.zone,
            "bootstrap": bootstrap,
            "bounds": {
                "grace": "6s",
                "retry_ratio": 0.2,
                "retry_slack": 200,
                **self.bounds,
            },
            "data_dir": str(self.data_folder(host))
            if host.is_control
            else None,
            "listen": listen,
            "port_range": [FIRST_PORT, FIRST_PORT + 15],
            "tolerate": {"machines": 1},
            "seeds": [f"{c.ip}:{CONTROL}" for c in self.cores[:3]],
            "zones": REGIONS,
            "limits": {"memory_mb": host.memory_mb, "max_fds": 4_096},
        }
        path = self.folder / f"{host.name}.conf"
        template = (ROOT / "deploy/settings.toml").read_text()
        text = render(template, fields)
        if self._has_narrow_links and not host.is_control:
            # Other hosts connect to the proxy.
            text = f'advertised_peers = "{host.ip}:{LINK_PORT}"\n{text}'
        path.write_text(text)
        return path

    def data_folder(self, host: Host) -> Path:
        """Return the folder that stands for a host's disk."""
        return self.folder / f"{host.name}-data"

    def start(self, host: Host, bootstrap: bool = False) -> None:
        """Start a process with the command of the deploy file."""
        with self._lock:
            if self._is_over:
                return
            settings = self._write_settings(host, bootstrap)
            if host.is_control:
                self.data_folder(host).mkdir(exist_ok=True)
            role = self._roles["control" if host.is_control else "entry"]
            environment = {
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "WASABITRAY_SETTINGS": str(settings),
            }
            with (self.folder / f"{host.name}.log").open("ab") as output:
                host.child = subprocess.Popen(
                    role["run"].split(),
                    cwd=ROOT,
                    env=environment,
                    stdout=output,
                    stderr=output,
                )
        self.record.write(f"{host.name} started")

    def start_all(self, bootstrap: bool = False) -> None:
        """Start the processes of all hosts."""
        for host in self.hosts.values():
            self.start(host, bootstrap)

    def kill(self, host: Host) -> None:
        """Kill a process, also if it is suspended."""
        with self._lock:
            if host.child is not None and host.child.poll() is None:
                host.child.send_signal(signal.SIGCONT)
                host.child.kill()
                host.child.wait()
        self.record.write(f"{host.name} killed")

    def wipe(self, host: Host) -> None:
        """Empty the disk of a host whose process was killed."""
        shutil.rmtree(self.data_folder(host), ignore_errors=True)
        self.record.write(f"{host.name} lost its disk")

    def watch_memory(self) -> None:
        """Kill each process above its memory and start it again."""
        threading.Thread(target=self._watch_memory, daemon=True).start()

    def _watch_memory(self) -> None:
        while not self._is_over:
            for host in self.hosts.values():
                used = host.read_mib()
                host.peak_mib = max(host.peak_mib, used)
                if used > host.memory_mb and host.is_running:
                    self.record.write(
                        f"{host.name} uses {used:.0f} of {host.memory_mb} MiB"
                    )
                    host.memory_ends.append(time.monotonic())
                    self.kill(host)
                    timer = threading.Timer(RESTART_S, self.start, [host])
                    timer.daemon = True
                    timer.start()
            time.sleep(WATCH_INTERVAL_S)

    def shut_down(self) -> None:
        """End all processes that were started."""
        with self._lock:
            self._is_over = True
        for host in self.hosts.values():
            self.kill(host)
        for link in self._links:
            link.stop()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls of the platform, the operator and clients

    def is_ready(self, host: Host) -> bool:
        """Return whether an entry says that it is ready."""
        answer = call(f"{host.ip}:{READY}", "GET", "/-/readyz")
        return answer is not None and answer[0] == 200

    def resolve(self, name: str) -> list[str]:
        """Return the addresses for a client, as the directory tells them."""
        for host in self.cores:
            answer = call(
                f"{host.ip}:{DIRECTORY}",
                "GET",
                f"/-/resolve?name={name}&region=north-mu&zone=grand-baie",
            )
            if answer is not None and answer[0] == 200:
                return json.loads(answer[1])["front_addresses"]
        return []


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
    headers: dict | None = None,
) -> tuple[int, bytes, dict] | None:
    """Make one call of a JSON interface; None without a response."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        sent = {"Content-Type": "application/json"} if data else {}
        connection.request(method, path, data, {**sent, **(headers or {})})
        response = connection.getresponse()
        content = response.read()
        fields = {n.lower(): v for n, v in response.getheaders()}
        return response.status, content, fields
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Operator:
    """Puts and reads configurations as the pages describe it."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._hosts = [h.ip for h in deployment.cores]
        self.acknowledged = 0

    def put(self, config: dict, timeout_s: float) -> int | None:
        """Send a configuration until it gets a clear response.

        Returns:
            The status, None without one in time.
        """
        # A caller waits for a second, and longer with a large body.
        patience_s = 1.0 + 0.003 * len(config["routes"])
        answer = self._call("PUT", config, timeout_s, patience_s)
        version = int(config["version"][1:])
        status = answer[0] if answer else None
        if status == 200:
            self.acknowledged = max(self.acknowledged, version)
        self._deployment.record.write(f"operator put r{version}: {status}")
        return status

    def read_version(self, timeout_s: float) -> int | None:
        """Return the version that a read gives, None without one in time."""
        answer = self._call("GET", None, timeout_s, 1.0)
        version = None
        if answer is not None and answer[0] == 200:
            version = int(json.loads(answer[1])["version"][1:])
        self._deployment.record.write(f"operator reads version {version}")
        return version

    def find_server(self, timeout_s: float) -> str:
        """Return the address of the host that served a read."""
        self.read_version(timeout_s)
        return self._hosts[0]

    def _call(self, method, body, timeout_s, patience_s):
        ends = time.monotonic() + timeout_s
        pause_s = 0.05
        while time.monotonic() < ends:
            address = f"{self._hosts[0]}:{CONTROL}"
            answer = None
            for _ in range(3):
                answer = call(address, method, "/-/config", body, patience_s)
                if answer is None or answer[0] != 307:
                    break
                address = answer[2]["location"].split("/")[2]
                # The one that served is called first the next time.
                host = address.partition(":")[0]
                self._hosts.sort(key=lambda h, first=host: h != first)
            if answer is not None and answer[0] not in UNCLEAR_STATUSES:
                return answer
            self._hosts.append(self._hosts.pop(0))
            time.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
        return None


class Instance:
    """An instance of a service."""

    def __init__(
        self, deployment: Deployment, number: int, service: str
    ) -> None:
        self.name = f"i-{number:08x}"
        self.service = service
        self.work_s = 0.02
        self.run_ids: list[str] = []
        self._deployment = deployment
        self._born = int(time.time() * 1_000)
        self._sequence = 0
        self.ip = f"127.{deployment.block}.7.{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.state = "ready"
        self._is_over = False
        self._listener = socket.create_server((self.ip, INSTANCE))
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def check_in(self) -> bool:
        """Register at one control host after the other."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.ip}:{INSTANCE}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self._sequence,
            "born": self._born,
        }
        for host in self._deployment.cores:
            answer = call(
                f"{host.ip}:{CONTROL}",
                "PUT",
                f"/-/instances/{self.name}",
                body,
            )
            if answer is not None and answer[0] == 200:
                return True
        return False

    def _beat(self) -> None:
        while not self._is_over:
            self.check_in()
            time.sleep(HEARTBEAT_S)

    def _accept(self) -> None:
        while not self._is_over:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=[sock], daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            with sock, sock.makefile("rb") as file:
                while self._serve_one(sock, file):
                    pass
        except (OSError, ValueError):
            pass

    def _serve_one(self, sock: socket.socket, file) -> bool:
        head = read_head(file)
        if head is None:
            return False
        line, headers = head
        file.read(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            send_response(sock, 421, {"Instance-Id": self.name}, b"")
            return True
        self.run_ids.append(request_id)
        self._deployment.record.write(f"{self.name} runs {request_id}")
        time.sleep(self.work_s)
        answer = {
            "Request-Id": request_id,
            "Server-Stamp": f"stamp.{self.name}.{request_id}",
        }
        send_response(sock, 200, answer, f"{self.name} {line}".encode())
        return True

    def stop(self) -> None:
        """Stop to serve and to register."""
        self._is_over = True
        self._listener.close()


def read_head(file) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at its end."""
    line = file.readline().decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while text := file.readline().decode("latin-1").strip():
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


def send_response(
    sock: socket.socket, status: int, headers: dict, body: bytes
) -> None:
    """Send a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def make_config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a complete configuration."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 1_620,
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


def make_route(name: str, host: str, prefix: str, **fields) -> dict:
    """Return a route with usual values for what is not given."""
    return {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "kind": "idempotent",
        "timeout": "4000ms",
        "latency_target": "2500ms",
        "priority": 1,
        "attempts": 2,
        **fields,
    }


def wait_until(condition, timeout_s: float) -> bool:
    """Poll until a condition holds; return whether it did in time."""
    ends = time.monotonic() + timeout_s
    while time.monotonic() < ends:
        if condition():
            return True
        time.sleep(0.1)
    return False
