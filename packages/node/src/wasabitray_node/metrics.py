"""Counters and latency histograms by organisation and work class."""

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
OTHER_ORGANISATIONS = "(others)"
QUANTILES = (50.0, 90.0, 99.0, 99.9)

_HistogramKey = tuple[str, str]


class Metrics:
    """Counts responses and keeps a histogram per organisation and class.

    The number of histograms is limited, and an entry can serve more
    organisations: the least recently used histograms are merged into one for
    all other organisations.
    """

    def __init__(self, lines: LineWriter) -> None:
        """Create empty metrics with a separate registry.

        Args:
            lines: counts the events that are logged.
        """
        self._lines = lines
        self.registry = CollectorRegistry()
        self._responses = Counter(
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
        self._histograms: OrderedDict[_HistogramKey, HdrHistogram] = (
            OrderedDict()
        )
        self.registry.register(self)

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
        self._responses.labels(
            work_class.value, str(response.status), reason, outcome
        ).inc()
        self._attempts.labels(work_class.value).inc(response.attempts)
        histogram = self._get_histogram((organisation, work_class.value))
        microseconds = max(LOWEST_US, int(elapsed_s * 1e6))
        histogram.record_value(min(HIGHEST_US, microseconds))

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

    def collect(self) -> list[Metric]:
        """Return the metrics that have no counter (called by the registry)."""
        return [self._collect_quantiles(), *self._collect_logged()]

    def _collect_logged(self) -> list[Metric]:
        events = CounterMetricFamily(
            "wasabitray_events",
            "Decisions and changes of state, as logged",
            labels=("event", "outcome"),
        )
        for event, count in self._lines.event_counts.items():
            events.add_metric(event, count)
        dropped_lines = CounterMetricFamily(
            "wasabitray_log_lines_dropped",
            "Log lines left out",
            value=self._lines.dropped_total,
        )
        return [events, dropped_lines]

    def _collect_quantiles(self) -> Metric:
        family = GaugeMetricFamily(
            "wasabitray_request_seconds",
            "Time to answer, by quantile",
            labels=("organisation", "work", "quantile"),
        )
        for (organisation, work_class), histogram in self._histograms.items():
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                labels = (organisation, work_class, f"{quantile / 100:g}")
                family.add_metric(labels, value)
        return family

    def render(self) -> bytes:
        """Return all metrics in the text format that scrapers read."""
        return generate_latest(self.registry)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
