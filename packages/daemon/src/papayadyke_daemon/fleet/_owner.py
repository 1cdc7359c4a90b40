"""The thread that owns the upstreams which the plan gives to this VM."""

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
class OwnerSettings:
    """Times of an owner.

    Parameters
    ----------
    period_s : float, default=0.5
        Time between two looks at what is known.
    first_wait_s : float, default=4.0
        Time after the start for which a zone record is waited for. Past it the
        VM goes on as if the record were older than any other: upstreams that
        have seen a later one refuse it.
    reach : ReachabilitySettings, default=ReachabilitySettings()
    """

    period_s: float = 0.5
    first_wait_s: float = 4.0
    reach: ReachabilitySettings = field(default_factory=ReachabilitySettings)


class FleetOwner:
    """Follows the plan of ownership.

    Parameters
    ----------
    vm : str
    fleet : Fleet
    snapshot : callable
        Returns the `Snapshot` of the membership, or None.
    record : callable
        Returns the newest `ZoneRecord` known, or None.
    settings : OwnerSettings, default=OwnerSettings()
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        *,
        vm: str,
        fleet: Fleet,
        snapshot: Callable[[], Snapshot | None],
        record: Callable[[], ZoneRecord | None],
        settings: OwnerSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.vm = vm
        self.fleet = fleet
        self.snapshot = snapshot
        self.record = record
        self.settings = settings or OwnerSettings()
        self.clock = clock
        self._started_s = clock()
        self._planner = Planner()
        self._plan: OwnershipPlan | None = None
        self._reach = ReachabilityTracker(settings=self.settings.reach)
        self._unreached: frozenset[str] = frozenset()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Follow the plan in the background."""
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread and release every upstream."""
        self._stopping.set()
        self._thread.join()
        self.fleet.stop()

    def list_unreached(self) -> frozenset[str]:
        """Return the upstreams that this VM can't reach; any thread may call it."""
        return self._unreached

    def step(self, now: float) -> None:
        """Work the plan out anew, and follow it where it has changed."""
        snapshot = self.snapshot()
        record = self._find_record(now)
        if snapshot is None or record is None:
            return
        if snapshot.is_superseded:
            # Another process runs as this VM, and is to own what is owned here.
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
            LOG.info("owner: %d upstreams at epoch %d", len(owned), plan.epoch)
            self.fleet.own(owned, epoch=plan.epoch)

    def look_for_unreached(self, now: float) -> None:
        """Note upstreams that don't answer, and probe those noted before."""
        self._reach.update(self.fleet.list_unanswered(), now)
        upstream = self._reach.next_due_probe(now)
        if upstream is not None and self.fleet.probe(upstream):
            LOG.info("owner: %s answers again", upstream)
            self._reach.record_probe_success(upstream)
        self._unreached = self._reach.unreached()

    def _run(self) -> None:
        while not self._stopping.wait(self.settings.period_s):
            guard_step("owner", lambda: self.step(self.clock()))
            guard_step("owner", lambda: self.look_for_unreached(self.clock()))

    def _find_record(self, now: float) -> ZoneRecord | None:
        record = self.record()
        if record is None and now - self._started_s >= self.settings.first_wait_s:
            return ZoneRecord(0, ())
        return record
