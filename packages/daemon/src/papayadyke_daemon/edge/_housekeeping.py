"""Remove the records of old jobs from the store, in the background."""

from __future__ import annotations

import logging
import threading
from collections.abc import Sequence

from result import Err

from papayadyke_daemon.edge._keys import DECIDER_KEY, PROGRESS_PREFIX
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._ports import RecordStore

LOG = logging.getLogger(__name__)

# Jobs per removal. Each is one entry, and the condition is one more; a transaction of
# the store holds at most 32 entries.
GARBAGE_BATCH_JOBS = 30


class Housekeeper:
    """Remove records of old jobs, one list of jobs at a time.

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

    def remove_jobs(self, job_ids: Sequence[str]) -> None:
        """Remove the records of jobs in the background."""
        self._active.set()
        threading.Thread(
            target=self._run, args=(job_ids,), name="housekeeping", daemon=True
        ).start()

    def _run(self, job_ids: Sequence[str]) -> None:
        try:
            self._remove(job_ids)
        finally:
            self._active.clear()

    def _remove(self, job_ids: Sequence[str]) -> None:
        for begin in range(0, len(job_ids), GARBAGE_BATCH_JOBS):
            batch = job_ids[begin : begin + GARBAGE_BATCH_JOBS]
            keys = [PROGRESS_PREFIX + job_id for job_id in batch]
            removed = self._store.write(
                [], expected=[(DECIDER_KEY, self._token)], removed=keys
            )
            if isinstance(removed, Err):
                # The next decider loads these jobs and removes them later.
                log_event(
                    LOG,
                    "decider: old jobs not removed",
                    jobs=len(batch),
                    why=removed.err_value.detail,
                )
