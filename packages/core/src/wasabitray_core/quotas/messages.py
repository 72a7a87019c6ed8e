"""Messages between hosts about organisations' quotas."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.ids import OrganisationName
from wasabitray_core.states import QuotaDecision


class QuotaRequest(Struct, frozen=True):
    """Asks a hub for a token for one request.

    Attributes:
        number: identifies the request at its sender.
    """

    number: int
    organisation: OrganisationName


class QuotaReply(Struct, frozen=True):
    """Whether the request gets a token.

    Attributes:
        number: number of the request.
        retry_after_s: seconds after which a request without a token may get
            one.
    """

    number: int
    decision: QuotaDecision
    retry_after_s: float


class BorrowRequest(Struct, frozen=True):
    """Asks another control host for tokens of its share.

    Attributes:
        number: identifies the request at its sender.
        tokens: how many are needed.
    """

    number: int
    organisation: OrganisationName
    tokens: float


class BorrowReply(Struct, frozen=True):
    """The tokens that were subtracted from the lender's share.

    Attributes:
        number: number of the request.
    """

    number: int
    tokens: float
