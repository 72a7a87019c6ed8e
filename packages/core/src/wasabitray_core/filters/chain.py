"""The chain of filters that a request goes through.

A filter is a generator. It yields effects, such as a message to a controller
or an attempt at a target, and receives their results. So the chain needs no
sockets: its caller performs the effects, in real or in simulated time.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Generator, Sequence
from functools import partial
from typing import Any, NewType

from msgspec import Struct

from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import ControllerName
from wasabitray_core.requests import (
    AttemptResult,
    Exchange,
    Request,
    Response,
    Target,
)
from wasabitray_core.silence import SilenceLimits
from wasabitray_core.states import WorkClass


class AskController(Struct, frozen=True):
    """Send a message to a controller and wait for its reply."""

    controller: ControllerName
    message: Any


class TellController(Struct, frozen=True):
    """Send a message to a controller without waiting."""

    controller: ControllerName
    message: Any


class Attempt(Struct, frozen=True):
    """Send the request to a target; the result is an AttemptResult.

    Attributes:
        timeout: seconds until the attempt is given up.
        use_new_connection: whether to open a connection even if an idle one
            could be reused.
        stop_extension: seconds that the request has left beyond the timeout.
            An entry that is stopping allows the attempt these seconds as
            well, so that it interrupts no attempt.
        response_wait: seconds after these that an entry which is stopping
            waits for the target's own response.
        silence: when silence is evidence against the target, None if it is
            none. The evidence counts if the target accepts a new connection
            at that time, and is sent to the dispatch controller.
        work: the request's work class.
    """

    target: Target
    request: Request
    timeout: Seconds
    use_new_connection: bool
    stop_extension: Seconds = Seconds(0.0)
    response_wait: Seconds = Seconds(0.0)
    silence: SilenceLimits | None = None
    work: WorkClass = WorkClass.SHORT


AttemptHandle = NewType("AttemptHandle", int)
"""An attempt that runs while the chain goes on; numbered by its performer."""


class StartAttempt(Struct, frozen=True):
    """Start an attempt without waiting; the result is an AttemptHandle."""

    attempt: Attempt


class AwaitAttempts(Struct, frozen=True):
    """Wait until one of several attempts has ended.

    The result is an EndedAttempt, or None if the timeout passed first. If the
    caller disconnects, all of them are cancelled.

    Attributes:
        timeout: seconds to wait, None to wait until one has ended.
    """

    handles: tuple[AttemptHandle, ...]
    timeout: Seconds | None = None


class EndedAttempt(Struct, frozen=True):
    """An attempt that has ended, as the result of AwaitAttempts."""

    handle: AttemptHandle
    result: AttemptResult


class CancelAttempt(Struct, frozen=True):
    """Close an attempt's connection; the result is its AttemptResult.

    Its status is CANCELLED, and a response that has arrived is dropped.
    """

    handle: AttemptHandle


class AfterResponse(Struct, frozen=True):
    """Tell a controller once the last byte of the response was sent."""

    tell: TellController


class LogDecision(Struct, frozen=True):
    """Log a decision about the request."""

    event: str
    fields: dict[str, Any]


Effect = (
    AskController
    | TellController
    | Attempt
    | StartAttempt
    | AwaitAttempts
    | CancelAttempt
    | AfterResponse
    | LogDecision
)
EffectGenerator = Generator[Effect, Any, Response]
NextFilter = Callable[[Exchange], EffectGenerator]


class Filter(ABC):
    """One filter of the chain."""

    @abstractmethod
    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Handle an exchange, usually by calling `call_next` with it."""

    def __repr__(self) -> str:
        return f"<{type(self).__name__}>"


class FilterChain:
    """Filters in order; the last one makes the attempt at a target."""

    def __init__(self, filters: Sequence[Filter]) -> None:
        """Link the filters from the last to the first."""
        self._filters = tuple(filters)
        call_next: NextFilter = _end_of_chain
        for current in reversed(self._filters):
            call_next = partial(current.handle, call_next=call_next)
        self._first = call_next

    @property
    def filters(self) -> tuple[Filter, ...]:
        """The filters in order."""
        return self._filters

    def run(self, exchange: Exchange) -> EffectGenerator:
        """Return the generator of one exchange's effects."""
        return self._first(exchange)

    def __repr__(self) -> str:
        return f"<FilterChain [{len(self._filters)}]>"


def _end_of_chain(exchange: Exchange) -> EffectGenerator:
    raise AssertionError("the last filter of the chain called call_next")
    yield


def run_effects(
    effects: EffectGenerator, perform: Callable[[Effect], Any]
) -> Response:
    """Perform a chain's effects until it returns its response.

    Args:
        effects: generator of a filter chain.
        perform: performs an effect and returns its result; it may block.
    """
    result: Any = None
    while True:
        try:
            effect = effects.send(result)
        except StopIteration as stop:
            return stop.value
        result = perform(effect)
