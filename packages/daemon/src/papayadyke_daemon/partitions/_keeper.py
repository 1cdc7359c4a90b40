"""The thread that takes partitions over and gives them up."""

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
class KeeperSettings:
    """Times of a keeper.

    Parameters
    ----------
    period_s : float, default=0.5
        Time between two looks at the plan.
    settle_s : float, default=2.0
        Time for which a partition has to have been this VM's by the plan before
        it is taken over, so that its owner can release it first.
    backoff_s : float, default=5.0
        Wait after a takeover that failed, or after another VM took a partition
        over that is this VM's by the plan; doubles each time.
    max_backoff_s : float, default=300.0
    """

    period_s: float = 0.5
    settle_s: float = 2.0
    backoff_s: float = 5.0
    max_backoff_s: float = 300.0


class PartitionKeeper:
    """Owns the partitions that the plan gives to this VM.

    Two VMs whose plans differ can not both own a partition, since the log
    fences the earlier one. The backoff keeps them from taking it from each
    other without end.

    Parameters
    ----------
    journal : JournalWriter
    plan : callable
        Returns the partitions that are this VM's.
    on_adopt : callable
        Takes the `Replay` of each partition taken over.
    on_drop : callable
        Takes the number of each partition given up.
    settings : KeeperSettings, default=KeeperSettings()
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        journal: JournalWriter,
        *,
        plan: Callable[[], frozenset[int]],
        on_adopt: Callable[[Replay], None],
        on_drop: Callable[[int], None],
        settings: KeeperSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.journal = journal
        self.plan = plan
        self.on_adopt = on_adopt
        self.on_drop = on_drop
        self.settings = settings or KeeperSettings()
        self.clock = clock
        self._owned: set[int] = set()
        # Fenced by the journal's thread since their takeover was begun.
        self._fenced_early: set[int] = set()
        self._wanted_since_s: dict[int, float] = {}
        self._backoff_s: dict[int, float] = {}
        self._not_before_s: dict[int, float] = {}
        self._stopping = threading.Event()
        journal.add_fenced_listener(self._fenced)

    def start(self) -> None:
        """Follow the plan in the background."""
        self._thread = threading.Thread(target=self._run, name="keeper", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Release every partition and end the thread."""
        self._stopping.set()
        self._thread.join()
        for partition in sorted(self._owned):
            self._release(partition)

    def list_owned(self) -> frozenset[int]:
        """Return the partitions owned, as far as this VM knows."""
        return frozenset(self._owned)

    def step(self, now: float) -> None:
        """Release and take over what the plan asks for at this time."""
        wanted = self.plan()
        for partition in sorted(self._owned - wanted):
            self._release(partition)
        for partition in list(self._wanted_since_s):
            if partition not in wanted:
                del self._wanted_since_s[partition]
        for partition in sorted(wanted - self._owned):
            since_s = self._wanted_since_s.setdefault(partition, now)
            due_s = since_s + self.settings.settle_s
            if now >= max(due_s, self._not_before_s.get(partition, 0.0)):
                self._take_over(partition)

    def _run(self) -> None:
        while not self._stopping.wait(self.settings.period_s):
            guard_step("keeper", lambda: self.step(self.clock()))

    def _take_over(self, partition: int) -> None:
        self._fenced_early.discard(partition)
        taken = self.journal.take_over(partition)
        if not isinstance(taken, Ok):
            LOG.warning(
                "keeper: partition %d not taken over: %s",
                partition,
                taken.err_value.detail,
            )
            self._back_off(partition)
            return
        self._owned.add(partition)
        if partition in self._fenced_early:
            self._owned.discard(partition)
            return
        self.on_adopt(taken.ok_value)

    def _release(self, partition: int) -> None:
        self.on_drop(partition)
        self.journal.release(partition)
        self._owned.discard(partition)
        self._backoff_s.pop(partition, None)

    def _fenced(self, partition: int) -> None:
        LOG.info("keeper: another VM took over partition %d", partition)
        self._fenced_early.add(partition)
        self._owned.discard(partition)
        self._back_off(partition)

    def _back_off(self, partition: int) -> None:
        settings = self.settings
        wait_s = self._backoff_s.get(partition, settings.backoff_s)
        self._not_before_s[partition] = self.clock() + wait_s
        self._backoff_s[partition] = min(2 * wait_s, settings.max_backoff_s)
