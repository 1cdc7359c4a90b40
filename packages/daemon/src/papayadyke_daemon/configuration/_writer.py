"""Append operators' changes to the configuration log."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.store import ErrorKind, StoreError
from papayadyke_core.configuration import (
    AnyChange,
    ChangeError,
    ConfigLog,
    ConfigState,
    InvalidChange,
    LogEntry,
    ValidationProblem,
    check_change,
)
from papayadyke_daemon.configuration._repository import ConfigRepository

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigWriterSettings:
    """Set the time limits of a `ConfigWriter`.

    Parameters
    ----------
    submit_timeout_s : float, default=8.0
        Time in seconds for one submission, after which it returns an error.
    retry_min_s, retry_max_s : float
        Bounds in seconds of the delay between attempts. The bound of the delay
        doubles with every attempt; the delay itself is drawn at random below it.
    """

    submit_timeout_s: float = 8.0
    retry_min_s: float = 0.05
    retry_max_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Accepted:
    """Report a change that is in the log permanently, at this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that nothing was written to the store in time; nothing changed."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Report that the outcome is unknown: the change may be in the log.

    The answer to a write was lost, and the log could not be read in time to find
    out. Submitting the same change with the same id again resolves it.
    """

    detail: str


SubmitError = ChangeError | Unavailable | Unresolved


class ConfigWriter:
    """Append changes to the end of the log, one at a time.

    The methods may be called from any thread.

    Parameters
    ----------
    repository : ConfigRepository
    get_state : callable
        Returns the newest `ConfigState` that this VM has.
    on_entries : callable
        Called with the entries that the writer read or appended.
    settings : ConfigWriterSettings
    clock, sleep : callable
        In seconds.
    rng : random.Random
    """

    def __init__(
        self,
        repository: ConfigRepository,
        *,
        get_state: Callable[[], ConfigState],
        on_entries: Callable[[Sequence[LogEntry]], object],
        settings: ConfigWriterSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        rng: random.Random | None = None,
    ):
        self.repository = repository
        self.get_state = get_state
        self.on_entries = on_entries
        self.settings = settings or ConfigWriterSettings()
        self.clock = clock
        self.sleep = sleep
        self.rng = rng or random.Random()
        self._lock = threading.Lock()
        self._snapshot_revision = 0

    def submit(self, change: AnyChange) -> Result[Accepted, SubmitError]:
        """Append a change to the log, or return why it was not accepted.

        Parameters
        ----------
        change : AnyChange
            Takes effect once, however often it is submitted with the same id.

        Returns
        -------
        result : Result of Accepted, SubmitError
            `Unresolved` is the only error after which the change may be in the
            log.
        """
        deadline_s = self.clock() + self.settings.submit_timeout_s
        if not self._lock.acquire(timeout=self.settings.submit_timeout_s):
            return Err(Unavailable("other changes are in the way"))
        try:
            return _Submission(self, change, deadline_s).run()
        finally:
            self._lock.release()

    def ensure_snapshot(self, state: ConfigState) -> Result[None, StoreError]:
        """Ensure that a snapshot covers the entry that is overwritten next."""
        overwritten_revision = state.revision + 1 - self.repository.slots
        if overwritten_revision <= self._snapshot_revision:
            return Ok(None)
        head_read = self.repository.read_head()
        if isinstance(head_read, Err):
            return Err(StoreError(ErrorKind.UNAVAILABLE, head_read.err_value.detail))
        head = head_read.ok_value
        self._snapshot_revision = 0 if head is None else head.revision
        if overwritten_revision <= self._snapshot_revision:
            return Ok(None)
        written = self.repository.write_state(state)
        # A lost answer to the snapshot write leaves no doubt about the change,
        # so UNKNOWN becomes UNAVAILABLE.
        return written.map_err(lambda e: StoreError(ErrorKind.UNAVAILABLE, e.detail))


class _Submission:
    """Submit one change, with retries until the deadline."""

    def __init__(self, writer: ConfigWriter, change: AnyChange, deadline_s: float):
        self.writer = writer
        self.change = change
        self.deadline_s = deadline_s
        self.log = ConfigLog(writer.get_state())
        self.may_be_accepted = False
        self.detail = "the store does not answer"
        self._max_delay_s = writer.settings.retry_min_s

    def run(self) -> Result[Accepted, SubmitError]:
        while True:
            result = self._attempt()
            if result is not None:
                return result
            if self.writer.clock() >= self.deadline_s:
                return Err(self._make_timeout_error())
            self._back_off()

    def _attempt(self) -> Result[Accepted, SubmitError] | None:
        """Try once; return None if the outcome is not yet certain."""
        reached_end = self._catch_up()
        accepted = self.log.state.recent.get(self.change.id)
        if accepted is not None:
            return Ok(Accepted(accepted.stamp.revision))
        if not reached_end or self._is_behind_author():
            return None
        self._set_expected_revision()
        checked = check_change(self.log.state, self.change)
        if isinstance(checked, Err):
            return self._confirm_refusal(checked)
        return self._append()

    def _append(self) -> Result[Accepted, SubmitError] | None:
        state = self.log.state
        entry = LogEntry(state.revision + 1, state.last_id, self.change)
        covered = self.writer.ensure_snapshot(state)
        appended = covered.and_then(lambda _: self.writer.repository.append(entry))
        if appended.is_ok():
            self._apply([entry])
            logger.info(
                "config: change %s by %s accepted at revision %d",
                self.change.id,
                self.change.author,
                entry.revision,
            )
            return Ok(Accepted(entry.revision))
        return self._handle_error(appended.unwrap_err())

    def _handle_error(self, error: StoreError) -> Result[Accepted, SubmitError] | None:
        if error.kind is ErrorKind.INVALID and not self.may_be_accepted:
            return Err(InvalidChange((ValidationProblem("", error.detail),)))
        if error.kind is ErrorKind.UNKNOWN:
            self.may_be_accepted = True
        if error.kind is not ErrorKind.CONFLICT:
            self.detail = error.detail
        return None

    def _confirm_refusal(
        self, refusal: Err[ChangeError]
    ) -> Result[Accepted, SubmitError] | None:
        """Refuse only after a second read that finds no entries.

        The first read may have been stale.
        """
        revision = self.log.revision
        if not self._catch_up() or self.log.revision > revision:
            return None
        return Err(refusal.err_value)

    def _catch_up(self) -> bool:
        """Read to the end of the log; return False if a store call failed."""
        while True:
            page = self.writer.repository.read_after(self.log.revision)
            if isinstance(page, Err):
                self.detail = page.err_value.detail
                return False
            tail = page.ok_value
            if tail.is_overwritten:
                if not self._install_snapshot():
                    return False
                continue
            if not tail.entries:
                return True
            if not self._apply(tail.entries):
                raise AssertionError(
                    "the entries in the store do not form one sequence"
                )

    def _install_snapshot(self) -> bool:
        snapshot = self.writer.repository.read_state()
        state = snapshot.ok() if snapshot.is_ok() else None
        return state is not None and self.log.install_snapshot(state)

    def _apply(self, entries: Sequence[LogEntry]) -> bool:
        applied = self.log.apply_entries(entries)
        if applied:
            self.writer.on_entries(applied)
        return bool(applied)

    def _is_behind_author(self) -> bool:
        """Return whether the author has seen a revision that was not read here."""
        return (self.change.expected or 0) > self.log.revision

    def _set_expected_revision(self) -> None:
        """Expect the item's current revision, so that only one racing change wins."""
        if self.change.expected is None:
            stamp = self.log.state.last_stamp(self.change.kind, self.change.name)
            self.change = msgspec.structs.replace(self.change, expected=stamp.revision)

    def _make_timeout_error(self) -> SubmitError:
        if self.may_be_accepted:
            return Unresolved(f"it is not known whether it stands: {self.detail}")
        if self._is_behind_author():
            return Unavailable(f"revision {self.change.expected} cannot be read here")
        return Unavailable(f"nothing was changed: {self.detail}")

    def _back_off(self) -> None:
        remaining_s = max(self.deadline_s - self.writer.clock(), 0.0)
        delay_s = self.writer.rng.uniform(0.0, self._max_delay_s)
        self.writer.sleep(min(delay_s, remaining_s))
        self._max_delay_s = min(self._max_delay_s * 2, self.writer.settings.retry_max_s)
