"""The listener for callers: address answers and requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from typing import Any

import falcon
from gevent import Timeout
from gevent.event import Event

from wasabitray_core.filters.chain import (
    AskController,
    AtEnd,
    Attempt,
    Effect,
    FilterChain,
    TellController,
    drive,
)
from wasabitray_core.ids import OrganisationName, RegionName, Seconds
from wasabitray_core.local import ControllerName, GetAddresses
from wasabitray_core.requests import Answer, Exchange, Request
from wasabitray_core.states import Outcome, RefusalReason, WorkClass
from wasabitray_node import headers as h
from wasabitray_node.http import REQUEST_TARGET
from wasabitray_node.logs import log_fault
from wasabitray_node.metrics import Metrics
from wasabitray_node.settings import Limits
from wasabitray_node.tasks import Router
from wasabitray_node.upstream import CallerGoneError, Upstream

ADDRESSES_PATH = "/.well-known/wasabitray/addresses"
READ_BYTES = 65_536
BODYLESS_STATUSES = frozenset({204, 304})


class Work:
    """Counts requests in flight, so that a stop can wait for them."""

    def __init__(self) -> None:
        """Start with none."""
        self._in_flight = 0
        self._idle = Event()
        self._idle.set()
        self.closing = False

    def begin(self) -> None:
        """Count a request."""
        self._in_flight += 1
        self._idle.clear()

    def end(self) -> None:
        """Count the end of a request."""
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        self._idle.wait()


class AddressesResource:
    """Tells callers which entries to use."""

    def __init__(self, router: Router, region: str) -> None:
        """Take the tasks and the region assumed when none is given."""
        self._router = router
        self._region = region

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with addresses, best first."""
        region = RegionName(req.get_param("region", default=self._region))
        answer = self._router.ask(
            ControllerName.ADDRESSES, GetAddresses(region)
        )
        if not answer.addresses:
            raise falcon.HTTPServiceUnavailable(
                title="no entry is open", retry_after=1
            )
        resp.media = {
            "addresses": list(answer.addresses),
            "ttl_s": answer.ttl_s,
        }
        resp.set_header("Cache-Control", f"max-age={int(answer.ttl_s)}")


class Performer:
    """Performs the effects of one exchange's filters."""

    def __init__(self, router: Router, upstream: Upstream) -> None:
        """Take the tasks and the way to targets."""
        self._router = router
        self._upstream = upstream
        self.at_end: list[TellController] = []

    @singledispatchmethod
    def perform(self, effect: Effect) -> Any:
        """Perform an effect and return its result."""
        raise TypeError(f"can't perform {effect!r}")

    @perform.register
    def _(self, effect: AskController) -> Any:
        return self._router.ask(effect.controller, effect.message, None)

    @perform.register
    def _(self, effect: TellController) -> None:
        self._router.tell(effect.controller, effect.message)

    @perform.register
    def _(self, effect: Attempt) -> Any:
        return self._upstream.attempt(effect)

    @perform.register
    def _(self, effect: AtEnd) -> None:
        self.at_end.append(effect.tell)

    def finish(self) -> None:
        """Tell what waited for the end of the answer."""
        for tell in self.at_end:
            self._router.tell(tell.controller, tell.message)
        self.at_end.clear()


