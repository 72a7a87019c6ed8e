"""The listener for callers: serves requests and lists of addresses."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterator
from functools import partial, singledispatchmethod
from typing import Any

import falcon
from gevent.event import Event
from msgspec import Struct
from msgspec.structs import asdict

from wasabitray_core.filters.chain import (
    AfterResponse,
    AskController,
    Attempt,
    AwaitAttempts,
    CancelAttempt,
    Effect,
    FilterChain,
    LogDecision,
    StartAttempt,
    TellController,
    run_effects,
)
from wasabitray_core.ids import CallerRequestId, RegionName, Seconds
from wasabitray_core.local_messages import (
    ControllerName,
    GetAddresses,
    SilentTarget,
)
from wasabitray_core.requests import Exchange, Request, Response
from wasabitray_core.states import RefusalReason, WorkClass
from wasabitray_node import headers as h
from wasabitray_node.bodies import Body, BodyReader, RequestRejection
from wasabitray_node.dialects import CallerDialect, RequestMetadata
from wasabitray_node.http import CALLER_SOCKET, REQUEST_TARGET
from wasabitray_node.logs import log_decision, log_error
from wasabitray_node.metrics import Metrics
from wasabitray_node.racing import AttemptRace
from wasabitray_node.settings import Limits
from wasabitray_node.tasks import Router
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerWatch

ADDRESSES_PATH = "/.well-known/wasabitray/addresses"
BODYLESS_STATUSES = frozenset({204, 304})


class InFlightRequest(Struct, eq=False):
    """A request whose response is not complete.

    Attributes:
        id: its id, empty until it has been read.
    """

    id: CallerRequestId = CallerRequestId("")


class InFlightRequests:
    """The requests in flight, so that a stop can wait for them.

    Attributes:
        is_stopping: whether a planned stop has begun; each connection is then
            closed after its response.
    """

    def __init__(self) -> None:
        """Start with no request in flight."""
        self._open: set[InFlightRequest] = set()
        self._idle = Event()
        self._idle.set()
        self.is_stopping = False

    @property
    def in_flight(self) -> int:
        """The number of requests whose response is not complete."""
        return len(self._open)

    @property
    def ids(self) -> list[CallerRequestId]:
        """The ids of the requests in flight that have been read."""
        return sorted(request.id for request in self._open if request.id)

    def start_request(self) -> InFlightRequest:
        """Add a request that has arrived."""
        request = InFlightRequest()
        self._open.add(request)
        self._idle.clear()
        return request

    def end_request(self, request: InFlightRequest) -> None:
        """Remove a request that has ended."""
        self._open.discard(request)
        if not self._open:
            self._idle.set()

    def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        self._idle.wait()


class AddressesResource:
    """Returns the addresses of the entries that a caller should use."""

    def __init__(self, router: Router, region: str) -> None:
        """Create the resource.

        Args:
            router: sends messages to the controllers.
            region: the region assumed for a caller that names none.
        """
        self._router = router
        self._region = region

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the addresses, best first."""
        region = RegionName(req.get_param("region", default=self._region))
        reply = self._router.ask(
            ControllerName.ADDRESSES, GetAddresses(region)
        )
        if not reply.addresses:
            raise falcon.HTTPServiceUnavailable(
                title="no entry accepts requests", retry_after=1
            )
        resp.media = {
            "addresses": list(reply.addresses),
            "ttl_s": reply.ttl_s,
        }
        resp.set_header("Cache-Control", f"max-age={int(reply.ttl_s)}")


class EffectHandler:
    """Carries out the effects that the filters yield for one exchange."""

    def __init__(
        self, router: Router, upstream: Upstream, watch: CallerWatch
    ) -> None:
        """Create the handler for one exchange.

        Args:
            router: sends messages to the controllers.
            upstream: sends attempts to targets.
            watch: detects that the caller has disconnected.
        """
        self._router = router
        self._upstream = upstream
        self._watch = watch
        self._race = AttemptRace(upstream, watch)
        self._after_response: list[TellController] = []

    @singledispatchmethod
    def handle(self, effect: Effect) -> Any:
        """Carry out an effect and return its result."""
        raise TypeError(f"unsupported effect: {effect!r}")

    @handle.register
    def _(self, effect: AskController) -> Any:
        return self._router.ask(effect.controller, effect.message, None)

    @handle.register
    def _(self, effect: TellController) -> None:
        self._router.tell(effect.controller, effect.message)

    @handle.register
    def _(self, effect: Attempt) -> Any:
        return self._upstream.attempt(
            effect, self._watch, partial(self._report_silence, effect)
        )

    @handle.register
    def _(self, effect: StartAttempt) -> Any:
        attempt = effect.attempt
        return self._race.start(
            attempt, partial(self._report_silence, attempt)
        )

    @handle.register
    def _(self, effect: AwaitAttempts) -> Any:
        return self._race.wait(effect.handles, effect.timeout)

    @handle.register
    def _(self, effect: CancelAttempt) -> Any:
        return self._race.cancel(effect.handle)

    @handle.register
    def _(self, effect: AfterResponse) -> None:
        self._after_response.append(effect.tell)

    @handle.register
    def _(self, effect: LogDecision) -> None:
        log_decision(effect.event, **effect.fields)

    def _report_silence(
        self, attempt: Attempt, elapsed: float, is_conclusive: bool
    ) -> None:
        message = SilentTarget(
            attempt.target.service,
            attempt.target.target,
            attempt.work,
            Seconds(elapsed),
            is_conclusive,
        )
        self._router.tell(ControllerName.DISPATCH, message)

    def finish(self) -> None:
        """Send the messages that were deferred until the response ended."""
        self._watch.stop()
        self._race.close()
        for tell in self._after_response:
            self._router.tell(tell.controller, tell.message)
        self._after_response.clear()


