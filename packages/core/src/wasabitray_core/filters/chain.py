"""The chain of filters that a request goes through.

A filter is a generator. It yields effects, such as an ask or an attempt,
and gets their results back, so the chain runs without sockets: whoever
drives it performs the effects, in real time or in a bench's.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import ControllerName
from wasabitray_core.requests import Exchange, Request, Response, Target


@dataclass(frozen=True, slots=True)
class AskController:
    """Send a message to a controller and wait for its reply."""

    controller: ControllerName
    message: Any


@dataclass(frozen=True, slots=True)
class TellController:
    """Send a message to a controller without waiting."""

    controller: ControllerName
    message: Any


@dataclass(frozen=True, slots=True)
class Attempt:
    """Send the request to a target; the result is an AttemptResult.

    Attributes:
        timeout: seconds until the attempt is abandoned.
        use_new_connection: use a new connection, never an idle one.
        stop_extension: seconds that the request has left beyond the timeout.
            An entry that is stopping lets the attempt run on for these
            seconds, so that it breaks no attempt off.
    """

    target: Target
    request: Request
    timeout: Seconds
    use_new_connection: bool
    stop_extension: Seconds = Seconds(0.0)


@dataclass(frozen=True, slots=True)
class AfterResponse:
    """Tell a controller once the answer's last byte has gone out."""

    tell: TellController


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision about the request."""

    event: str
    fields: dict[str, Any]


Effect = AskController | TellController | Attempt | AfterResponse | LogDecision
EffectGenerator = Generator[Effect, Any, Response]
NextFilter = Callable[[Exchange], EffectGenerator]


class Filter(ABC):
    """One step of the chain."""

    @abstractmethod
    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Handle an exchange, usually by way of `call_next`."""

    def __repr__(self) -> str:
        return f"<{type(self).__name__}>"


class FilterChain:
    """Filters in order; the last one makes the attempt."""

    def __init__(self, filters: Sequence[Filter]) -> None:
        """Link the filters from the last to the first."""
        self._filters = tuple(filters)
        call_next: NextFilter = _end_of_chain
        for step in reversed(self._filters):
            call_next = partial(step.handle, call_next=call_next)
        self._first = call_next

    @property
    def filters(self) -> tuple[Filter, ...]:
        """The filters in order."""
        return self._filters

    def run(self, exchange: Exchange) -> EffectGenerator:
        """Return the steps of one exchange."""
        return self._first(exchange)

    def __repr__(self) -> str:
        return f"<FilterChain [{len(self._filters)}]>"


def _end_of_chain(exchange: Exchange) -> EffectGenerator:
    raise AssertionError("the last filter went past the end of the chain")
    yield


def run_effects(
    steps: EffectGenerator, perform: Callable[[Effect], Any]
) -> Response:
    """Run a chain to its answer with a blocking performer."""
    result: Any = None
    while True:
        try:
            effect = steps.send(result)
        except StopIteration as stop:
            return stop.value
        result = perform(effect)
