"""A proxy that stands for the narrow link of a machine."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

READ_BYTES = 4_096
BYTES_PER_MBIT = 125_000
# A small window, as on the users' links.
WINDOW_BYTES = 65_536


class NarrowLink:
    """Forwards connections to an address at a limited speed.

    All connections share the speed, in the direction to the address.
    """

    def __init__(self, listen: str, target: str, mbit_per_s: float) -> None:
        """Listen at an address and forward to another one."""
        self._target = _split(target)
        self._bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self._lock = threading.Lock()
        self._free_at = 0.0
        self._listener = socket.create_server(_split(listen))
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop to accept connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=[sock], daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            sock.close()
            return
        target.settimeout(None)
        for end in (sock, target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(
            target=self._forward, args=[target, sock, False], daemon=True
        )
        back.start()
        self._forward(sock, target, True)

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_paced: bool
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if is_paced:
                    self._wait(len(data))
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def _wait(self, count: int) -> None:
        """Wait until the link has carried so many bytes."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + count / self._bytes_per_s
            wait_s = self._free_at - now
        time.sleep(wait_s)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
