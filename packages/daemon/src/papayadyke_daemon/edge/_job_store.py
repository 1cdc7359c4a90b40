"""Write jobs and cancellations to the store, and read jobs from it."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from papayadyke_core.dispatch import StagedJobSpec
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._contact import RECOVERY_WAIT_S, StoreContact
from papayadyke_daemon.edge._early_cancels import (
    EARLY_CANCEL_BYTES,
    MAX_JOB_AGE_S,
    EarlyCancelRate,
    decode_cancel,
    encode_early_cancel,
)
from papayadyke_daemon.edge._job_memory import JobMemory
from papayadyke_daemon.edge._keys import CANCEL_PREFIX, JOB_PREFIX, PROGRESS_PREFIX
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._outcomes import IntakeOutcome, StoreResult
from papayadyke_daemon.edge._ports import (
    Record,
    RecordStore,
    StoreError,
    StoreErrorKind,
    Write,
)

LOG = logging.getLogger(__name__)

STORE_ATTEMPTS = 2  # attempts per write; one whose answer is lost is retried
# Together with the timeout of an attempt (`StoreContact.timeout_s`), all callers of an
# outage have their answer within a second, unless the store was slow before it: those
# of later requests are never 504.
SLOW_STORE_WAIT_S = 0.5  # seconds that a write waits while an earlier call is slow


class JobStore:
    """Records of jobs and cancellations, as this VM reads and writes them.

    Parameters
    ----------
    store : RecordStore
    contact : StoreContact
        Tells whether the store answers this VM.
    job_memory : JobMemory or None
        Tells whether there is memory for another record; None for no limit.
    """

    def __init__(
        self,
        store: RecordStore,
        contact: StoreContact,
        job_memory: JobMemory | None = None,
    ) -> None:
        self._store = store
        self._contact = contact
        self._job_memory = job_memory
        self._early_cancel_rate = EarlyCancelRate()

    def read(self, key: str) -> Result[Record | None, StoreError]:
        """Return the record of a key, or None if there is none."""
        return self._store.read(key, timeout_s=self._contact.timeout_s)

    def read_job_records(self, job_id: str) -> tuple[Record, ...]:
        """Return the declaration and the progress of a job, as far as they are read."""
        replies = [
            self._store.read(prefix + job_id)
            for prefix in (JOB_PREFIX, PROGRESS_PREFIX)
        ]
        return tuple(
            reply.ok_value
            for reply in replies
            if isinstance(reply, Ok) and reply.ok_value is not None
        )

    def may_write(self, *, for_caller: bool) -> bool:
        """Return whether the store answers, after a wait while a call is slow.

        Parameters
        ----------
        for_caller : bool
            Whether a caller of this VM waits. A job of another VM does not wait, since
            it occupies a thread for calls of all VMs.
        """
        if for_caller:
            return self._contact.wait_while_slow(SLOW_STORE_WAIT_S)
        return self._contact.is_reached and not self._contact.is_slow(read_clock())

    def store_job(
        self, spec: StagedJobSpec, data: bytes, *, for_caller: bool
    ) -> StoreResult:
        """Store a job unless it exists, has ended or is cancelled already.

        Parameters
        ----------
        spec : StagedJobSpec
        data : bytes
            Encoded `spec`.
        for_caller : bool
            Whether a caller of this VM waits, so that a lost answer is retried.
        """
        key, cancel_key = JOB_PREFIX + spec.job_id, CANCEL_PREFIX + spec.job_id
        # Of an ended job only the progress is kept, so that key must not exist either.
        expected = [(key, 0), (PROGRESS_PREFIX + spec.job_id, 0)]
        stored = self._write(
            Write(key, data),
            expected=[*expected, (cancel_key, 0)],
            attempts=STORE_ATTEMPTS if for_caller else 1,
            until_s=_find_latest_write_s(spec),
        )
        cancel = _find_cancel(stored.existing_records)
        if cancel is not None:
            if decode_cancel(cancel).covers(spec.team):
                return StoreResult(IntakeOutcome.CANCELLED)
            # Other teams have cancelled an unknown job with this id.
            stored = self._write(
                Write(key, data),
                expected=[*expected, (cancel_key, cancel.revision)],
                removed=[cancel_key],
                attempts=1,
                until_s=_find_latest_write_s(spec),
            )
            cancel = _find_cancel(stored.existing_records)
        is_unexplained = stored.existing_records == () and not self.read_job_records(
            spec.job_id
        )
        if cancel is not None or is_unexplained:
            # The records have changed meanwhile; the caller may try again.
            return StoreResult(IntakeOutcome.UNKNOWN)
        return stored

    def cancel(
        self,
        job_id: str,
        team: str | None,
        *,
        check_owner: Callable[[Record], IntakeOutcome | None],
        for_caller: bool,
    ) -> IntakeOutcome:
        """Store the cancellation of a job that has not ended.

        A job that is not stored is cancelled as well, since a write that stores it may
        be under way.

        Parameters
        ----------
        job_id : str
        team : str or None
            Team of the caller, empty for none; None if it is not known.
        check_owner : callable
            Returns why the caller may not cancel the job with the given record, or None
            if it may.
        for_caller : bool
            Whether a caller of this VM waits, so that a lost answer is retried.
        """
        for _ in range(STORE_ATTEMPTS):
            job = self.read(JOB_PREFIX + job_id)
            if isinstance(job, Err):
                return IntakeOutcome.REFUSED
            if job.ok_value is not None:
                refusal = check_owner(job.ok_value)
                return refusal or self._cancel_stored(
                    job_id, job.ok_value.revision, for_caller=for_caller
                )
            progress = self.read(PROGRESS_PREFIX + job_id)
            if isinstance(progress, Err):
                return IntakeOutcome.REFUSED
            if progress.ok_value is not None:
                return check_owner(progress.ok_value) or IntakeOutcome.ACCEPTED
            outcome = self._cancel_unknown(job_id, team or "")
            if outcome is not None:
                return outcome
        return IntakeOutcome.REFUSED

    def _cancel_stored(
        self, job_id: str, revision: int, *, for_caller: bool
    ) -> IntakeOutcome:
        key = CANCEL_PREFIX + job_id
        # If the job ends first, the write fails and leaves no cancellation behind.
        stored = self._write(
            Write(key, b"{}"),
            expected=[(key, 0), (JOB_PREFIX + job_id, revision)],
            attempts=STORE_ATTEMPTS if for_caller else 1,
        )
        return stored.outcome

    def _cancel_unknown(self, job_id: str, team: str) -> IntakeOutcome | None:
        """Make later writes of a job fail; return None if one has succeeded."""
        key = CANCEL_PREFIX + job_id
        existing = self.read(key)
        if isinstance(existing, Err):
            return IntakeOutcome.REFUSED
        record = existing.ok_value
        earlier = None if record is None else decode_cancel(record)
        if earlier is not None and earlier.covers(team):
            return IntakeOutcome.NO_SUCH_JOB
        data = encode_early_cancel(team, time.time(), earlier)
        if data is None or not self._take_early_cancel():
            log_event(LOG, "intake: no room for a cancellation", request=job_id)
            METRICS.count("papayadyke_early_cancel_refusals")
            return IntakeOutcome.REFUSED
        written = self._store.write(
            [Write(key, data)],
            expected=[
                (JOB_PREFIX + job_id, 0),
                (PROGRESS_PREFIX + job_id, 0),
                (key, 0 if record is None else record.revision),
            ],
            timeout_s=self._contact.timeout_s,
        )
        if isinstance(written, Ok):
            log_event(LOG, "intake: unknown job cancelled", request=job_id, team=team)
            return IntakeOutcome.NO_SUCH_JOB
        if written.err_value.kind is StoreErrorKind.CONFLICT:
            return None
        if written.err_value.kind is StoreErrorKind.UNKNOWN:
            return IntakeOutcome.UNKNOWN
        return IntakeOutcome.REFUSED

    def _take_early_cancel(self) -> bool:
        """Return whether a cancellation of an unknown job may be stored; count it."""
        now, memory = read_clock(), self._job_memory
        if memory is not None and not memory.has_bytes(EARLY_CANCEL_BYTES):
            return False
        if not self._early_cancel_rate.take(now):
            return False
        if memory is not None:
            memory.record_bytes(EARLY_CANCEL_BYTES)
        return True

    def _write(
        self,
        write: Write,
        *,
        expected: Sequence[tuple[str, int]],
        attempts: int,
        removed: Sequence[str] = (),
        until_s: float = math.inf,
    ) -> StoreResult:
        """Write a record that does not exist; no attempt is sent after `until_s`."""
        outcome = IntakeOutcome.REFUSED
        for attempt in range(attempts):
            if attempt and not self._contact.wait_until_reached(RECOVERY_WAIT_S):
                break
            if read_clock() > until_s:
                log_event(
                    LOG, "intake: too late to store", key=write.key, attempt=attempt
                )
                break
            stored = self._store.write(
                [write],
                expected=expected,
                removed=removed,
                timeout_s=self._contact.timeout_s,
            )
            if isinstance(stored, Ok):
                return StoreResult(IntakeOutcome.ACCEPTED, stored.ok_value)
            error = stored.err_value
            if error.kind is StoreErrorKind.CONFLICT:
                # An earlier attempt of this or another VM stored it, or the job ended.
                return StoreResult(
                    IntakeOutcome.ACCEPTED, existing_records=error.current_records
                )
            if error.kind is StoreErrorKind.REJECTED:
                break
            if error.kind is StoreErrorKind.UNKNOWN:
                outcome = IntakeOutcome.UNKNOWN
        return StoreResult(outcome)


def _find_latest_write_s(spec: StagedJobSpec) -> float:
    """Return the time after which a job is not stored, on the clock of `read_clock`.

    This VM, or the one that has relayed the job, may have been paused for longer than a
    cancellation or the end of the job is kept.
    """
    if not spec.accepted_s:
        return math.inf
    age_s = max(0.0, time.time() - spec.accepted_s)
    return read_clock() + MAX_JOB_AGE_S - age_s


def _find_cancel(records: Sequence[Record] | None) -> Record | None:
    """Return the cancellation because of which a job was not stored.

    Parameters
    ----------
    records : sequence of Record or None
        Records that existed when the job was to be stored.
    """
    if not records or any(not r.key.startswith(CANCEL_PREFIX) for r in records):
        return None
    return records[0]


__all__ = ["JobStore"]
