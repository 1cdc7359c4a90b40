"""Appends to the log whose results come back on the job service's thread."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from papayadyke_core.journal import AppendResult, Entry
from papayadyke_daemon.jobs._book import JobBook, job_partition
from papayadyke_daemon.journal import JournalWriter, OnSettled
from papayadyke_daemon.mailbox import Mailbox


class Appender:
    """Hands entries to the journal.

    Parameters
    ----------
    journal : JournalWriter
    mailbox : Mailbox
        Of the service.
    book : JobBook
        Learns of each proof of ownership.
    wait_s : float
        After which entries that give up are dropped.
    clock : callable
    """

    def __init__(
        self,
        journal: JournalWriter,
        mailbox: Mailbox,
        book: JobBook,
        wait_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._journal = journal
        self._mailbox = mailbox
        self._book = book
        self._wait_s = wait_s
        self._clock = clock

    def append_for(
        self,
        job_id: str,
        entries: Sequence[Entry],
        on_settled: OnSettled,
        *,
        gives_up: bool,
    ) -> None:
        """Append entries to the partition of a job."""
        partition = job_partition(job_id)
        if partition is None:
            on_settled(AppendResult.DROPPED, 0.0)
            return
        self.append(partition, entries, on_settled, gives_up=gives_up)

    def append(
        self,
        partition: int,
        entries: Sequence[Entry],
        on_settled: OnSettled,
        *,
        gives_up: bool,
    ) -> None:
        """Append entries to a partition.

        Parameters
        ----------
        partition : int
        entries : sequence of Entry
            None at all prove the ownership.
        on_settled : callable
            Runs on the service's thread.
        gives_up : bool
            Whether they are dropped where nothing was written for some time.
        """

        def settled(result: AppendResult, at_s: float) -> None:
            part = self._book.partitions.get(partition)
            if result is AppendResult.DURABLE and part is not None:
                part.proved_s = max(part.proved_s, at_s)
            on_settled(result, at_s)

        self._journal.append(
            partition,
            entries,
            lambda result, at_s: self._mailbox.post(lambda: settled(result, at_s)),
            give_up_s=self._clock() + self._wait_s if gives_up else None,
        )
