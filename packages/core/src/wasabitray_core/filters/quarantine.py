"""Keeping requests that break targets away from more of them."""

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
from wasabitray_core.requests import Exchange, Request
from wasabitray_core.states import RefusalReason

_QUARANTINE = ControllerName.QUARANTINE


def fingerprint_of(request: Request) -> Fingerprint:
    """Return what stays the same when a caller sends a request again."""
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
            request.query,
        )
    )
    for part in identity:
        digest.update(f"{len(part)}:{part}".encode())
    if not request.key:
        digest.update(request.body)
    return Fingerprint(digest.hexdigest())


class QuarantineFilter(Filter):
    """Refuses a request that broke several targets that ran it."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Refuse a quarantined request; report one that is answered."""
        fingerprint = fingerprint_of(exchange.request)
        exchange.fingerprint = fingerprint
        check = CheckQuarantine(fingerprint)
        suspicion = yield AskController(_QUARANTINE, check)
        if suspicion is Suspicion.QUARANTINED:
            return exchange.refuse(
                RefusalReason.QUARANTINED,
                422,
                "this request broke every target that ran it",
            )
        exchange.is_suspect = suspicion is Suspicion.SUSPECT
        answer = yield from call_next(exchange)
        if answer.refusal is None:
            answered = ReportResponse(fingerprint)
            yield TellController(_QUARANTINE, answered)
        return answer
