"""Appends to the log that report their results on the job service's thread."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from papayadyke_core.journal import AppendResult, Entry
from papayadyke_daemon.jobs._table import JobTable, job_partition
from papayadyke_daemon.journal import JournalWriter, OnSettled
from papayadyke_daemon.mailbox import Mailbox


class Appender:
    """Append entries to the journal and record proofs of ownership.

    Parameters
    ----------
    journal : JournalWriter
    mailbox : Mailbox
        Mailbox of the service.
    table : JobTable
        Records each proof of ownership.
    expiry_s : float
        Seconds after which entries that may expire are dropped.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        journal: JournalWriter,
        mailbox: Mailbox,
        table: JobTable,
        expiry_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._journal = journal
        self._mailbox = mailbox
        self._table = table
        self._expiry_s = expiry_s
        self._clock = clock

    def append_for(
        self,
        job_id: str,
        entries: Sequence[Entry],
        on_settled: OnSettled,
        *,
        may_expire: bool,
    ) -> None:
        """Append entries to the partition of a job."""
        partition = job_partition(job_id)
        if partition is None:
            on_settled(AppendResult.DROPPED, 0.0)
            return
        self.append(partition, entries, on_settled, may_expire=may_expire)

    def append(
        self,
        partition: int,
        entries: Sequence[Entry],
        on_settled: OnSettled,
        *,
        may_expire: bool,
    ) -> None:
        """Append entries to a partition.

        Parameters
        ----------
        partition : int
        entries : sequence of Entry
            An empty sequence only proves the ownership.
        on_settled : callable
            Called on the service's thread with the result and the log time.
        may_expire : bool
            Whether the entries are dropped if they were not written in time.
        """

        def settled(result: AppendResult, at_s: float) -> None:
            partition_jobs = self._table.partitions.get(partition)
            if result is AppendResult.DURABLE and partition_jobs is not None:
                partition_jobs.proved_s = max(partition_jobs.proved_s, at_s)
            on_settled(result, at_s)

        self._journal.append(
            partition,
            entries,
            lambda result, at_s: self._mailbox.post(lambda: settled(result, at_s)),
            expires_at_s=self._clock() + self._expiry_s if may_expire else None,
        )
