"""A proxy between peers that can lose what one host sends to another."""

from __future__ import annotations

import socket

import gevent
import gevent.socket
from gevent.server import StreamServer


class FaultProxy:
    """Stands in front of every host's peer listener.

    Hosts are told apart by the IP numbers that their links come from. A cut
    is one way: what its first host sends to its second one disappears,
    on open connections and on new ones.
    """

    def __init__(self, fleet) -> None:
        self._fleet = fleet
        self._names = {}
        self._servers = []
        self.cuts: set[tuple[str, str]] = set()
        self.delay_s = 0.0
        for name in (*fleet.control_names, *fleet.entry_names):
            self._names[fleet.ip(name)] = name
            self._listen(name)

    def _listen(self, name: str) -> None:
        host, _, port = self._fleet.peer_address(name).rpartition(":")

        def serve(sock, address):
            self._serve(name, sock, address[0])

        server = StreamServer((host, int(port)), serve)
        server.start()
        self._servers.append(server)

    def cut(self, sender: str, receiver: str) -> None:
        self.cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Cut a host off from all others, both ways."""
        for other in self._names.values():
            if other != name:
                self.cuts |= {(name, other), (other, name)}

    def separate(self, group: list[str]) -> None:
        """Cut a group of hosts off from the others, both ways."""
        for inside in group:
            for other in self._names.values():
                if other not in group:
                    self.cuts |= {(inside, other), (other, inside)}

    def heal(self) -> None:
        self.cuts.clear()

    def stop(self) -> None:
        for server in self._servers:
            server.stop(timeout=0)

    def _serve(self, name: str, sock, source: str) -> None:
        sender = self._names.get(source, source)
        target = (self._fleet.ip(name), 7000)
        try:
            upstream = gevent.socket.create_connection(target, timeout=2)
        except OSError:
            sock.close()
            return
        for end in (sock, upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end.settimeout(None)
        pumps = [
            gevent.spawn(self._pump, sock, upstream, sender, name),
            gevent.spawn(self._pump, upstream, sock, sender, name),
        ]
        gevent.joinall(pumps, count=1)
        gevent.killall(pumps)
        sock.close()
        upstream.close()

    def _pump(self, source, sink, sender: str, receiver: str) -> None:
        try:
            while data := source.recv(65_536):
                if (sender, receiver) in self.cuts:
                    continue
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                sink.sendall(data)
        except OSError:
            return
