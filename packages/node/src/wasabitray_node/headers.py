"""Names of the native headers, and which headers are forwarded."""

from __future__ import annotations

from collections.abc import Iterable

FLEET_HEADER_PREFIX = "wasabitray-"
ORGANISATION_HEADER = "Wasabitray-Organisation"
TIMEOUT_HEADER = "Wasabitray-Timeout-Ms"
DEADLINE_HEADER = "Wasabitray-Deadline-Ms"
OUTCOME_HEADER = "Wasabitray-Outcome"
REASON_HEADER = "Wasabitray-Reason"
LOAD_HEADER = "Wasabitray-Load"
ENTRY_HEADER = "Wasabitray-Entry"
TARGET_HEADER = "Wasabitray-Target"
REVISION_HEADER = "Wasabitray-Revision"
ATTEMPTS_HEADER = "Wasabitray-Attempts"
# The id that a target repeats in its response, to name the request that the
# response belongs to.
EXCHANGE_HEADER = "Wasabitray-Request-Id"
KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "Request-Id"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def is_fleet_header(name: str) -> bool:
    """Return whether a header is one that only the fleet sets."""
    return name.lower().startswith(FLEET_HEADER_PREFIX)


def strip_hop_by_hop(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are forwarded to the other side.

    The hop-by-hop headers of RFC 9110 section 7.6.1, those that `Connection`
    names and the fleet's own, which nobody else may set, are removed.
    """
    headers = list(headers)
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in named
        and not is_fleet_header(name)
    )
