"""Metrics by statsd; docs/METRICS.md names each."""

from __future__ import annotations

from dataclasses import asdict

import statsd

from papayadyke_core.scheduling import LoadSummary
from papayadyke_daemon.peers import PeerStats
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

    def tell_gauges(
        self, load: LoadSummary | None, peers: PeerStats, *, revision: int
    ) -> None:
        """Tell the state of this VM at one moment."""
        if self._client is None:
            return
        gauges = {f"peers.{name}": value for name, value in asdict(peers).items()}
        gauges["config.revision"] = revision
        if load is not None:
            gauges["load.free_slots"] = load.free_slots
            gauges["load.slots"] = load.slots
            gauges["load.upstreams"] = load.upstreams
            gauges["load.queued"] = sum(item.queued for item in load.workloads)
            gauges["load.running"] = sum(item.running for item in load.workloads)
        for name, value in gauges.items():
            self._client.gauge(name, value)


def _connect(settings: StatsdSettings) -> statsd.StatsClient:
    address = settings.address
    return statsd.StatsClient(address.host, address.port, prefix=settings.prefix)