class CallersApp:
    """Runs each request through the filter chain."""

    def __init__(
        self,
        host: str,
        chain: FilterChain,
        router: Router,
        upstream: Upstream,
        metrics: Metrics,
        limits: Limits,
        clock: Callable[[], Seconds],
        work: Work,
    ) -> None:
        """Take the parts that requests pass."""
        self._host = host
        self._chain = chain
        self._router = router
        self._upstream = upstream
        self._metrics = metrics
        self._limits = limits
        self._clock = clock
        self._work = work

    def handle(
        self, req: falcon.Request, resp: falcon.Response, **_: Any
    ) -> None:
        """Serve one request (a falcon sink)."""
        arrived = self._clock()
        self._work.begin()
        try:
            answer, exchange, performer = self._serve(req, arrived)
            ending = _Ending(self, exchange, performer, answer)
        except BaseException:
            self._work.end()
            raise
        self._write(resp, answer, exchange, ending)

    def _serve(
        self, req: falcon.Request, arrived: Seconds
    ) -> tuple[Answer, Exchange, Performer]:
        performer = Performer(self._router, self._upstream)
        request, refusal = self._read_request(req)
        exchange = Exchange(request, arrived, arrived)
        if refusal is not None:
            status, detail = refusal
            return (
                exchange.refuse(RefusalReason.BAD_REQUEST, status, detail),
                exchange,
                performer,
            )
        exchange.caller_timeout = _read_timeout(req)
        try:
            answer = drive(self._chain.run(exchange), performer.perform)
        except Exception as error:
            log_fault("request failed", error, path=request.path)
            exchange.ran = True  # nothing better is known
            answer = exchange.refuse(
                RefusalReason.TARGET_FAILED, 500, "internal error"
            )
        return answer, exchange, performer

    def _read_request(
        self, req: falcon.Request
    ) -> tuple[Request, tuple[int, str] | None]:
        """Return the request, and a status and text if it is refused."""
        organisation = OrganisationName(
            req.get_header(h.ORGANISATION_HEADER) or ""
        )
        path, _, query = req.env[REQUEST_TARGET].partition("?")
        body, stream, length = b"", None, req.content_length or 0
        refusal = None
        if not path.startswith("/"):
            refusal = 400, "the request target must begin with a slash"
        elif not organisation:
            refusal = 400, f"{h.ORGANISATION_HEADER} is missing"
        elif length > self._limits.max_body_bytes:
            refusal = 413, "the body is too large"
        elif length > self._limits.hold_bytes:
            stream = _pieces(req, length)
        else:
            body, refusal = self._read_body(req)
            length = len(body)
        request = Request(
            organisation,
            req.method,
            path,
            query,
            h.strip_hop_by_hop(_end_to_end(req)),
            body,
            stream,
            length,
            req.get_header(h.KEY_HEADER) or "",
        )
        return request, refusal

    def _read_body(
        self, req: falcon.Request
    ) -> tuple[bytes, tuple[int, str] | None]:
        """Read a body that is small, or of unknown length."""
        chunked = bool(req.get_header("Transfer-Encoding"))
        if not req.content_length and not chunked:
            return b"", None
        limit = self._limits.hold_bytes
        stream = req.env["wsgi.input"]
        try:
            with Timeout(self._limits.body_timeout_s):
                size = limit + 1 if chunked else req.content_length
                body = _read_fully(stream, size)
        except (Timeout, OSError) as error:
            return b"", (400, f"the body can't be read: {error}")
        if chunked and len(body) > limit:
            return b"", (411, "state the Content-Length of a large body")
        if not chunked and len(body) < (req.content_length or 0):
            return b"", (400, "the body ended early")
        return body, None

    def _write(
        self,
        resp: falcon.Response,
        answer: Answer,
        exchange: Exchange,
        ending: _Ending,
    ) -> None:
        resp.status = answer.status
        resp.set_header(h.ENTRY_HEADER, self._host)
        if exchange.revision:
            resp.set_header(h.REVISION_HEADER, str(exchange.revision))
        if self._work.closing:
            resp.set_header("Connection", "close")
        if answer.refusal is not None:
            _write_refusal(resp, answer)
            ending.close()
            return
        resp.set_header(h.TARGET_HEADER, answer.target or "")
        resp.set_header(h.ATTEMPTS_HEADER, str(answer.attempts))
        resp.content_type = answer.header("Content-Type") or None
        for name, value in answer.headers:
            lowered = name.lower()
            if lowered == "set-cookie" or lowered not in (
                "content-type",
                "content-length",
            ):
                resp.append_header(name, value)
        if answer.chunks is not None:
            length = answer.header("Content-Length")
            if length:
                resp.set_header("Content-Length", length)
            resp.stream = ending.stream()
            return
        if answer.status not in BODYLESS_STATUSES:
            resp.data = answer.body
            if exchange.request.method == "HEAD":
                length = answer.header("Content-Length")
                if length:
                    resp.set_header("Content-Length", length)
        ending.close()

    def end(
        self, exchange: Exchange, performer: Performer, answer: Answer
    ) -> None:
        """Count a request after its last byte."""
        performer.finish()
        self._work.end()
        work = exchange.route.work if exchange.route else WorkClass.SHORT
        known = exchange.route is not None
        organisation = exchange.request.organisation if known else ""
        elapsed = self._clock() - exchange.arrived
        self._metrics.record(organisation, work, answer, elapsed)


