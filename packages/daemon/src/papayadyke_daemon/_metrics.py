"""Metrics by statsd; docs/METRICS.md names each."""

from __future__ import annotations

import statsd

from papayadyke_daemon.serving import RequestRecord
from papayadyke_daemon.settings import StatsdSettings

MS_PER_S = 1000.0


class Metrics:
    """Sends counters and timings by UDP, or nothing without an address."""

    def __init__(self, settings: StatsdSettings | None) -> None:
        self.settings = settings
        self._client = None if settings is None else _connect(settings)

    def record(self, record: RequestRecord) -> None:
        """Count one finished request."""
        if self._client is None:
            return
        name = f"requests.{record.workload}"
        if record.refusal is None:
            self._client.incr(f"{name}.answered")
            self._client.timing(f"{name}.wait_ms", record.wait_s * MS_PER_S)
            self._client.timing(f"{name}.run_ms", record.run_s * MS_PER_S)
            return
        self._client.incr(f"{name}.{record.refusal.verdict}.{record.refusal.reason}")

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)


def _connect(settings: StatsdSettings) -> statsd.StatsClient:
    address = settings.address
    return statsd.StatsClient(address.host, address.port, prefix=settings.prefix)
