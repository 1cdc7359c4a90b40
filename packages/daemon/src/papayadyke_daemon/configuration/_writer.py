"""Writes operators' changes to the log of the configuration."""

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
    Invalid,
    LogEntry,
    Problem,
    check_change,
)
from papayadyke_daemon.configuration._repository import ConfigRepository

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigWriterSettings:
    """Limits of a writer.

    Parameters
    ----------
    submit_timeout_s : float, default=8.0
        Time after which an author is told that the store does not answer.
    retry_min_s, retry_max_s : float
        Bounds of the waiting time between attempts; it is drawn at random and
        doubles with each.
    """

    submit_timeout_s: float = 8.0
    retry_min_s: float = 0.05
    retry_max_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change stands in the log at this revision, for good."""

    revision: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store took no write in time; nothing was changed."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unresolved:
    """The answer was lost and could not be had in time: perhaps it stands.

    Sending the same change with the same id again tells.
    """

    detail: str


SubmitError = ChangeError | Unavailable | Unresolved


class ConfigWriter:
    """Puts changes at the end of the log, one at a time.

    Threads may share it.

    Parameters
    ----------
    repository : ConfigRepository
    current : callable
        Returns the newest `ConfigState` that this VM knows.
    publish : callable
        Takes entries that the writer learnt of, its own included.
    settings : ConfigWriterSettings
    clock, sleep : callable
    rng : random.Random
    """

    def __init__(
        self,
        repository: ConfigRepository,
        *,
        current: Callable[[], ConfigState],
        publish: Callable[[Sequence[LogEntry]], object],
        settings: ConfigWriterSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        rng: random.Random | None = None,
    ):
        self.repository = repository
        self.current = current
        self.publish = publish
        self.settings = settings or ConfigWriterSettings()
        self.clock = clock
        self.sleep = sleep
        self.rng = rng or random.Random()
        self._lock = threading.Lock()
        self._snapshot_revision = 0

    def submit(self, change: AnyChange) -> Result[Accepted, SubmitError]:
        """Have a change accepted, or say why it was not.

        Parameters
        ----------
        change : AnyChange
            Sent again with the same id, it takes effect once.

        Returns
        -------
        result : Result of Accepted, SubmitError
            `Unresolved` is the only error after which the change may stand.
        """
        end = self.clock() + self.settings.submit_timeout_s
        if not self._lock.acquire(timeout=self.settings.submit_timeout_s):
            return Err(Unavailable("other changes are in the way"))
        try:
            return _Submission(self, change, end).run()
        finally:
            self._lock.release()

    def make_room(self, state: ConfigState) -> Result[None, StoreError]:
        """See to it that the entry about to be overwritten is in a snapshot."""
        lost = state.revision + 1 - self.repository.slots
        if lost <= self._snapshot_revision:
            return Ok(None)
        found = self.repository.read_head()
        if isinstance(found, Err):
            return Err(StoreError(ErrorKind.UNAVAILABLE, found.err_value.detail))
        head = found.ok_value
        self._snapshot_revision = 0 if head is None else head.revision
        if lost <= self._snapshot_revision:
            return Ok(None)
        done = self.repository.write_state(state)
        # The loss of this answer says nothing of the change itself.
        return done.map_err(lambda e: StoreError(ErrorKind.UNAVAILABLE, e.detail))


class _Submission:
    """One change on its way into the log."""

    def __init__(self, writer: ConfigWriter, change: AnyChange, end: float):
        self.writer = writer
        self.change = change
        self.end = end
        self.log = ConfigLog(writer.current())
        self.may_stand = False
        self.detail = "the store does not answer"
        self._wait_s = writer.settings.retry_min_s

    def run(self) -> Result[Accepted, SubmitError]:
        while True:
            done = self._attempt()
            if done is not None:
                return done
            if self.writer.clock() >= self.end:
                return Err(self._give_up())
            self._back_off()

    def _attempt(self) -> Result[Accepted, SubmitError] | None:
        """Try once; None where nothing is certain yet."""
        reached_end = self._catch_up()
        stands = self.log.state.recent.get(self.change.id)
        if stands is not None:
            return Ok(Accepted(stands.stamp.revision))
        if not reached_end or self._is_behind_author():
            return None
        self._pin_expected()
        checked = check_change(self.log.state, self.change)
        if isinstance(checked, Err):
            return self._confirm(checked)
        return self._append()

    def _append(self) -> Result[Accepted, SubmitError] | None:
        state = self.log.state
        entry = LogEntry(state.revision + 1, state.last_id, self.change)
        room = self.writer.make_room(state)
        done = room.and_then(lambda _: self.writer.repository.append(entry))
        if done.is_ok():
            self._learn([entry])
            logger.info(
                "config: change %s of %s accepted at revision %d",
                self.change.id,
                self.change.author,
                entry.revision,
            )
            return Ok(Accepted(entry.revision))
        return self._after_error(done.unwrap_err())

    def _after_error(self, error: StoreError) -> Result[Accepted, SubmitError] | None:
        if error.kind is ErrorKind.INVALID and not self.may_stand:
            return Err(Invalid((Problem("", error.detail),)))
        if error.kind is ErrorKind.UNKNOWN:
            self.may_stand = True
        if error.kind is not ErrorKind.CONFLICT:
            self.detail = error.detail
        return None

    def _confirm(
        self, refused: Err[ChangeError]
    ) -> Result[Accepted, SubmitError] | None:
        """Refuse only from the end of the log: a first read may have been stale."""
        revision = self.log.revision
        if not self._catch_up() or self.log.revision > revision:
            return None
        return Err(refused.err_value)

    def _catch_up(self) -> bool:
        """Read on to the end of the log; False where the store stopped it."""
        while True:
            found = self.writer.repository.read_after(self.log.revision)
            if isinstance(found, Err):
                self.detail = found.err_value.detail
                return False
            tail = found.ok_value
            if tail.is_overwritten:
                if not self._install_snapshot():
                    return False
                continue
            if not tail.entries:
                return True
            if not self._learn(tail.entries):
                raise AssertionError("the log of the store does not follow itself")

    def _install_snapshot(self) -> bool:
        found = self.writer.repository.read_state()
        state = found.ok() if found.is_ok() else None
        return state is not None and self.log.install(state)

    def _learn(self, entries: Sequence[LogEntry]) -> bool:
        taken = self.log.offer(entries)
        if taken:
            self.writer.publish(taken)
        return bool(taken)

    def _is_behind_author(self) -> bool:
        """Tell whether the author saw a revision that has not been read here."""
        return (self.change.expected or 0) > self.log.revision

    def _pin_expected(self) -> None:
        """Hold the item as it is now, so that a race for it has one winner."""
        if self.change.expected is None:
            stamp = self.log.state.stamp_of(self.change.kind, self.change.name)
            self.change = msgspec.structs.replace(self.change, expected=stamp.revision)

    def _give_up(self) -> SubmitError:
        if self.may_stand:
            return Unresolved(f"it is not known whether it stands: {self.detail}")
        if self._is_behind_author():
            return Unavailable(f"revision {self.change.expected} cannot be read here")
        return Unavailable(f"nothing was changed: {self.detail}")

    def _back_off(self) -> None:
        left_s = max(self.end - self.writer.clock(), 0.0)
        wait_s = self.writer.rng.uniform(0.0, self._wait_s)
        self.writer.sleep(min(wait_s, left_s))
        self._wait_s = min(self._wait_s * 2, self.writer.settings.retry_max_s)
