"""Counters and latency histograms for each organisation and class."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from wasabitray_core.requests import Response
from wasabitray_core.states import WorkClass
from wasabitray_node.logs import LineWriter

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MAX_HISTOGRAMS = 1_024
OTHERS = "(others)"
QUANTILES = (50.0, 90.0, 99.0, 99.9)

_Key = tuple[str, str]


class Metrics:
    """Counts answers and keeps one histogram per organisation and class.

    A node can serve more organisations than fit as histograms; the least
    recently used ones are merged into one for all others.
    """

    def __init__(self, lines: LineWriter) -> None:
        """Start empty, with a registry of its own.

        Args:
            lines: counts the events that are logged.
        """
        self._lines = lines
        self.registry = CollectorRegistry()
        self._answers = Counter(
            "wasabitray_answers",
            "Answers to callers",
            ("work", "status", "reason", "outcome"),
            registry=self.registry,
        )
        self._attempts = Counter(
            "wasabitray_attempts",
            "Attempts at targets",
            ("work",),
            registry=self.registry,
        )
        self._histograms: OrderedDict[_Key, HdrHistogram] = OrderedDict()
        self.registry.register(self)

    def record(
        self,
        organisation: str,
        work: WorkClass,
        answer: Response,
        elapsed_s: float,
    ) -> None:
        """Count an answer and its time."""
        reason = answer.refusal.value if answer.refusal else ""
        outcome = answer.outcome.value if answer.outcome else ""
        self._answers.labels(
            work.value, str(answer.status), reason, outcome
        ).inc()
        self._attempts.labels(work.value).inc(answer.attempts)
        histogram = self._histogram((organisation, work.value))
        microseconds = max(LOWEST_US, int(elapsed_s * 1e6))
        histogram.record_value(min(HIGHEST_US, microseconds))

    def _histogram(self, key: _Key) -> HdrHistogram:
        histogram = self._histograms.get(key)
        if histogram is not None:
            self._histograms.move_to_end(key)
            return histogram
        if len(self._histograms) >= MAX_HISTOGRAMS:
            (_, work), oldest = self._histograms.popitem(last=False)
            self._others(work).add(oldest)
        histogram = self._histograms[key] = _new_histogram()
        return histogram

    def _others(self, work: str) -> HdrHistogram:
        key = (OTHERS, work)
        if key not in self._histograms:
            self._histograms[key] = _new_histogram()
        self._histograms.move_to_end(key)
        return self._histograms[key]

    def summary(self) -> list[dict[str, Any]]:
        """Return percentiles in milliseconds by organisation and class."""
        return [
            {
                "organisation": organisation,
                "work": work,
                "count": histogram.get_total_count(),
                "p50_ms": histogram.get_value_at_percentile(50.0) / 1e3,
                "p99_ms": histogram.get_value_at_percentile(99.0) / 1e3,
                "max_ms": histogram.get_max_value() / 1e3,
            }
            for (organisation, work), histogram in self._histograms.items()
        ]

    def collect(self) -> list[Metric]:
        """Return what is kept elsewhere for the registry (called by it)."""
        return [self._quantiles(), *self._logged()]

    def _logged(self) -> list[Metric]:
        events = CounterMetricFamily(
            "wasabitray_events",
            "Decisions and changes of state, as logged",
            labels=("event", "outcome"),
        )
        for event, count in self._lines.events.items():
            events.add_metric(event, count)
        lost = CounterMetricFamily(
            "wasabitray_log_lines_dropped",
            "Log lines left out",
            value=self._lines.lost,
        )
        return [events, lost]

    def _quantiles(self) -> Metric:
        family = GaugeMetricFamily(
            "wasabitray_request_seconds",
            "Time to answer, by quantile",
            labels=("organisation", "work", "quantile"),
        )
        for (organisation, work), histogram in self._histograms.items():
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                labels = (organisation, work, f"{quantile / 100:g}")
                family.add_metric(labels, value)
        return family

    def render(self) -> bytes:
        """Return all metrics in the text format that scrapers read."""
        return generate_latest(self.registry)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
