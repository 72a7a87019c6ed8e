"""Checks whether an attempt was successful."""

from __future__ import annotations

import json

from wasabitray_core.documents import ExpectedResponse
from wasabitray_core.requests import AttemptResult, Exchange, Response
from wasabitray_core.states import AttemptStatus

SERVER_ERRORS = range(500, 600)


def find_failure(exchange: Exchange, result: AttemptResult) -> str | None:
    """Return why an attempt failed, or None if it was successful."""
    if result.status is not AttemptStatus.ANSWERED or result.response is None:
        return result.detail or result.status.value
    return find_response_failure(
        exchange.matched_route.good_answer, result.response
    )


def find_response_failure(
    expected: ExpectedResponse, response: Response
) -> str | None:
    """Return how a response differs from the template's expected response.

    A client error status, such as 404, is not a failure: the caller caused
    it, and the template need not list it.

    Returns:
        The difference, or None if the response is as expected.
    """
    if (
        response.status in SERVER_ERRORS
        and response.status not in expected.statuses
    ):
        return f"status {response.status}"
    if expected.statuses and response.status not in expected.statuses:
        if 400 <= response.status < 500:
            return None
        return f"status {response.status} is not expected"
    if not 200 <= response.status < 300:
        return None
    if expected.content_type is not None:
        content_type = (
            response.get_header("Content-Type").split(";")[0].strip().lower()
        )
        if content_type != expected.content_type.lower():
            return f"unexpected content type: {content_type or 'missing'}"
    if (
        expected.max_bytes is not None
        and len(response.body) > expected.max_bytes
    ):
        return (
            f"body has {len(response.body)} bytes, "
            f"at most {expected.max_bytes} expected"
        )
    if expected.required_fields and not response.is_streaming:
        return _find_missing_fields(expected.required_fields, response.body)
    return None


def _find_missing_fields(fields: tuple[str, ...], body: bytes) -> str | None:
    try:
        document = json.loads(body)
    except ValueError:
        return "body is not JSON"
    if not isinstance(document, dict):
        return "body is not a JSON object"
    missing = [f for f in fields if f not in document]
    return f"body is missing fields {', '.join(missing)}" if missing else None
