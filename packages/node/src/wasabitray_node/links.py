"""Links to and from peers over Thrift."""

from __future__ import annotations

import contextlib
import hmac
import random
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from wasabitray_core.errors import PeerError
from wasabitray_core.ids import HostId
from wasabitray_core.messages import Hello
from wasabitray_node.client_budget import (
    ClientBudget,
    CutOffReason,
    Holding,
)
from wasabitray_node.large_messages import LargeMessages, SharedEncoder
from wasabitray_node.logs import log_decision, log_error, log_event
from wasabitray_node.settings import split_address
from wasabitray_node.sockets import connect
from wasabitray_wire import (
    PROTOCOL,
    PartReceiver,
    encoded_size,
    from_wire,
    hello_from_wire,
    hello_to_wire,
)
from wasabitray_wire.gen import Peer

MAX_FRAME_BYTES = 64 * 1024 * 1024
# Before its hello, a connection may come from anybody, and the address of a
# peer may have been taken over by another process.
MAX_HELLO_BYTES = 4_096
MAX_REPLY_BYTES = 65_536
# A peer sends its hello at once; a round trip to another region is far less.
HELLO_TIMEOUT_S = 5.0
# Those over the limit are closed before more are accepted.
MAX_ACCEPTED_AT_ONCE = 16
# Holds most frames whole, so that each is read at once.
READ_BYTES = 16_384
MAX_QUEUED_MESSAGES = 1_024
MAX_BATCH_MESSAGES = 128
CONNECT_TIMEOUT_S = 0.5
# A round trip of a batch to another region takes well under this.
ACK_TIMEOUT_S = 1.0
RECONNECT_FIRST_S = 0.1
RECONNECT_MAX_S = 1.0

_READ_EVENT = 1  # of libev
_LINK_ERRORS = (TException, OSError, EOFError)