class CallersApp:
    """Runs each request through the filter chain and writes its response."""

    def __init__(
        self,
        chain: FilterChain,
        router: Router,
        upstream: Upstream,
        metrics: Metrics,
        limits: Limits,
        clock: Callable[[], Seconds],
        requests: InFlightRequests,
        dialect: CallerDialect,
    ) -> None:
        """Create the application.

        Args:
            chain: the filters that decide how to serve a request.
            router: sends messages to the controllers.
            upstream: sends attempts to targets.
            metrics: counts the responses.
            limits: bounds on bodies and times.
            clock: returns monotonic seconds.
            requests: counts the requests in flight.
            dialect: how callers state requests and read responses.
        """
        self._chain = chain
        self._router = router
        self._upstream = upstream
        self._metrics = metrics
        self._bodies = BodyReader(limits)
        self._clock = clock
        self._requests = requests
        self._dialect = dialect

    def handle(
        self, req: falcon.Request, resp: falcon.Response, **_: Any
    ) -> None:
        """Serve one request (a falcon sink)."""
        arrived = self._clock()
        in_flight = self._requests.start_request()
        try:
            response, exchange, effects = self._serve(req, arrived, in_flight)
        except BaseException:
            self._requests.end_request(in_flight)
            raise
        completion = _Completion(self, exchange, effects, response, in_flight)
        self._write(resp, response, exchange, completion)

    def _serve(
        self,
        req: falcon.Request,
        arrived: Seconds,
        in_flight: InFlightRequest,
    ) -> tuple[Response, Exchange, EffectHandler]:
        watch = CallerWatch(req.env.get(CALLER_SOCKET))
        try:
            return self._serve_watched(req, arrived, in_flight, watch)
        except BaseException:
            watch.stop()
            raise

    def _serve_watched(
        self,
        req: falcon.Request,
        arrived: Seconds,
        in_flight: InFlightRequest,
        watch: CallerWatch,
    ) -> tuple[Response, Exchange, EffectHandler]:
        effects = EffectHandler(self._router, self._upstream, watch)
        metadata = self._dialect.parse_request(req)
        request, rejection = self._read_request(req, metadata, watch)
        in_flight.id = request.id
        exchange = Exchange(request, arrived, arrived)
        if rejection is not None:
            reason = RefusalReason.BAD_REQUEST
            if rejection.retry_after is not None:
                reason = RefusalReason.OVERLOAD
            refusal = exchange.refuse(
                reason,
                rejection.status,
                rejection.detail,
                rejection.retry_after,
            )
            return refusal, exchange, effects
        exchange.caller_timeout = metadata.timeout
        exchange.is_caller_waiting = lambda: not watch.is_gone
        try:
            response = run_effects(self._chain.run(exchange), effects.handle)
        except Exception as error:
            log_error("request failed", error, request=request.id)
            exchange.may_have_run = True  # unknown, so assume that it may have
            response = exchange.refuse(
                RefusalReason.TARGET_FAILED, 500, "internal error"
            )
        return response, exchange, effects

    def _read_request(
        self,
        req: falcon.Request,
        metadata: RequestMetadata,
        watch: CallerWatch,
    ) -> tuple[Request, RequestRejection | None]:
        """Return the request, and why it is rejected if it is."""
        path, mark, query = req.env[REQUEST_TARGET].partition("?")
        body = Body()
        rejection: RequestRejection | None = None
        if not path.startswith("/"):
            detail = "the request target must begin with a slash"
            rejection = RequestRejection(400, detail)
        elif metadata.error:
            rejection = RequestRejection(400, metadata.error)
        else:
            read = self._bodies.read(req, watch.start)
            if isinstance(read, RequestRejection):
                rejection = read
            else:
                body = read
        if body.stream is None:
            watch.start()
        request = Request(
            metadata.organisation,
            req.method,
            path,
            query if mark else None,
            h.strip_hop_by_hop(_list_headers(req)),
            body.content,
            body.stream,
            body.length,
            metadata.key,
            metadata.id or new_request_id(),
            metadata.authority,
            req.remote_addr or "",
            body.start,
            metadata.api_key,
        )
        return request, rejection

    def _write(
        self,
        resp: falcon.Response,
        response: Response,
        exchange: Exchange,
        completion: _Completion,
    ) -> None:
        """Write a response; complete the exchange unless it is streamed."""
        resp.status = response.status
        is_gone = response.refusal is RefusalReason.CALLER_GONE
        if self._requests.is_stopping or is_gone:
            # Requests that a caller sent behind this one are not read.
            resp.set_header("Connection", "close")
        if response.refusal is not None:
            self._dialect.write_refusal(resp, response, exchange)
            completion.close()
            return
        self._dialect.write_metadata(resp, response, exchange)
        resp.content_type = response.get_header("Content-Type") or None
        for name, value in response.headers:
            lowered = name.lower()
            if lowered == "set-cookie" or lowered not in (
                "content-type",
                "content-length",
            ):
                resp.append_header(name, value)
        if response.chunks is not None:
            length = response.get_header("Content-Length")
            if length:
                resp.set_header("Content-Length", length)
            resp.stream = completion.stream()
            return
        if response.status not in BODYLESS_STATUSES:
            resp.data = response.body
            if exchange.request.method == "HEAD":
                length = response.get_header("Content-Length")
                if length:
                    resp.set_header("Content-Length", length)
        completion.close()

    def finish_request(
        self,
        exchange: Exchange,
        effects: EffectHandler,
        response: Response,
        in_flight: InFlightRequest,
    ) -> None:
        """Count and log a request whose response has ended."""
        effects.finish()
        self._requests.end_request(in_flight)
        work_class = exchange.route.work if exchange.route else WorkClass.SHORT
        has_route = exchange.route is not None
        route_name = exchange.route.name if exchange.route else ""
        organisation = exchange.request.organisation if has_route else ""
        elapsed = self._clock() - exchange.arrived
        self._metrics.record(
            organisation or route_name, work_class, response, elapsed
        )
        if exchange.second_attempt is not None:
            self._metrics.record_second_attempt(
                exchange.service, exchange.second_attempt
            )
        log_decision(
            "request answered"
            if response.refusal is None
            else "request refused",
            request=exchange.request.id,
            route=route_name,
            organisation=organisation or None,
            service=exchange.route.service if exchange.route else None,
            revision=exchange.revision,
            status=response.status,
            reason=response.refusal.value if response.refusal else None,
            detail=response.detail or response.fault,
            outcome=response.outcome.value if response.outcome else None,
            target=response.target,
            attempts=response.attempts,
            retry_after_s=response.retry_after,
            elapsed_ms=round(elapsed * 1_000, 1),
            **_describe_second_attempt(exchange),
            **_describe_configuration(exchange),
        )


