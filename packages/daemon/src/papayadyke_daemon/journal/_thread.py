"""The journal writer, which runs the log writer on its own thread."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable, Sequence
from typing import TypeVar

from result import Err, Result

from papayadyke_clients.store import ErrorKind, Store, StoreError
from papayadyke_core.journal import Entry
from papayadyke_daemon.journal._types import JournalSettings, Replay
from papayadyke_daemon.journal._writer import LogWriter, OnSettled
from papayadyke_daemon.mailbox import Mailbox

T = TypeVar("T")

DRAIN_POLL_INTERVAL_S = 0.02


class JournalWriter:
    """Append to the logs of the partitions that this VM owns.

    Parameters
    ----------
    store : Store
        Used only by the thread of the journal.
    settings : JournalSettings
    clock : callable, default=time.monotonic
        Returns monotonic seconds.

    Notes
    -----
    Callbacks run on the journal's thread and must not block it; they should only
    post to a mailbox.
    """

    def __init__(
        self,
        store: Store,
        settings: JournalSettings,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._on_fenced: list[Callable[[int], None]] = []
        self._writer = LogWriter(store, settings, self._notify_fenced, clock)
        self._mailbox = Mailbox("journal", lambda now: self._writer.step(), clock=clock)

    def add_fenced_listener(self, listener: Callable[[int], None]) -> None:
        """Register a callback for fenced partitions; call it before `start`."""
        self._on_fenced.append(listener)

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self, wait_s: float = 5.0) -> None:
        """Stop the thread and drop the entries that are still queued.

        Call it before the services stop, so that they can still report the drops.
        """
        self._mailbox.post(self._drop_all)
        self._mailbox.stop(wait_s)

    def append(
        self,
        partition: int,
        entries: Sequence[Entry],
        on_settled: OnSettled,
        *,
        expires_at_s: float | None = None,
    ) -> None:
        """Append entries, all or none.

        Parameters
        ----------
        partition : int
        entries : sequence of Entry
        on_settled : callable
            Called on the journal's thread with the result and the log time in
            seconds; may be called with `UNKNOWN` first and with the final result
            later.
        expires_at_s : float or None
            Monotonic time in seconds after which the entries are dropped if they
            were not written; None keeps them while the partition is owned.
        """
        batch = tuple(entries)
        self._mailbox.post(
            lambda: self._writer.append(
                partition, batch, on_settled, expires_at_s=expires_at_s
            )
        )

    def set_vm_count(self, vm_count: int) -> None:
        """Set the number of VMs that share the store and its write rate."""
        self._mailbox.post(lambda: self._writer.set_vm_count(vm_count))

    def take_over(
        self, partition: int, *, wait_s: float = 30.0
    ) -> Result[Replay, StoreError]:
        """Take ownership of a partition and wait for the replay of its log.

        Parameters
        ----------
        partition : int
        wait_s : float, default=30.0
            Seconds after which the takeover is given up.

        Returns
        -------
        result : Result of Replay or StoreError
        """
        timeout_error = StoreError(
            ErrorKind.UNKNOWN, "the takeover did not end in time"
        )
        result = self._call(lambda: self._writer.take_over(partition), wait_s)
        if result is not None:
            return result
        # The takeover may still succeed, and nobody would serve the partition.
        self._mailbox.post(lambda: self._writer.drop(partition))
        return Err(timeout_error)

    def release(self, partition: int, *, wait_s: float = 5.0) -> bool:
        """Append the queued entries, then give up the partition.

        Parameters
        ----------
        partition : int
        wait_s : float, default=5.0
            Seconds after which entries that are still queued are dropped.

        Returns
        -------
        drained : bool
            Whether all queued entries were appended.
        """
        drain_until_s = self._clock() + wait_s
        while self._clock() < drain_until_s:
            if self._call(lambda: self._writer.has_pending(partition), wait_s) is False:
                break
            time.sleep(DRAIN_POLL_INTERVAL_S)
        drained = self._call(lambda: self._drop(partition), wait_s)
        return drained is True

    def owned(self, *, wait_s: float = 5.0) -> tuple[int, ...]:
        """Return the partitions that this VM owns."""
        return self._call(lambda: self._writer.partitions, wait_s) or ()

    def _call(self, query: Callable[[], T], wait_s: float) -> T | None:
        replies: queue.SimpleQueue[T] = queue.SimpleQueue()
        self._mailbox.post(lambda: replies.put(query()))
        try:
            return replies.get(timeout=wait_s)
        except queue.Empty:
            return None

    def _drop(self, partition: int) -> bool:
        drained = not self._writer.has_pending(partition)
        self._writer.drop(partition)
        return drained

    def _drop_all(self) -> None:
        for partition in self._writer.partitions:
            self._writer.drop(partition)

    def _notify_fenced(self, partition: int) -> None:
        for listener in self._on_fenced:
            listener(partition)