class PeerSocket(TSocket):
    """A Thrift socket with a read buffer that counts the bytes it sends."""

    def __init__(self, sock: Any, timeout: float | None = None) -> None:
        """Wrap a connected socket.

        Args:
            sock: the socket.
            timeout: seconds to wait for input, None to wait indefinitely.
        """
        super().__init__()
        self.setHandle(sock)
        self.bytes_sent = 0
        self._timeout = timeout
        self._received = b""
        # A watcher for each wait would register the socket anew.
        self._hub = gevent.get_hub()
        self._input = self._hub.loop.io(sock.fileno(), _READ_EVENT)

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes, after a wait if none have arrived.

        Raises:
            OSError: the socket failed, or nothing arrived in time.
            TTransportException: the peer has closed the connection.
        """
        if not self._received:
            # The next frame has rarely arrived yet, so a read without a wait
            # would fail.
            late = TimeoutError("read timeout")
            with gevent.Timeout(self._timeout, late):
                self._hub.wait(self._input)
            self._received = super().read(max(size, READ_BYTES))
        data = self._received
        self._received = data[size:]
        return data[:size]

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.bytes_sent += len(data)
        super().write(data)

    def close(self) -> None:
        """Close the socket."""
        self._input.close()
        super().close()


class PeerLink:
    """A task that owns the connection to one peer.

    Messages wait in a bounded queue; if it is full, the oldest are dropped.
    The peer acknowledges each batch, so a connection that stops responding
    is detected and replaced.
    """

    def __init__(
        self,
        peer: HostId,
        address: str,
        hello: Hello,
        source: str,
        encoder: SharedEncoder,
    ) -> None:
        """Create the link; `run` starts it.

        Args:
            peer: the peer's host name.
            address: the peer's address, `IP:PORT`.
            hello: this host's hello, the first message of a connection.
            source: this host's IP address, from which it connects.
            encoder: converts the messages of all links.
        """
        self._source = source
        self._encode = encoder.encode
        self._large = LargeMessages(encoder)
        self._peer = peer
        self._address = address
        self._hello = hello_to_wire(hello)
        self._queue: deque[Any] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._wake = Event()
        self._socket: PeerSocket | None = None
        self._closed_connections_bytes = 0
        self._transport: TFramedTransport | None = None
        self._client: Peer.Client | None = None
        self._is_up = False

    @property
    def bytes_sent(self) -> int:
        """The number of bytes sent over all connections of this link."""
        open_bytes = self._socket.bytes_sent if self._socket else 0
        return self._closed_connections_bytes + open_bytes

    def describe(self) -> dict[str, Any]:
        """Return the link's state for operators."""
        return {
            "address": self._address,
            "up": self._is_up,
            "bytes_sent": self.bytes_sent,
            "queued_messages": len(self._queue) + len(self._large),
            "large_bytes": self._large.size,
        }

    def put(self, message: Any) -> None:
        """Queue a message."""
        self._queue.append(message)
        self._wake.set()

    def run(self) -> None:
        """Send queued messages until the task is killed."""
        backoff = RECONNECT_FIRST_S
        while True:
            self._wake.wait()
            self._wake.clear()
            try:
                self._send_queued()
                backoff = RECONNECT_FIRST_S
            except _LINK_ERRORS as error:
                self._close(error)
                # All are outdated by the time of a reconnect.
                self._queue.clear()
                self._large.clear()
                gevent.sleep(backoff * (0.5 + random.random()))
                backoff = min(RECONNECT_MAX_S, 2 * backoff)

    def _send_queued(self) -> None:
        while self._queue or self._large:
            client = self._client or self._connect()
            batch = self._pop_small_messages()
            structs = [encoded for _, encoded in batch]
            part = self._large.get_next_part()
            if part is not None:
                structs.append(part)
            try:
                client.deliver(structs)
                self._large.confirm_part()
            except _LINK_ERRORS:
                raise
            except Exception as error:
                # The connection may have a part of the batch in its buffer.
                self._close(error)
                valid = self._drop_invalid([message for message, _ in batch])
                self._queue.extendleft(reversed(valid))
                self._large.restart()

    def _pop_small_messages(self) -> list[tuple[Any, Any]]:
        """Remove the next messages from the queue; return the small ones.

        Returns:
            Each message and its generated struct. The large ones are left to
            `LargeMessages`.
        """
        small = []
        for _ in range(min(MAX_BATCH_MESSAGES, len(self._queue))):
            message = self._queue.popleft()
            try:
                encoded = self._encode(message)
                if not self._large.must_take(message, encoded):
                    small.append((message, encoded))
                elif not self._large.add(message, encoded):
                    raise PeerError("too many wait", step="send large message")
            except Exception as error:
                _log_dropped(self._peer, type(message).__name__, error)
        return small

    def _drop_invalid(self, batch: list[Any]) -> list[Any]:
        """Return the messages of a batch that can be encoded; log others."""
        valid = []
        for message in batch:
            try:
                encoded_size(message)
            except Exception as error:
                _log_dropped(self._peer, type(message).__name__, error)
            else:
                valid.append(message)
        # Without an invalid message, the cause of the error is unknown.
        return valid if len(valid) < len(batch) else []

    def _connect(self) -> Peer.Client:
        # The link uses the host's own IP address as its source, so that
        # packet filters on the path can tell hosts apart.
        sock = connect(
            split_address(self._address), CONNECT_TIMEOUT_S, self._source
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(ACK_TIMEOUT_S)
        self._socket = PeerSocket(sock, ACK_TIMEOUT_S)
        self._transport = TFramedTransport(self._socket, MAX_REPLY_BYTES)
        protocol = PROTOCOL.getProtocol(self._transport)
        client = Peer.Client(protocol)
        client.hello(self._hello)
        self._client = client
        if not self._is_up:
            self._is_up = True
            log_event("link up", peer=self._peer)
        return client

    def _close(self, error: Exception) -> None:
        if self._transport is not None:
            self._transport.close()
        if self._socket is not None:
            self._closed_connections_bytes += self._socket.bytes_sent
        self._transport = self._client = self._socket = None
        if self._is_up:
            self._is_up = False
            cause = getattr(error, "inner", None) or error
            log_event(
                "link down",
                peer=self._peer,
                reason=str(cause),
                queued_messages=len(self._queue) + len(self._large),
                large_bytes=self._large.size,
            )

    def __repr__(self) -> str:
        return f"<PeerLink [{self._peer}]>"


class PeerLinks:
    """Starts a link to each peer that a message is sent to."""

    def __init__(
        self, hello: Hello, seeds: dict[HostId, str], source: str
    ) -> None:
        """Create the links; none is started yet.

        Args:
            hello: this host's hello, the first message of a connection.
            seeds: addresses of the peers known at the start, by host name.
            source: this host's IP address, from which it connects.
        """
        self._hello = hello
        self._source = source
        self._encoder = SharedEncoder()
        self._addresses = dict(seeds)
        self._links: dict[HostId, PeerLink] = {}
        self._greenlets: dict[HostId, gevent.Greenlet] = {}

    def set_address(self, peer: HostId, address: str) -> None:
        """Set a peer's address; a link to its old address is replaced."""
        if self._addresses.get(peer) == address:
            return
        self._addresses[peer] = address
        old_greenlet = self._greenlets.pop(peer, None)
        if old_greenlet is not None:
            old_greenlet.kill(block=False)
            del self._links[peer]

    def describe(self) -> dict[str, Any]:
        """Return each link's state for operators."""
        return {peer: link.describe() for peer, link in self._links.items()}

    def send(self, peer: HostId, message: Any) -> None:
        """Queue a message for a peer; drop it if the address is unknown."""
        link = self._links.get(peer)
        if link is None:
            address = self._addresses.get(peer)
            if address is None:
                return
            link = PeerLink(
                peer, address, self._hello, self._source, self._encoder
            )
            self._links[peer] = link
            self._greenlets[peer] = gevent.spawn(link.run)
        link.put(message)


class PeerConnection:
    """The receiving side of one accepted link."""

    def __init__(
        self,
        secret: str,
        receive: Callable[[HostId, Any], None],
        set_address: Callable[[HostId, str], None],
    ) -> None:
        """Create the receiving side.

        Args:
            secret: the secret that all hosts share.
            receive: called with the peer and each of its messages.
            set_address: called with the peer and its address.
        """
        self._secret = secret.encode()
        self._receive = receive
        self._set_address = set_address
        self._peer: HostId | None = None
        self._parts = PartReceiver(MAX_FRAME_BYTES)

    def hello(self, hello: Any) -> None:
        """Check the peer's secret (called by the generated processor)."""
        greeting = hello_from_wire(hello)
        sent_secret = greeting.secret.encode()
        if not hmac.compare_digest(sent_secret, self._secret):
            raise _refuse_link("the secret doesn't match", greeting.host)
        self._peer = greeting.host
        self._set_address(greeting.host, greeting.address)

    def deliver(self, messages: list[Any]) -> None:
        """Receive a batch (called by the generated processor)."""
        if self._peer is None:
            raise _refuse_link("messages came before a hello", "")
        for message in messages:
            try:
                whole = self._parts.add(message)
                if whole is None:
                    continue
                decoded = from_wire(whole, self._log_dropped_item)
            except PeerError as error:
                _log_dropped(self._peer, "message", error)
            else:
                self._receive(self._peer, decoded)

    def _log_dropped_item(self, kind: str, error: Exception) -> None:
        _log_dropped(self._peer, kind, error)


def _log_dropped(peer: HostId | None, kind: str, error: Exception) -> None:
    log_event("message dropped", peer=peer, kind=kind, reason=str(error))


def _refuse_link(reason: str, peer: str) -> TTransportException:
    """Log a refused link; return the error that makes the processor end it."""
    log_event("link refused", peer=peer, reason=reason)
    return TTransportException(message=reason)


class PeerListener:
    """Accepts links and serves each in a task of its own."""

    def __init__(
        self,
        address: str,
        secret: str,
        receive: Callable[[HostId, Any], None],
        set_address: Callable[[HostId, str], None],
        budget: ClientBudget | None = None,
    ) -> None:
        """Create the listener; `start` opens it.

        Args:
            address: the address to listen on, `IP:PORT`.
            secret: the secret that all hosts share.
            receive: called with the peer and each of its messages.
            set_address: called with the peer and its address.
            budget: bounds the connections that have sent no hello yet; None
                for no bound.
        """
        self._budget = budget
        self._secret = secret
        self._receive = receive
        self._set_address = set_address
        self._server = StreamServer(split_address(address), self._serve)
        self._server.max_accept = MAX_ACCEPTED_AT_ONCE

    def start(self) -> None:
        """Start to accept links."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting links and close all of them."""
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, address: tuple[str, int]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        endpoint = PeerSocket(sock)
        connection = PeerConnection(
            self._secret, self._receive, self._set_address
        )
        processor = Peer.Processor(connection)
        try:
            if not self._receive_hello(sock, endpoint, processor):
                return
            protocol = _build_protocol(endpoint, MAX_FRAME_BYTES)
            while True:
                processor.process(protocol, protocol)
        except _LINK_ERRORS:
            pass  # the sending side logs "link down"
        except Exception as error:  # bytes that the protocol can't read
            log_error("link failed", error, peer=address[0])
        finally:
            endpoint.close()

    def _receive_hello(
        self, sock: Any, endpoint: PeerSocket, processor: Any
    ) -> bool:
        """Read the first frame, which anybody may send.

        Returns:
            False if the connection may not stay open.

        Raises:
            OSError: no whole hello came in time.
        """

        def give_way(reason: CutOffReason) -> None:
            log_decision("client cut off", cause=reason.value, phase="hello")
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

        holding = Holding(give_way)
        if self._budget is not None and not self._budget.open(holding):
            return False
        try:
            hello = _build_protocol(endpoint, MAX_HELLO_BYTES)
            late = TimeoutError("no hello came")
            with gevent.Timeout(HELLO_TIMEOUT_S, late):
                processor.process(hello, hello)
        except TimeoutError:
            if self._budget is not None:
                self._budget.count_cut_off(CutOffReason.TIME)
            raise
        finally:
            if self._budget is not None:
                self._budget.close(holding)
        return True


def _build_protocol(endpoint: PeerSocket, max_frame_bytes: int) -> Any:
    return PROTOCOL.getProtocol(TFramedTransport(endpoint, max_frame_bytes))
