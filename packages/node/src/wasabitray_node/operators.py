"""The HTTP interface for operators: changes, state and metrics."""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable
from typing import Any

import falcon
from gevent import Timeout
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err

from wasabitray_core.documents import describe_problems
from wasabitray_core.errors import (
    ConflictError,
    DocumentError,
    NotLeaderError,
    WasabitrayError,
)
from wasabitray_core.ids import ChangeId, Revision
from wasabitray_core.local_messages import (
    ControllerName,
    GetDocuments,
    GetHistory,
    GetStatus,
    Propose,
)
from wasabitray_core.messages import Change, ChangeSummary, DocumentEdit
from wasabitray_node.http import build_bad_request, read_body
from wasabitray_node.metrics import Metrics
from wasabitray_node.tasks import Router

PROPOSE_TIMEOUT_S = 15.0
DEFAULT_HISTORY_CHANGES = 50
# No change can be longer: peers send it in a frame of this size.
MAX_CHANGE_BYTES = 64 * 1_048_576

STATUS_OF_ERROR: dict[type[WasabitrayError], int] = {
    ConflictError: 409,
    DocumentError: 422,
    NotLeaderError: 421,
}


class EditBody(BaseModel):
    """A document to write, or to delete if `body` is null."""

    model_config = ConfigDict(extra="forbid")

    key: str
    body: dict[str, Any] | None


class ChangeBody(BaseModel):
    """An operator's change to the configuration."""

    model_config = ConfigDict(extra="forbid")

    change: str = Field(min_length=8, max_length=128)
    expected: int = Field(ge=0, lt=2**63)
    author: str
    wall_time: str
    edits: list[EditBody] = Field(min_length=1)
    forced: bool = False

    def to_change(self) -> Change:
        """Return the change as the core's type."""
        edits = tuple(
            DocumentEdit(e.key, None if e.body is None else to_json(e.body))
            for e in self.edits
        )
        return Change(
            ChangeId(self.change),
            Revision(self.expected),
            self.author,
            self.wall_time,
            edits,
            self.forced,
        )


def to_json(body: dict[str, Any]) -> str:
    """Return a document's canonical JSON text."""
    return json.dumps(body, sort_keys=True, separators=(",", ":"))


class SecretCheck:
    """Falcon middleware that accepts only requests with the secret."""

    def __init__(self, secret: str) -> None:
        """Initialise with the shared secret; an empty one accepts all."""
        self._expected = f"Bearer {secret}".encode() if secret else b""

    def process_request(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Check the bearer token."""
        given = (req.auth or "").encode()
        if self._expected and not hmac.compare_digest(given, self._expected):
            raise falcon.HTTPUnauthorized(title="secret missing or wrong")


class ChangesResource:
    """Accepts changes and shows the newest ones."""

    def __init__(self, router: Router) -> None:
        """Initialise with the router to the controllers."""
        self._router = router

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Propose a change and wait for its result."""
        if ControllerName.CONSENSUS not in self._router.get_controllers():
            raise falcon.HTTPError(421, title="not a control host")
        try:
            body = ChangeBody.model_validate_json(
                read_body(req, MAX_CHANGE_BYTES)
            )
        except ValidationError as error:
            raise build_bad_request(
                describe_problems(error, "change", quotes_input=False)
            ) from None
        try:
            result = self._router.ask(
                ControllerName.CONSENSUS,
                Propose(body.to_change()),
                PROPOSE_TIMEOUT_S,
            )
        except Timeout:
            raise falcon.HTTPGatewayTimeout(
                title="outcome unknown",
                description="send the same change again to get its outcome",
            ) from None
        if isinstance(result, Err):
            raise _to_http_error(result.err_value)
        committed_change = result.ok_value
        resp.media = {
            "revision": committed_change.revision,
            "accepted": committed_change.accepted,
            "waiting": list(committed_change.waiting),
        }

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show the newest changes."""
        limit = req.get_param_as_int("limit", default=DEFAULT_HISTORY_CHANGES)
        changes = self._router.ask(ControllerName.CONSENSUS, GetHistory(limit))
        resp.media = {"changes": [_describe_change(c) for c in changes]}


def _describe_change(summary: ChangeSummary) -> dict[str, Any]:
    return {
        "revision": summary.revision,
        "change": summary.change,
        "author": summary.author,
        "wall_time": summary.wall_time,
        "written": list(summary.written),
        "deleted": list(summary.deleted),
    }


def _to_http_error(error: WasabitrayError) -> falcon.HTTPError:
    status = STATUS_OF_ERROR.get(type(error), 503)
    return falcon.HTTPError(
        status, title=type(error).__name__, description=str(error)
    )


class DocumentsResource:
    """Shows the documents that are applied on this host."""

    def __init__(self, router: Router) -> None:
        """Initialise with the router to the controllers."""
        self._router = router

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show all documents and their revision."""
        state = self._router.ask(ControllerName.CONFIGURATION, GetDocuments())
        documents = {k: json.loads(v) for k, v in state.documents.items()}
        resp.media = {"revision": state.revision, "documents": documents}


class StatusResource:
    """Shows the state of every controller."""

    def __init__(self, router: Router, host_info: dict[str, Any]) -> None:
        """Create the resource.

        Args:
            router: sends messages to the controllers.
            host_info: the host's name, role and location.
        """
        self._router = router
        self._host_info = host_info

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show the state as one document."""
        resp.media = self._host_info | {
            name.value: self._router.ask(name, GetStatus())
            for name in self._router.get_controllers()
        }


class MetricsResource:
    """Shows metrics in the text format that scrapers read."""

    def __init__(self, metrics: Metrics, router: Router) -> None:
        """Initialise with the metrics and the router to the controllers."""
        self._metrics = metrics
        self._router = router

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show all metrics."""
        # Few processes are ever scraped, and the import makes a start longer.
        from wasabitray_node.metrics_text import render_metrics

        resp.content_type = "text/plain; version=0.0.4"
        quotas = {}
        if ControllerName.QUOTAS in self._router.get_controllers():
            status = self._router.ask(ControllerName.QUOTAS, GetStatus())
            quotas = status["counters"]
        resp.data = render_metrics(self._metrics, quotas)


class LatenciesResource:
    """Shows latency percentiles by organisation and work class."""

    def __init__(self, metrics: Metrics) -> None:
        """Initialise with the metrics."""
        self._metrics = metrics

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show the percentiles."""
        resp.media = {"latencies": self._metrics.build_summary()}


class DrainResource:
    """Starts a graceful stop of this host."""

    def __init__(self, stop: Callable[[], None]) -> None:
        """Initialise with the function that starts the stop."""
        self._stop = stop

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Start the stop and respond immediately."""
        self._stop()
        resp.status = 202
        resp.media = {"draining": True}


def build_operators_app(
    router: Router,
    metrics: Metrics,
    secret: str,
    host_info: dict[str, Any],
    stop: Callable[[], None],
) -> falcon.App:
    """Return the WSGI application for operators.

    Args:
        router: sends messages to the controllers.
        metrics: shown as text and as percentiles.
        secret: the secret that operators send; empty if none is needed.
        host_info: the host's name, role and location.
        stop: starts a graceful stop.
    """
    app = falcon.App(middleware=[SecretCheck(secret)])
    app.add_route("/v1/changes", ChangesResource(router))
    app.add_route("/v1/documents", DocumentsResource(router))
    app.add_route("/v1/status", StatusResource(router, host_info))
    app.add_route("/v1/latencies", LatenciesResource(metrics))
    app.add_route("/v1/drain", DrainResource(stop))
    app.add_route("/metrics", MetricsResource(metrics, router))
    return app
