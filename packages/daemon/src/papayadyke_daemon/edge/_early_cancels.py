"""Cancellations of jobs that are not stored.

A caller may cancel a job while the write that stores it is still under way: the store
may carry the write out seconds later, or the VM that sends it may be paused. Such a
cancellation is stored as well. It makes the write fail, and it is removed after
`EARLY_CANCEL_RETENTION_S`.
"""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Iterable

import msgspec

from papayadyke_daemon.edge._keys import CANCEL_PREFIX, encode_record
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import Record

LOG = logging.getLogger(__name__)

# Seconds; no VM begins to store a job that it received longer than `MAX_JOB_AGE_S` ago,
# and the store carries no write out more than 12 s after it was sent.
EARLY_CANCEL_RETENTION_S = 60.0
MAX_JOB_AGE_S = 30.0
# Cancellations of unknown jobs that one VM stores within the retention period.
MAX_EARLY_CANCELS = 1_000
EARLY_CANCEL_BYTES = 400  # memory of one on the VM that decides
MAX_TEAMS = 8  # teams that may cancel the same unknown job
GAUGE = "papayadyke_early_cancels"


class CancelRecord(msgspec.Struct, frozen=True):
    """Stored cancellation.

    Parameters
    ----------
    early_s : float
        If the job was not stored when it was cancelled, the wall-clock time of that in
        seconds; otherwise 0.
    teams : tuple of str
        Teams that have cancelled a job that was not stored; empty for a caller without
        a team. Jobs of other teams are not affected; those without a team are, as every
        caller may cancel them.
    """

    early_s: float = 0.0
    teams: tuple[str, ...] = ()

    def covers(self, team: str) -> bool:
        """Return whether the cancellation applies to a job of a team."""
        return not self.early_s or not team or team in self.teams


def decode_cancel(record: Record) -> CancelRecord:
    """Decode a stored cancellation; an unreadable one applies to every job."""
    try:
        return msgspec.json.decode(record.value or b"{}", type=CancelRecord)
    except (msgspec.DecodeError, ValueError) as exc:
        log_event(LOG, "unreadable cancellation", key=record.key, why=str(exc))
        return CancelRecord()


def encode_early_cancel(
    team: str, now_wall_s: float, earlier: CancelRecord | None = None
) -> bytes | None:
    """Encode the cancellation of a job that is not stored.

    Parameters
    ----------
    team : str
    now_wall_s : float
        Wall-clock time in seconds.
    earlier : CancelRecord or None
        Stored cancellation by other teams, which remains valid.

    Returns
    -------
    data : bytes or None
        None if too many other teams have cancelled the job.
    """
    teams = () if earlier is None else earlier.teams
    if len(teams) >= MAX_TEAMS:
        return None
    return encode_record(CancelRecord(now_wall_s, (*teams, team)))


class EarlyCancelRate:
    """Cancellations of unknown jobs that this VM has stored recently.

    Safe to use from any thread.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stored_s: deque[float] = deque()

    def take(self, now: float) -> bool:
        """Return whether another one may be stored at a time in seconds; count it."""
        with self._lock:
            while self._stored_s and self._stored_s[0] < now - EARLY_CANCEL_RETENTION_S:
                self._stored_s.popleft()
            if len(self._stored_s) >= MAX_EARLY_CANCELS:
                return False
            self._stored_s.append(now)
            return True


class EarlyCancels:
    """Cancellations of jobs that a decider does not know.

    Those of jobs that were stored arrive before their job and are forgotten after
    `EARLY_CANCEL_RETENTION_S`; the store holds both. The others have to be removed from
    the store.
    """

    def __init__(self) -> None:
        # Time of arrival of the cancellations of stored jobs.
        self._notified_s: dict[str, float] = {}
        # Revision and content of those of unknown jobs, by job.
        self._stored: dict[str, tuple[int, CancelRecord]] = {}
        # Revisions of old ones that the store may still hold. They apply to no job: one
        # that is accepted after the removal arrives before the news of the removal.
        self._old: dict[str, int] = {}

    @property
    def stored_bytes(self) -> int:
        """Memory that the stored cancellations of unknown jobs take, in bytes."""
        return EARLY_CANCEL_BYTES * (len(self._stored) + len(self._old))

    def notify(self, job_id: str, now: float) -> None:
        """Record that a stored job was cancelled."""
        self._notified_s[job_id] = now

    def read(self, record: Record) -> CancelRecord:
        """Record a stored cancellation, or its removal; return what it holds."""
        job_id = record.key.removeprefix(CANCEL_PREFIX)
        cancel = decode_cancel(record)
        self._old.pop(job_id, None)
        if record.value is None or not cancel.early_s:
            self._stored.pop(job_id, None)
        else:
            self._stored[job_id] = record.revision, cancel
        return cancel

    def covers(self, job_id: str, team: str) -> bool:
        """Return whether a job of a team is cancelled."""
        if job_id in self._notified_s:
            return True
        stored = self._stored.get(job_id)
        return stored is not None and stored[1].covers(team)

    def discard(self, job_id: str) -> None:
        """Forget the notification of a job that is cancelled now."""
        self._notified_s.pop(job_id, None)

    def expire(self, now: float, wall_s: float) -> list[tuple[str, int]]:
        """Forget old notifications; return the old stored cancellations.

        Parameters
        ----------
        now, wall_s : float
            Time on the decider's clock, and wall-clock time, in seconds.

        Returns
        -------
        rows : list of (str, int)
            Jobs, and the revisions of their cancellations, which may be removed.
        """
        METRICS.set_gauge(GAUGE, len(self._stored))
        for job_id, notified_s in list(self._notified_s.items()):
            if now - notified_s > EARLY_CANCEL_RETENTION_S:
                del self._notified_s[job_id]
        for job_id, (revision, cancel) in list(self._stored.items()):
            if abs(wall_s - cancel.early_s) > EARLY_CANCEL_RETENTION_S:
                del self._stored[job_id]
                self._old[job_id] = revision
        return list(self._old.items())

    def replace(self, records: Iterable[Record]) -> None:
        """Apply the list of all cancellations after the history was compacted."""
        self._stored.clear()
        self._old.clear()
        for record in records:
            self.read(record)

    def clear_metrics(self) -> None:
        """Remove the gauge, which another VM sets from now on."""
        METRICS.remove_gauge(GAUGE)
