"""The listener for callers: address answers and requests."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from typing import Any

import falcon
from gevent.event import Event

from wasabitray_core.filters.chain import (
    AfterResponse,
    AskController,
    Attempt,
    Effect,
    FilterChain,
    LogDecision,
    TellController,
    run_effects,
)
from wasabitray_core.ids import CallerRequestId, RegionName, Seconds
from wasabitray_core.local_messages import ControllerName, GetAddresses
from wasabitray_core.requests import Exchange, Request, Response
from wasabitray_core.states import RefusalReason, WorkClass
from wasabitray_node import headers as h
from wasabitray_node.bodies import Body, BodyFault, BodyReader
from wasabitray_node.dialects import CallerDialect, CallerFacts
from wasabitray_node.http import CALLER_SOCKET, REQUEST_TARGET
from wasabitray_node.logs import log_decision, log_error
from wasabitray_node.metrics import Metrics
from wasabitray_node.settings import Limits
from wasabitray_node.tasks import Router
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerWatch

ADDRESSES_PATH = "/.well-known/wasabitray/addresses"
BODYLESS_STATUSES = frozenset({204, 304})


class Work:
    """Counts requests in flight, so that a stop can wait for them.

    Attributes:
        closing: a stop has begun; connections end with their answers.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._in_flight = 0
        self._idle = Event()
        self._idle.set()
        self.closing = False

    @property
    def in_flight(self) -> int:
        """Requests that are not answered yet."""
        return self._in_flight

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

    def __init__(
        self, router: Router, upstream: Upstream, watch: CallerWatch
    ) -> None:
        """Take the tasks, the way to targets and the watch on the caller."""
        self._router = router
        self._upstream = upstream
        self._watch = watch
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
        return self._upstream.attempt(effect, self._watch)

    @perform.register
    def _(self, effect: AfterResponse) -> None:
        self.at_end.append(effect.tell)

    @perform.register
    def _(self, effect: LogDecision) -> None:
        log_decision(effect.event, **effect.fields)

    def finish(self) -> None:
        """Tell what waited for the end of the answer."""
        self._watch.stop()
        for tell in self.at_end:
            self._router.tell(tell.controller, tell.message)
        self.at_end.clear()


