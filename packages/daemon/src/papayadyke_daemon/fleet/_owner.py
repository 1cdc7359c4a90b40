"""Thread that holds the upstreams which the ownership plan assigns to this VM."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from papayadyke_core.membership import Snapshot
from papayadyke_core.ownership import (
    OwnershipPlan,
    Planner,
    ReachabilitySettings,
    ReachabilityTracker,
    ZoneRecord,
    available_owners,
    unreached_upstreams,
)
from papayadyke_daemon.fleet._fleet import Fleet
from papayadyke_daemon.guard import guard_step

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FleetOwnerSettings:
    """Settings of a `FleetOwner`.

    Parameters
    ----------
    period_s : float, default=0.5
        Interval, in seconds, at which the plan is computed again.
    record_timeout_s : float, default=4.0
        Time in seconds after the start for which the VM waits for a zone record.
        After it, the VM uses a record of epoch 0, which is older than any other:
        upstreams that have seen a later epoch refuse its sessions.
    reachability : ReachabilitySettings, default=ReachabilitySettings()
        When an upstream counts as unreached, and when it is probed.
    """

    period_s: float = 0.5
    record_timeout_s: float = 4.0
    reachability: ReachabilitySettings = field(default_factory=ReachabilitySettings)


class FleetOwner:
    """Hold sessions at the upstreams that the ownership plan assigns to this VM.

    Parameters
    ----------
    vm : str
        Name of this VM.
    fleet : Fleet
    snapshot : callable
        Returns the `Snapshot` of the membership, or None if there is none yet.
    record : callable
        Returns the newest `ZoneRecord` received, or None if there is none yet.
    settings : FleetOwnerSettings, default=FleetOwnerSettings()
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        *,
        vm: str,
        fleet: Fleet,
        snapshot: Callable[[], Snapshot | None],
        record: Callable[[], ZoneRecord | None],
        settings: FleetOwnerSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.vm = vm
        self.fleet = fleet
        self.snapshot = snapshot
        self.record = record
        self.settings = settings or FleetOwnerSettings()
        self.clock = clock
        self._started_s = clock()
        self._planner = Planner()
        self._plan: OwnershipPlan | None = None
        self._reachability = ReachabilityTracker(settings=self.settings.reachability)
        self._unreached: frozenset[str] = frozenset()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that applies the plan."""
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread and release every upstream."""
        self._stopping.set()
        self._thread.join()
        self.fleet.stop()

    def list_unreached(self) -> frozenset[str]:
        """Return the assigned upstreams that this VM cannot reach; thread-safe."""
        return self._unreached

    def step(self, now: float) -> None:
        """Compute the plan again, and apply it if it has changed."""
        snapshot = self.snapshot()
        record = self._read_record(now)
        if snapshot is None or record is None:
            return
        if snapshot.is_superseded:
            # A newer process runs as this VM and has to own these upstreams.
            self.fleet.own((), epoch=record.epoch)
            return
        if not snapshot.is_settled:
            return
        plan = self._planner.plan(
            record,
            upstreams=self.fleet.list_names(),
            available=available_owners(snapshot),
            unreached=unreached_upstreams(snapshot),
        )
        if plan != self._plan:
            self._plan = plan
            owned = plan.owned_by(self.vm)
            LOG.info("owner: %d upstreams assigned at epoch %d", len(owned), plan.epoch)
            self.fleet.own(owned, epoch=plan.epoch)

    def update_unreached(self, now: float) -> None:
        """Record upstreams that do not answer, and probe one that is due."""
        self._reachability.update(self.fleet.list_unanswered(), now)
        upstream = self._reachability.next_due_probe(now)
        if upstream is not None and self.fleet.probe(upstream):
            LOG.info("owner: upstream %s answers again", upstream)
            self._reachability.record_probe_success(upstream)
        self._unreached = self._reachability.unreached()

    def _run(self) -> None:
        while not self._stopping.wait(self.settings.period_s):
            guard_step("owner", lambda: self.step(self.clock()))
            guard_step("owner", lambda: self.update_unreached(self.clock()))

    def _read_record(self, now: float) -> ZoneRecord | None:
        record = self.record()
        if record is None and now - self._started_s >= self.settings.record_timeout_s:
            return ZoneRecord(0, ())
        return record