class _Ending:
    """The end of one exchange; it comes exactly once."""

    def __init__(
        self,
        app: CallersApp,
        exchange: Exchange,
        performer: Performer,
        answer: Answer,
    ) -> None:
        self._app = app
        self._exchange = exchange
        self._performer = performer
        self._answer = answer
        self._open = True

    def close(self) -> None:
        """End the exchange."""
        if self._open:
            self._open = False
            if self._answer.chunks is not None:
                self._answer.chunks.close()
            self._app.end(self._exchange, self._performer, self._answer)

    def stream(self) -> _Body:
        """Return the body of a large answer."""
        return _Body(self._answer, self)


class _Body:
    """A large answer's body; an early end breaks the connection."""

    def __init__(self, answer: Answer, ending: _Ending) -> None:
        self._answer = answer
        self._ending = ending

    def __iter__(self) -> Iterator[bytes]:
        yield self._answer.body
        if self._answer.chunks is not None:
            yield from self._answer.chunks

    def close(self) -> None:
        """End the exchange (called by the server)."""
        self._ending.close()


def _write_refusal(resp: falcon.Response, answer: Answer) -> None:
    assert answer.refusal is not None
    outcome = answer.outcome or Outcome.UNKNOWN
    resp.set_header(h.OUTCOME_HEADER, outcome.value)
    resp.set_header(h.REASON_HEADER, answer.refusal.value)
    if answer.retry_after is not None:
        resp.set_header("Retry-After", f"{max(1, round(answer.retry_after))}")
    resp.media = {
        "outcome": outcome.value,
        "reason": answer.refusal.value,
        "detail": answer.detail,
        "retry_after_s": answer.retry_after,
    }


def _end_to_end(req: falcon.Request) -> Iterator[tuple[str, str]]:
    for name, value in req.headers.items():
        if name not in ("HOST", "CONTENT-LENGTH", "EXPECT"):
            yield name.title(), value


def _read_timeout(req: falcon.Request) -> Seconds | None:
    value = req.get_header(h.TIMEOUT_HEADER) or ""
    return Seconds(int(value) / 1_000) if value.isdigit() else None


def _read_fully(stream: Any, size: int) -> bytes:
    pieces = []
    while size > 0:
        piece = stream.read(min(size, READ_BYTES))
        if not piece:
            break
        pieces.append(piece)
        size -= len(piece)
    return b"".join(pieces)


def _pieces(req: falcon.Request, length: int) -> Iterator[bytes]:
    stream = req.env["wsgi.input"]
    while length > 0:
        try:
            piece = stream.read(min(length, READ_BYTES))
        except OSError as error:
            raise CallerGoneError(str(error)) from error
        if not piece:
            raise CallerGoneError("the caller's body ended early")
        length -= len(piece)
        yield piece


def build_callers_app(
    app: CallersApp, addresses: AddressesResource
) -> falcon.App:
    """Return the WSGI application for callers."""
    wsgi = falcon.App()
    wsgi.add_route(ADDRESSES_PATH, addresses)
    wsgi.add_sink(app.handle, "/")
    return wsgi
