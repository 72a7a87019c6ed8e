"""Counters and latency histograms by organisation and work class."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from wasabitray_core.requests import Response
from wasabitray_core.states import SecondAttemptResult, WorkClass
from wasabitray_node.client_budget import ClientBudget
from wasabitray_node.logs import LineWriter

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MAX_HISTOGRAMS = 1_024
OTHER_ORGANISATIONS = "(others)"

Labels = tuple[str, ...]
_HistogramKey = tuple[str, str]


class Count(Struct):
    """A counter of the events with the same labels.

    Attributes:
        created_s: Unix seconds of the first event.
        total: the count since then.
    """

    created_s: float
    total: int = 0


class Metrics:
    """Counts responses and keeps a histogram per organisation and class.

    The number of histograms is limited, and an entry can serve more
    organisations: the least recently used histograms are merged into one for
    all other organisations.

    Attributes:
        clients: what clients make the process keep; None in a process without
            listeners.
    """

    def __init__(self, lines: LineWriter) -> None:
        """Create empty metrics.

        Args:
            lines: counts the events that are logged.
        """
        self.clients: ClientBudget | None = None
        self._lines = lines
        self._responses: dict[Labels, Count] = {}
        self._attempts: dict[Labels, Count] = {}
        self._second_attempts: dict[Labels, Count] = {}
        self._histograms: OrderedDict[_HistogramKey, HdrHistogram] = (
            OrderedDict()
        )

    @property
    def lines(self) -> LineWriter:
        """The writer that counts the events that are logged."""
        return self._lines

    @property
    def responses(self) -> Mapping[Labels, Count]:
        """Responses by work class, status, reason and outcome."""
        return self._responses

    @property
    def attempts(self) -> Mapping[Labels, Count]:
        """Attempts by work class."""
        return self._attempts

    @property
    def second_attempts(self) -> Mapping[Labels, Count]:
        """Requests that were overdue, by service and what followed.

        The services are those of the configuration, so their number is
        bounded.
        """
        return self._second_attempts

    @property
    def histograms(self) -> Mapping[_HistogramKey, HdrHistogram]:
        """Histograms of microseconds by organisation and work class."""
        return self._histograms

    def record(
        self,
        organisation: str,
        work_class: WorkClass,
        response: Response,
        elapsed_s: float,
    ) -> None:
        """Count a response and the time that it took."""
        reason = response.refusal.value if response.refusal else ""
        outcome = response.outcome.value if response.outcome else ""
        work = work_class.value
        labels = (work, str(response.status), reason, outcome)
        _get_count(self._responses, labels).total += 1
        _get_count(self._attempts, (work,)).total += response.attempts
        histogram = self._get_histogram((organisation, work))
        microseconds = max(LOWEST_US, int(elapsed_s * 1e6))
        histogram.record_value(min(HIGHEST_US, microseconds))

    def record_second_attempt(
        self, service: str, result: SecondAttemptResult
    ) -> None:
        """Count a request whose first attempt was overdue."""
        labels = (service, result.value)
        _get_count(self._second_attempts, labels).total += 1

    def _get_histogram(self, key: _HistogramKey) -> HdrHistogram:
        histogram = self._histograms.get(key)
        if histogram is not None:
            self._histograms.move_to_end(key)
            return histogram
        if len(self._histograms) >= MAX_HISTOGRAMS:
            (_, work_class), oldest = self._histograms.popitem(last=False)
            self._get_others_histogram(work_class).add(oldest)
        histogram = self._histograms[key] = _new_histogram()
        return histogram

    def _get_others_histogram(self, work_class: str) -> HdrHistogram:
        key = (OTHER_ORGANISATIONS, work_class)
        if key not in self._histograms:
            self._histograms[key] = _new_histogram()
        self._histograms.move_to_end(key)
        return self._histograms[key]

    def build_summary(self) -> list[dict[str, Any]]:
        """Return percentiles in milliseconds for each histogram."""
        return [
            {
                "organisation": organisation,
                "work": work_class,
                "count": histogram.get_total_count(),
                "p50_ms": histogram.get_value_at_percentile(50.0) / 1e3,
                "p99_ms": histogram.get_value_at_percentile(99.0) / 1e3,
                "max_ms": histogram.get_max_value() / 1e3,
            }
            for (
                organisation,
                work_class,
            ), histogram in self._histograms.items()
        ]


def _get_count(counts: dict[Labels, Count], labels: Labels) -> Count:
    count = counts.get(labels)
    if count is None:
        count = counts[labels] = Count(time.time())
    return count


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
