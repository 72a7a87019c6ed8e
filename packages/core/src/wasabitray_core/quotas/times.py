"""How long tokens of a quota may be on their way, from the allowed excess."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.documents import Problems

# Shares of the allowed excess of time, excess x window. A message between
# regions may wait for the acknowledgement of the one before it, so a reply can
# take three round trips of 60 ms, and longer on a busy host.
_LOAN_SHARE = 0.6
_GATHER_SHARE = 0.7
_REPLY_SHARE = 0.8
_WAIT_SHARE = 1.0
MIN_LOAN_S = 0.1
# No request waits longer for its token, whatever the excess allows.
MAX_WAIT_S = 0.6
# The refused requests of a flood are not spread over a longer time: most of
# them don't return.
MAX_RETRY_S = 5.0


class QuotaTimes(Struct, frozen=True):
    """How long tokens and requests for them are waited for.

    A token is subtracted from its share after the request that it is for was
    sent, and used before the request reaches a target. So a window in which
    both happen has no tokens of before it. Only the part of a token that a
    host borrowed in vain may be older.

    Attributes:
        loan_s: age, since it was requested, up to which a loan is used.
        reply_s: age, since the request, up to which a hub's reply is used.
        wait_s: longest time for which a request waits for a token.
        gather_s: longest time for which a hub borrows for a request.
    """

    loan_s: float
    reply_s: float
    wait_s: float
    gather_s: float


def derive_times(window_s: float, excess: float) -> QuotaTimes:
    """Return the times that keep to the allowed excess.

    Args:
        window_s: seconds of each window in which requests are limited.
        excess: share of the limit by which it may be exceeded.
    """
    budget_s = window_s * excess
    wait_s = min(MAX_WAIT_S, _WAIT_SHARE * budget_s)
    return QuotaTimes(
        loan_s=_LOAN_SHARE * wait_s,
        reply_s=_REPLY_SHARE * wait_s,
        wait_s=wait_s,
        gather_s=_GATHER_SHARE * wait_s,
    )


def find_quota_problems(
    window_s: float, excess: float, slack: float, most_voters: int
) -> Problems:
    """Return why a bound can't be kept; empty if it can.

    Args:
        window_s: seconds of each window in which requests are limited.
        excess: share of the limit by which it may be exceeded.
        slack: requests by which it may be exceeded besides.
        most_voters: most voters that the control group can have.
    """
    problems = []
    if derive_times(window_s, excess).loan_s < MIN_LOAN_S:
        least = MIN_LOAN_S / _LOAN_SHARE
        problems.append(
            f"excess: {excess} x window_s {window_s} is less than {least} s, "
            "in which a token gets from one region to another and is used"
        )
    if slack < most_voters:
        problems.append(
            f"slack: {slack} is less than {most_voters}, the most voters: "
            "the share of each holds at least one token"
        )
    return problems
