"""The thread that runs the log writer."""

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

DRAIN_POLL_S = 0.02


class JournalWriter:
    """Appends to the logs of the partitions that this VM owns.

    Parameters
    ----------
    store : Store
        Used by this thread alone.
    settings : JournalSettings
    clock : callable, default=time.monotonic

    Notes
    -----
    Callbacks run on the journal's thread, so they only post to a mailbox.
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
        self._writer = LogWriter(store, settings, self._fenced, clock)
        self._mailbox = Mailbox("journal", lambda now: self._writer.step(), clock=clock)

    def add_fenced_listener(self, listener: Callable[[int], None]) -> None:
        """Have a partition told that another VM took over; before `start`."""
        self._on_fenced.append(listener)

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self, wait_s: float = 5.0) -> None:
        """End the thread; what is still queued is settled as not appended.

        To be called before the services stop, so that they can tell of it.
        """
        self._mailbox.post(self._drop_all)
        self._mailbox.stop(wait_s)

    def append(
        self,
        partition: int,
        entries: Sequence[Entry],
        on_settled: OnSettled,
        *,
        give_up_s: float | None = None,
    ) -> None:
        """Append entries, all or none.

        Parameters
        ----------
        partition : int
        entries : sequence of Entry
        on_settled : callable
            Called on the journal's thread with the result and the log time.
        give_up_s : float or None
            Monotonic time past which they are dropped where nothing was written.
        """
        batch = tuple(entries)
        self._mailbox.post(
            lambda: self._writer.append(
                partition, batch, on_settled, give_up_s=give_up_s
            )
        )

    def set_vms(self, vms: int) -> None:
        """Take in the number of VMs that share the store."""
        self._mailbox.post(lambda: self._writer.set_vms(vms))

    def take_over(
        self, partition: int, *, wait_s: float = 30.0
    ) -> Result[Replay, StoreError]:
        """Own a partition and return its log; waits for it."""
        late = StoreError(ErrorKind.UNKNOWN, "the takeover takes too long")
        taken = self._ask(lambda: self._writer.take_over(partition), wait_s)
        if taken is not None:
            return taken
        # It may still succeed, and nobody would serve the partition.
        self._mailbox.post(lambda: self._writer.drop(partition))
        return Err(late)

    def release(self, partition: int, *, wait_s: float = 5.0) -> bool:
        """Append what is queued, then give the partition up.

        Returns
        -------
        drained : bool
            Whether everything was appended.
        """
        give_up_s = self._clock() + wait_s
        while self._clock() < give_up_s:
            if self._ask(lambda: self._writer.has_pending(partition), wait_s) is False:
                break
            time.sleep(DRAIN_POLL_S)
        drained = self._ask(lambda: self._drop(partition), wait_s)
        return drained is True

    def owned(self, *, wait_s: float = 5.0) -> tuple[int, ...]:
        """Return the partitions that this VM owns."""
        return self._ask(lambda: self._writer.partitions, wait_s) or ()

    def _ask(self, question: Callable[[], T], wait_s: float) -> T | None:
        replies: queue.SimpleQueue[T] = queue.SimpleQueue()
        self._mailbox.post(lambda: replies.put(question()))
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

    def _fenced(self, partition: int) -> None:
        for listener in self._on_fenced:
            listener(partition)