def _describe_second_attempt(exchange: Exchange) -> dict[str, Any]:
    """Return the log field of a request whose first attempt was overdue."""
    result = exchange.second_attempt
    return {} if result is None else {"second_attempt": result.value}


def _describe_configuration(exchange: Exchange) -> dict[str, Any]:
    """Return the log fields of a request for which there is no route."""
    if exchange.configuration is None:
        return {}
    facts = asdict(exchange.configuration)
    del facts["revision"]  # it is in the line of each request
    return facts


class _Completion:
    """Completes one exchange exactly once."""

    def __init__(
        self,
        app: CallersApp,
        exchange: Exchange,
        effects: EffectHandler,
        response: Response,
        in_flight: InFlightRequest,
    ) -> None:
        self._app = app
        self._exchange = exchange
        self._effects = effects
        self._response = response
        self._in_flight = in_flight
        self._is_open = True

    def close(self) -> None:
        """Complete the exchange; further calls do nothing."""
        if self._is_open:
            self._is_open = False
            if self._response.chunks is not None:
                self._response.chunks.close()
            self._app.finish_request(
                self._exchange, self._effects, self._response, self._in_flight
            )

    def stream(self) -> _StreamedBody:
        """Return the body of a response that is streamed."""
        return _StreamedBody(self._response, self)


class _StreamedBody:
    """A response body that is forwarded in pieces.

    If the body ends early, the server closes the connection.
    """

    def __init__(self, response: Response, completion: _Completion) -> None:
        self._response = response
        self._completion = completion

    def __iter__(self) -> Iterator[bytes]:
        body, self._response.body = self._response.body, b""
        yield body
        del body  # a long stream keeps nothing that was sent
        if self._response.chunks is not None:
            yield from self._response.chunks

    def close(self) -> None:
        """Complete the exchange (called by the server)."""
        self._completion.close()


def _list_headers(req: falcon.Request) -> Iterator[tuple[str, str]]:
    """Yield a request's headers, without those that are not forwarded."""
    for name, value in req.headers.items():
        if name not in ("HOST", "CONTENT-LENGTH", "EXPECT"):
            yield name.title(), value


def new_request_id() -> CallerRequestId:
    """Return a random id for a request whose caller gave none."""
    return CallerRequestId(secrets.token_hex(8))


def build_callers_app(
    app: CallersApp, addresses: AddressesResource | None
) -> falcon.App:
    """Return the WSGI application for callers.

    Args:
        app: serves requests.
        addresses: returns the addresses of entries; None if this host
            doesn't know them.
    """
    wsgi = falcon.App()
    if addresses is not None:
        wsgi.add_route(ADDRESSES_PATH, addresses)
    wsgi.add_sink(app.handle, "/")
    return wsgi
