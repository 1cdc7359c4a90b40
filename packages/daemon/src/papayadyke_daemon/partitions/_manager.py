"""The thread that takes over and releases partitions according to the plan."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from papayadyke_daemon.guard import guard_step
from papayadyke_daemon.journal import JournalWriter, Replay

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PartitionManagerSettings:
    """Intervals of a partition manager.

    Parameters
    ----------
    period_s : float, default=0.5
        Seconds between two checks of the plan.
    settle_s : float, default=2.0
        Seconds for which the plan must have assigned a partition to this VM before
        it is taken over, so that its previous owner can release it first.
    backoff_s : float, default=5.0
        Seconds to wait after a failed takeover, or after another VM took over a
        partition that the plan assigns to this VM; doubles each time.
    max_backoff_s : float, default=300.0
        Upper limit of the backoff in seconds.
    """

    period_s: float = 0.5
    settle_s: float = 2.0
    backoff_s: float = 5.0
    max_backoff_s: float = 300.0


class PartitionManager:
    """Take over and release partitions as the plan assigns them to this VM.

    Two VMs whose plans differ cannot both own a partition, since the log fences
    the earlier owner. The backoff limits how often such VMs take over a partition
    from each other.

    Parameters
    ----------
    journal : JournalWriter
    plan : callable
        Returns the partitions that are assigned to this VM.
    on_adopt : callable
        Called with the `Replay` of each partition taken over.
    on_drop : callable
        Called with the number of each partition before its release.
    settings : PartitionManagerSettings, default=PartitionManagerSettings()
    clock : callable, default=time.monotonic
        Returns monotonic seconds.
    """

    def __init__(
        self,
        journal: JournalWriter,
        *,
        plan: Callable[[], frozenset[int]],
        on_adopt: Callable[[Replay], None],
        on_drop: Callable[[int], None],
        settings: PartitionManagerSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.journal = journal
        self.plan = plan
        self.on_adopt = on_adopt
        self.on_drop = on_drop
        self.settings = settings or PartitionManagerSettings()
        self.clock = clock
        self._owned: set[int] = set()
        # Partitions that the journal reported as fenced since their takeover began.
        self._fenced_during_takeover: set[int] = set()
        self._assigned_since_s: dict[int, float] = {}
        self._backoff_s: dict[int, float] = {}
        self._next_takeover_s: dict[int, float] = {}
        self._stopping = threading.Event()
        journal.add_fenced_listener(self._handle_fenced)

    def start(self) -> None:
        """Start the thread that follows the plan."""
        self._thread = threading.Thread(target=self._run, name="keeper", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, then release every partition."""
        self._stopping.set()
        self._thread.join()
        for partition in sorted(self._owned):
            self._release(partition)

    def list_owned(self) -> frozenset[int]:
        """Return the partitions that this VM owns, as far as it has noticed."""
        return frozenset(self._owned)

    def step(self, now: float) -> None:
        """Release and take over partitions according to the current plan."""
        assigned = self.plan()
        for partition in sorted(self._owned - assigned):
            self._release(partition)
        for partition in list(self._assigned_since_s):
            if partition not in assigned:
                del self._assigned_since_s[partition]
        for partition in sorted(assigned - self._owned):
            since_s = self._assigned_since_s.setdefault(partition, now)
            settled_s = since_s + self.settings.settle_s
            if now >= max(settled_s, self._next_takeover_s.get(partition, 0.0)):
                self._take_over(partition)

    def _run(self) -> None:
        while not self._stopping.wait(self.settings.period_s):
            guard_step("keeper", lambda: self.step(self.clock()))

    def _take_over(self, partition: int) -> None:
        self._fenced_during_takeover.discard(partition)
        result = self.journal.take_over(partition)
        if not isinstance(result, Ok):
            LOG.warning(
                "keeper: partition %d not taken over: %s",
                partition,
                result.err_value.detail,
            )
            self._back_off(partition)
            return
        self._owned.add(partition)
        if partition in self._fenced_during_takeover:
            self._owned.discard(partition)
            return
        self.on_adopt(result.ok_value)

    def _release(self, partition: int) -> None:
        self.on_drop(partition)
        self.journal.release(partition)
        self._owned.discard(partition)
        self._backoff_s.pop(partition, None)

    def _handle_fenced(self, partition: int) -> None:
        LOG.info("keeper: partition %d was taken over by another VM", partition)
        self._fenced_during_takeover.add(partition)
        self._owned.discard(partition)
        self._back_off(partition)

    def _back_off(self, partition: int) -> None:
        settings = self.settings
        wait_s = self._backoff_s.get(partition, settings.backoff_s)
        self._next_takeover_s[partition] = self.clock() + wait_s
        self._backoff_s[partition] = min(2 * wait_s, settings.max_backoff_s)
