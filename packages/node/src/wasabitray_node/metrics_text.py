"""The text format in which scrapers read the metrics."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from wasabitray_node.metrics import Count, Labels, Metrics

QuotaCounts = Mapping[str, Mapping[str, float]]

QUANTILES = (50.0, 90.0, 99.0, 99.9)


class MetricsCollector(Collector):
    """Describes the metrics for the library that formats them."""

    def __init__(self, metrics: Metrics, quotas: QuotaCounts) -> None:
        """Initialise with the metrics and the quotas' counters."""
        self._metrics = metrics
        self._quotas = quotas

    def collect(self) -> Iterator[Metric]:
        """Return all metrics (called by the registry)."""
        yield _describe_counts(
            "wasabitray_answers",
            "Answers to callers",
            ("work", "status", "reason", "outcome"),
            self._metrics.responses,
        )
        yield _describe_counts(
            "wasabitray_attempts",
            "Attempts at targets",
            ("work",),
            self._metrics.attempts,
        )
        yield _describe_counts(
            "wasabitray_second_attempts",
            "Requests whose first attempt was overdue, by what followed",
            ("service", "result"),
            self._metrics.second_attempts,
        )
        yield self._collect_quantiles()
        yield from self._collect_logged()
        if self._quotas:
            yield self._collect_quotas()
        yield from self._collect_clients()

    def _collect_quotas(self) -> Metric:
        family = CounterMetricFamily(
            "wasabitray_quota_tokens",
            "Tokens of organisations' quotas, by what became of them",
            labels=("organisation", "kind"),
        )
        for organisation, counts in self._quotas.items():
            for kind, count in counts.items():
                family.add_metric((organisation, kind), count)
        return family

    def _collect_clients(self) -> Iterator[Metric]:
        budget = self._metrics.clients
        if budget is None:
            return
        yield GaugeMetricFamily(
            "wasabitray_client_bytes",
            "Counted bytes that clients make the process keep",
            value=budget.used_bytes,
        )
        yield GaugeMetricFamily(
            "wasabitray_client_connections",
            "Open connections of clients",
            value=budget.connections,
        )
        family = CounterMetricFamily(
            "wasabitray_clients_cut_off",
            "Clients that were cut off",
            labels=("reason",),
        )
        for reason, count in budget.cut_counts.items():
            family.add_metric((reason.value,), count)
        yield family

    def _collect_logged(self) -> Iterator[Metric]:
        lines = self._metrics.lines
        events = CounterMetricFamily(
            "wasabitray_events",
            "Decisions and changes of state, as logged",
            labels=("event", "outcome"),
        )
        for event, count in lines.event_counts.items():
            events.add_metric(event, count)
        yield events
        yield CounterMetricFamily(
            "wasabitray_log_lines_dropped",
            "Log lines left out",
            value=lines.dropped_total,
        )

    def _collect_quantiles(self) -> Metric:
        family = GaugeMetricFamily(
            "wasabitray_request_seconds",
            "Time to answer, by quantile",
            labels=("organisation", "work", "quantile"),
        )
        histograms = self._metrics.histograms
        for (organisation, work_class), histogram in histograms.items():
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                labels = (organisation, work_class, f"{quantile / 100:g}")
                family.add_metric(labels, value)
        return family


def _describe_counts(
    name: str, text: str, label_names: Labels, counts: Mapping[Labels, Count]
) -> Metric:
    family = CounterMetricFamily(name, text, labels=label_names)
    for labels, count in counts.items():
        family.add_metric(labels, count.total, created=count.created_s)
    return family


def render_metrics(
    metrics: Metrics, quotas: QuotaCounts | None = None
) -> bytes:
    """Return all metrics in the text format that scrapers read.

    Args:
        metrics: the metrics of the process.
        quotas: counters of quotas by organisation and kind.
    """
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics, quotas or {}))
    return generate_latest(registry)
