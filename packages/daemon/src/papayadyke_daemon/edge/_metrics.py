"""Collect counters, gauges and histograms, and render them for Prometheus."""

from __future__ import annotations

import threading
from bisect import bisect_left
from dataclasses import dataclass, field

CONTENT_TYPE = "text/plain; version=0.0.4"
# Upper bounds in seconds: calls take milliseconds, waits can take many seconds.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)

Labels = tuple[tuple[str, str], ...]


@dataclass(slots=True)
class _Histogram:
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0


class EdgeMetrics:
    """Counters, gauges and histograms; safe to update from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter."""
        key = name, tuple(sorted(labels.items()))
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the current value of a gauge."""
        with self._lock:
            self._gauges[name, tuple(sorted(labels.items()))] = value

    def remove_gauge(self, name: str, **labels: str) -> None:
        """Remove a gauge, if it was set."""
        with self._lock:
            self._gauges.pop((name, tuple(sorted(labels.items()))), None)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        key = name, tuple(sorted(labels.items()))
        with self._lock:
            histogram = self._histograms.setdefault(key, _Histogram())
            histogram.counts[bisect_left(BUCKETS_S, seconds)] += 1
            histogram.total_s += seconds

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            lines = [
                f"{name}_total{_format_labels(labels)} {value}"
                for (name, labels), value in sorted(self._counters.items())
            ]
            lines += [
                f"{name}{_format_labels(labels)} {value}"
                for (name, labels), value in sorted(self._gauges.items())
            ]
            for (name, labels), histogram in sorted(
                self._histograms.items(), key=lambda item: item[0]
            ):
                lines += _format_histogram(name, labels, histogram)
        return ("\n".join(lines) + "\n").encode()


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"


def _format_histogram(name: str, labels: Labels, histogram: _Histogram) -> list[str]:
    lines = []
    cumulative_count = 0
    for bound, count in zip((*BUCKETS_S, "+Inf"), histogram.counts, strict=True):
        cumulative_count += count
        bucket_labels = _format_labels((*labels, ("le", str(bound))))
        lines.append(f"{name}_bucket{bucket_labels} {cumulative_count}")
    lines.append(f"{name}_sum{_format_labels(labels)} {histogram.total_s:.6f}")
    lines.append(f"{name}_count{_format_labels(labels)} {cumulative_count}")
    return lines


METRICS = EdgeMetrics()