class CallersApp:
    """Runs each request through the filter chain."""

    def __init__(
        self,
        chain: FilterChain,
        router: Router,
        upstream: Upstream,
        metrics: Metrics,
        limits: Limits,
        clock: Callable[[], Seconds],
        work: Work,
        dialect: CallerDialect,
    ) -> None:
        """Take the parts that requests pass."""
        self._chain = chain
        self._router = router
        self._upstream = upstream
        self._metrics = metrics
        self._bodies = BodyReader(limits)
        self._clock = clock
        self._work = work
        self._dialect = dialect

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
    ) -> tuple[Response, Exchange, Performer]:
        watch = CallerWatch(req.env.get(CALLER_SOCKET))
        performer = Performer(self._router, self._upstream, watch)
        facts = self._dialect.read(req)
        request, fault = self._read_request(req, facts, watch)
        exchange = Exchange(request, arrived, arrived)
        if fault is not None:
            refusal = exchange.refuse(
                RefusalReason.BAD_REQUEST, fault.status, fault.detail
            )
            return refusal, exchange, performer
        exchange.caller_timeout = facts.timeout
        exchange.is_caller_waiting = lambda: not watch.gone
        try:
            answer = run_effects(self._chain.run(exchange), performer.perform)
        except Exception as error:
            log_error("request failed", error, request=request.id)
            exchange.may_have_run = True  # nothing better is known
            answer = exchange.refuse(
                RefusalReason.TARGET_FAILED, 500, "internal error"
            )
        return answer, exchange, performer

    def _read_request(
        self, req: falcon.Request, facts: CallerFacts, watch: CallerWatch
    ) -> tuple[Request, BodyFault | None]:
        """Return the request, and what is wrong if it is refused."""
        path, _, query = req.env[REQUEST_TARGET].partition("?")
        body = Body()
        fault: BodyFault | None = None
        if not path.startswith("/"):
            detail = "the request target must begin with a slash"
            fault = BodyFault(400, detail)
        elif facts.fault:
            fault = BodyFault(400, facts.fault)
        else:
            read = self._bodies.read(req, watch.start)
            if isinstance(read, BodyFault):
                fault = read
            else:
                body = read
        if body.stream is None:
            watch.start()
        request = Request(
            facts.organisation,
            req.method,
            path,
            query,
            h.strip_hop_by_hop(_end_to_end(req)),
            body.held,
            body.stream,
            body.length,
            facts.key,
            facts.id or new_request_id(),
            facts.authority,
            req.remote_addr or "",
        )
        return request, fault

    def _write(
        self,
        resp: falcon.Response,
        answer: Response,
        exchange: Exchange,
        ending: _Ending,
    ) -> None:
        resp.status = answer.status
        if self._work.closing:
            resp.set_header("Connection", "close")
        if answer.refusal is not None:
            self._dialect.write_refusal(resp, answer, exchange)
            ending.close()
            return
        self._dialect.write_facts(resp, answer, exchange)
        resp.content_type = answer.get_header("Content-Type") or None
        for name, value in answer.headers:
            lowered = name.lower()
            if lowered == "set-cookie" or lowered not in (
                "content-type",
                "content-length",
            ):
                resp.append_header(name, value)
        if answer.chunks is not None:
            length = answer.get_header("Content-Length")
            if length:
                resp.set_header("Content-Length", length)
            resp.stream = ending.stream()
            return
        if answer.status not in BODYLESS_STATUSES:
            resp.data = answer.body
            if exchange.request.method == "HEAD":
                length = answer.get_header("Content-Length")
                if length:
                    resp.set_header("Content-Length", length)
        ending.close()

    def end(
        self, exchange: Exchange, performer: Performer, answer: Response
    ) -> None:
        """Count and log a request after its last byte."""
        performer.finish()
        self._work.end()
        work = exchange.route.work if exchange.route else WorkClass.SHORT
        known = exchange.route is not None
        subject = exchange.route.name if exchange.route else ""
        organisation = exchange.request.organisation if known else ""
        elapsed = self._clock() - exchange.arrived
        self._metrics.record(organisation or subject, work, answer, elapsed)
        log_decision(
            "request answered"
            if answer.refusal is None
            else "request refused",
            request=exchange.request.id,
            route=subject,
            service=exchange.route.service if exchange.route else None,
            revision=exchange.revision,
            status=answer.status,
            reason=answer.refusal.value if answer.refusal else None,
            detail=answer.detail or answer.fault,
            outcome=answer.outcome.value if answer.outcome else None,
            target=answer.target,
            attempts=answer.attempts,
            retry_after_s=answer.retry_after,
            elapsed_ms=round(elapsed * 1_000, 1),
        )


class _Ending:
    """The end of one exchange; it comes exactly once."""

    def __init__(
        self,
        app: CallersApp,
        exchange: Exchange,
        performer: Performer,
        answer: Response,
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

    def stream(self) -> _StreamedBody:
        """Return the body of a large answer."""
        return _StreamedBody(self._answer, self)


class _StreamedBody:
    """A large answer's body; an early end breaks the connection."""

    def __init__(self, answer: Response, ending: _Ending) -> None:
        self._answer = answer
        self._ending = ending

    def __iter__(self) -> Iterator[bytes]:
        yield self._answer.body
        if self._answer.chunks is not None:
            yield from self._answer.chunks

    def close(self) -> None:
        """End the exchange (called by the server)."""
        self._ending.close()


def _end_to_end(req: falcon.Request) -> Iterator[tuple[str, str]]:
    for name, value in req.headers.items():
        if name not in ("HOST", "CONTENT-LENGTH", "EXPECT"):
            yield name.title(), value


def new_request_id() -> CallerRequestId:
    """Return an id for a request that came without one."""
    return CallerRequestId(secrets.token_hex(8))


def build_callers_app(
    app: CallersApp, addresses: AddressesResource | None
) -> falcon.App:
    """Return the WSGI application for callers.

    Args:
        app: serves requests.
        addresses: answers questions for addresses, if this host does.
    """
    wsgi = falcon.App()
    if addresses is not None:
        wsgi.add_route(ADDRESSES_PATH, addresses)
    wsgi.add_sink(app.handle, "/")
    return wsgi
