"""Messages between the filter of second attempts and the dispatch."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.ids import Seconds, ServiceName, TargetId
from wasabitray_core.states import SecondAttemptResult, WorkClass


class PlanSecondAttempt(Struct, frozen=True):
    """Asks after which delay a second attempt may follow the first one.

    The reply is a delay in seconds, None if no second attempt may follow.

    Attributes:
        route: name or path of the request's route.
    """

    service: ServiceName
    work: WorkClass
    route: str


class RequestSecondAttempt(Struct, frozen=True):
    """Asks for a second attempt, now that the first one is overdue.

    The reply is a SecondAttemptVerdict.

    Attributes:
        first_target: target of the first attempt.
        deadline: monotonic time after which a response is of no use.
        is_repeated: whether it was asked for this request before.
    """

    service: ServiceName
    work: WorkClass
    first_target: TargetId
    deadline: Seconds
    is_repeated: bool = False


class SecondAttemptVerdict(Struct, frozen=True):
    """Whether a second attempt may be made.

    Attributes:
        target: target of the second attempt, None if there is to be none.
        refusal: why there is to be none.
    """

    target: TargetId | None = None
    refusal: SecondAttemptResult | None = None


class ReportResponseSize(Struct, frozen=True):
    """The size of a response, which decides about long responses.

    Attributes:
        route: name or path of the request's route.
        size: bytes of the body, None if they are not known.
    """

    service: ServiceName
    route: str
    size: int | None
