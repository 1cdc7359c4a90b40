"""Remove the records of old jobs and cancellations from the store, in the background.

Each removal is on the condition that this VM is still the decider.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterator, Sequence
from typing import TypeVar

from result import Err

from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    DECIDER_KEY,
    PROGRESS_PREFIX,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._ports import RecordStore

LOG = logging.getLogger(__name__)
T = TypeVar("T")

# Jobs per removal. Each is one entry, and the condition is one more; a transaction of
# the store holds at most 32 entries.
GARBAGE_BATCH_JOBS = 30
GARBAGE_BATCH_CANCELS = 15  # each is a condition and a removal


class Housekeeper:
    """Remove old records, one list of each kind at a time.

    Parameters
    ----------
    store : RecordStore
    token : int
        Fencing token of the decider, and revision of its key.
    """

    def __init__(self, store: RecordStore, *, token: int) -> None:
        self._store = store
        self._token = token
        self._active = threading.Event()

    @property
    def is_busy(self) -> bool:
        """Whether a removal is in progress."""
        return self._active.is_set()

    def remove(
        self, job_ids: Sequence[str], cancels: Sequence[tuple[str, int]] = ()
    ) -> None:
        """Remove records in the background.

        Parameters
        ----------
        job_ids : sequence of str
            Jobs whose progress is removed.
        cancels : sequence of (str, int)
            Jobs whose cancellation is removed, and the revision of each cancellation.
        """
        self._active.set()
        threading.Thread(
            target=self._run, args=(job_ids, cancels), name="housekeeping", daemon=True
        ).start()

    def _run(self, job_ids: Sequence[str], cancels: Sequence[tuple[str, int]]) -> None:
        try:
            # The next decider loads jobs that are left, and removes them later.
            for jobs in _split(job_ids, GARBAGE_BATCH_JOBS):
                self._remove([PROGRESS_PREFIX + job_id for job_id in jobs])
            for rows in _split(cancels, GARBAGE_BATCH_CANCELS):
                revisions = {CANCEL_PREFIX + job_id: rev for job_id, rev in rows}
                self._remove(list(revisions), expected=list(revisions.items()))
        finally:
            self._active.clear()

    def _remove(
        self, keys: list[str], expected: Sequence[tuple[str, int]] = ()
    ) -> None:
        removed = self._store.write(
            [], expected=[(DECIDER_KEY, self._token), *expected], removed=keys
        )
        if isinstance(removed, Err):
            log_event(
                LOG,
                "decider: old records not removed",
                records=len(keys),
                why=removed.err_value.detail,
            )


def _split(rows: Sequence[T], size: int) -> Iterator[Sequence[T]]:
    for begin in range(0, len(rows), size):
        yield rows[begin : begin + size]
