"""Judging whether an attempt brought a good answer."""

from __future__ import annotations

import json

from wasabitray_core.documents import ExpectedResponse
from wasabitray_core.requests import AttemptResult, Exchange, Response
from wasabitray_core.states import AttemptStatus

SERVER_ERRORS = range(500, 600)


def find_fault(exchange: Exchange, result: AttemptResult) -> str | None:
    """Return what is wrong with an attempt, or None if it is good."""
    if result.status is not AttemptStatus.ANSWERED or result.response is None:
        return result.detail or result.status.value
    return find_answer_fault(
        exchange.matched_route.good_answer, result.response
    )


def find_answer_fault(good: ExpectedResponse, answer: Response) -> str | None:
    """Compare an answer with its template's description.

    An answer with a status that the caller caused, such as 404, is good
    when the template lists no statuses.
    """
    if answer.status in SERVER_ERRORS and answer.status not in good.statuses:
        return f"status {answer.status}"
    if good.statuses and answer.status not in good.statuses:
        if 400 <= answer.status < 500:
            return None
        return f"status {answer.status} is not expected"
    if not 200 <= answer.status < 300:
        return None
    if good.content_type is not None:
        found = answer.get_header("Content-Type").split(";")[0].strip().lower()
        if found != good.content_type.lower():
            return f"content type {found or 'missing'}"
    if good.max_bytes is not None and len(answer.body) > good.max_bytes:
        return f"{len(answer.body)} bytes, at most {good.max_bytes} expected"
    if good.required_fields and answer.chunks is None:
        return _find_missing_field(good.required_fields, answer.body)
    return None


def _find_missing_field(fields: tuple[str, ...], body: bytes) -> str | None:
    try:
        document = json.loads(body)
    except ValueError:
        return "body is not JSON"
    if not isinstance(document, dict):
        return "body is not a JSON object"
    missing = [f for f in fields if f not in document]
    return f"missing fields {', '.join(missing)}" if missing else None
