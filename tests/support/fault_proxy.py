"""A proxy between peers that can drop the traffic of single links."""

from __future__ import annotations

import socket

import gevent
import gevent.socket
from gevent.server import StreamServer


class FaultProxy:
    """Stands in front of every host's peer listener.

    Hosts are recognised by the IP addresses that their links come from. A
    link is blocked in one direction: data from its first host to its second
    host is dropped, on open connections and on new ones.
    """

    def __init__(self, fleet) -> None:
        self._fleet = fleet
        self._names_by_ip = {}
        self._servers = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.delay_s = 0.0
        for name in (*fleet.control_names, *fleet.entry_names):
            self._names_by_ip[fleet.ip(name)] = name
            self._listen(name)

    def _listen(self, name: str) -> None:
        host, _, port = self._fleet.peer_address(name).rpartition(":")

        def serve(sock, address):
            self._serve_link(name, sock, address[0])

        server = StreamServer((host, int(port)), serve)
        server.start()
        self._servers.append(server)

    def block(self, sender: str, receiver: str) -> None:
        self.blocked_links.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Block a host's links to and from all others."""
        for other in self._names_by_ip.values():
            if other != name:
                self.blocked_links |= {(name, other), (other, name)}

    def separate(self, group: list[str]) -> None:
        """Block the links between a group and the others, both ways."""
        for inside in group:
            for other in self._names_by_ip.values():
                if other not in group:
                    self.blocked_links |= {(inside, other), (other, inside)}

    def heal(self) -> None:
        self.blocked_links.clear()

    def stop(self) -> None:
        for server in self._servers:
            server.stop(timeout=0)

    def _serve_link(self, name: str, sock, sender_ip: str) -> None:
        sender = self._names_by_ip.get(sender_ip, sender_ip)
        upstream_address = (self._fleet.ip(name), 7000)
        try:
            upstream = gevent.socket.create_connection(
                upstream_address, timeout=2
            )
        except OSError:
            sock.close()
            return
        for end in (sock, upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end.settimeout(None)
        forwarders = [
            gevent.spawn(self._forward, sock, upstream, sender, name),
            gevent.spawn(self._forward, upstream, sock, sender, name),
        ]
        gevent.joinall(forwarders, count=1)
        gevent.killall(forwarders)
        sock.close()
        upstream.close()

    def _forward(self, source, sink, sender: str, receiver: str) -> None:
        try:
            while data := source.recv(65_536):
                if (sender, receiver) in self.blocked_links:
                    continue
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                sink.sendall(data)
        except OSError:
            return
