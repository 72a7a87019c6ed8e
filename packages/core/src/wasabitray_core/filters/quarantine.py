"""A filter that refuses requests that crashed several targets."""

from __future__ import annotations

import hashlib

from wasabitray_core.filters.chain import (
    AskController,
    EffectGenerator,
    Filter,
    NextFilter,
    TellController,
)
from wasabitray_core.ids import Fingerprint
from wasabitray_core.local_messages import (
    CheckQuarantine,
    ControllerName,
    ReportResponse,
    Suspicion,
)
from wasabitray_core.requests import Exchange, Request, Response
from wasabitray_core.states import RefusalReason

_QUARANTINE = ControllerName.QUARANTINE


def compute_fingerprint(request: Request) -> Fingerprint:
    """Return a digest that is the same when a caller resends a request.

    It covers the organisation and the idempotency key or, without a key, the
    organisation, authority, caller, method, path, query and body. Of a body
    that is streamed, it covers the length and the first bytes.
    """
    digest = hashlib.blake2b(digest_size=16)
    identity = (
        (request.organisation, request.key)
        if request.key
        else (
            request.organisation,
            request.authority,
            request.caller,
            request.method,
            request.path,
            request.query or "",
        )
    )
    for part in identity:
        digest.update(f"{len(part)}:{part}".encode())
    if not request.key:
        digest.update(f"{request.length}:".encode())
        digest.update(request.body or request.body_start)
    return Fingerprint(digest.hexdigest())


def refuse_quarantined(exchange: Exchange) -> Response:
    """Return the response to a quarantined request."""
    return exchange.refuse(
        RefusalReason.QUARANTINED,
        422,
        "the targets that ran this request crashed",
    )


class QuarantineFilter(Filter):
    """Refuses a request that crashed several targets that ran it."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Refuse a quarantined request; report one that is served."""
        fingerprint = compute_fingerprint(exchange.request)
        exchange.fingerprint = fingerprint
        check = CheckQuarantine(fingerprint)
        suspicion = yield AskController(_QUARANTINE, check)
        if suspicion is Suspicion.QUARANTINED:
            return refuse_quarantined(exchange)
        exchange.is_suspect = suspicion is not Suspicion.NONE
        response = yield from call_next(exchange)
        if response.refusal is None and response.fault is None:
            report = ReportResponse(fingerprint)
            yield TellController(_QUARANTINE, report)
        return response
