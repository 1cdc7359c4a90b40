"""Store the progress of jobs, several commits at a time."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from papayadyke_core.dispatch import Commit
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    DECIDER_KEY,
    JOB_PREFIX,
    PROGRESS_PREFIX,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import (
    Record,
    RecordStore,
    StoreError,
    StoreErrorKind,
    Write,
)

LOG = logging.getLogger(__name__)

# Seconds between two commits; a longer interval puts more ends into each commit.
COMMIT_INTERVAL_S = 0.03
# Commits that are being stored, each on a thread of its own. A store that takes 0.4 s
# an answer then stores some 200 ends of jobs a second, and 25 with one thread.
MAX_COMMITS_IN_PROGRESS = 8
COMMIT_RETRY_S = 0.15  # seconds before the next commit after a failed one
# Average of the records that one VM commits, in bytes per second.
COMMIT_BYTES_PER_S = 4_000_000


class Committer:
    """Write commits on the condition that this VM is still the decider.

    All methods must be called on the decider's thread.

    Parameters
    ----------
    store : RecordStore
    token : int
        Fencing token of the decider, and revision of its key.
    post : callable
        Schedules a function on the decider's thread.
    on_finished : callable
        Called with a commit and whether it was stored.
    step_down : callable
        Called with a reason when another VM is the decider.
    on_rejected : callable
        Called before `on_finished` with a commit that the store does not take as it is.
    """

    def __init__(
        self,
        store: RecordStore,
        *,
        token: int,
        post: Callable[[Callable[[], None]], None],
        on_finished: Callable[[Commit, bool], None],
        step_down: Callable[[str], None],
        on_rejected: Callable[[Commit], None] = lambda commit: None,
    ) -> None:
        self._store = store
        self._token = token
        self._post = post
        self._on_finished = on_finished
        self._step_down = step_down
        self._on_rejected = on_rejected
        self._revisions: dict[str, int] = {}
        self._commits: queue.SimpleQueue[Commit | None] = queue.SimpleQueue()
        self._in_progress = 0
        self._is_failing = False
        self._next_s = 0.0

    def start(self) -> None:
        """Start the threads that wait for the store."""
        for number in range(MAX_COMMITS_IN_PROGRESS):
            threading.Thread(
                target=self._run, name=f"commits-{number}", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop the threads after their current commits."""
        for _ in range(MAX_COMMITS_IN_PROGRESS):
            self._commits.put(None)

    def record_revision(self, job_id: str, revision: int) -> None:
        """Record the revision at which the progress of a job is stored."""
        self._revisions[job_id] = revision

    def forget_jobs(self, job_ids: Iterable[str]) -> None:
        """Forget the revisions of jobs whose records are removed."""
        for job_id in job_ids:
            self._revisions.pop(job_id, None)

    def may_begin(self, now: float) -> bool:
        """Return whether a commit may begin."""
        return self.has_capacity and now >= self._next_s

    @property
    def has_capacity(self) -> bool:
        """Whether another commit may wait for the store; one does while it fails."""
        return self._in_progress < (1 if self._is_failing else MAX_COMMITS_IN_PROGRESS)

    def next_commit_s(self, latest_s: float) -> float:
        """Return when the next commit may begin, at most `latest_s`."""
        return min(latest_s, self._next_s) if self.has_capacity else latest_s

    def begin(self, commit: Commit) -> None:
        """Store a commit in the background."""
        self._in_progress += 1
        pause_s = max(COMMIT_INTERVAL_S, _count_bytes(commit) / COMMIT_BYTES_PER_S)
        self._next_s = max(self._next_s, read_clock() + pause_s)
        if commit.progress:
            self._commits.put(commit)
        else:
            # Ends of runs that change no progress need no call to the store.
            self._finish(commit, Ok(0))

    def write_next(self) -> bool:
        """Wait for a commit and store it; return False once stopped."""
        commit = self._commits.get()
        if commit is None:
            return False
        self._write(commit)
        return True

    def has_commit(self) -> bool:
        """Return whether a commit waits to be stored."""
        return not self._commits.empty()

    def _run(self) -> None:
        while self.write_next():
            pass

    def _write(self, commit: Commit) -> None:
        writes = [
            Write(PROGRESS_PREFIX + job_id, data)
            for job_id, data in commit.progress.items()
        ]
        expected = [(DECIDER_KEY, self._token)]
        expected += [
            (PROGRESS_PREFIX + job_id, self._revisions.get(job_id, 0))
            for job_id in commit.progress
        ]
        removed = [JOB_PREFIX + job_id for job_id in commit.ended_job_ids]
        removed += [CANCEL_PREFIX + job_id for job_id in commit.ended_job_ids]
        sent_s = read_clock()
        try:
            stored = self._store.write(writes, expected=expected, removed=removed)
        except Exception as exc:
            LOG.exception("decider: a commit failed unexpectedly")
            stored = Err(StoreError(StoreErrorKind.UNKNOWN, repr(exc)))
        METRICS.observe("papayadyke_commit_seconds", read_clock() - sent_s)
        METRICS.count("papayadyke_commits", stored=str(isinstance(stored, Ok)))
        self._post(lambda: self._finish(commit, stored))

    def _finish(self, commit: Commit, stored: Result[int, StoreError]) -> None:
        self._in_progress -= 1
        error = stored.err_value if isinstance(stored, Err) else None
        is_rejected = error is not None and error.kind is StoreErrorKind.REJECTED
        if commit.progress:
            self._is_failing = error is not None and not is_rejected
        if error is not None:
            largest = max(commit.progress, key=lambda name: len(commit.progress[name]))
            log_event(
                LOG,
                "decider: commit failed",
                kind=error.kind,
                why=error.detail,
                jobs=len(commit.progress),
                bytes=_count_bytes(commit),
                largest_job=largest,
                largest_bytes=len(commit.progress[largest]),
            )
            if error.kind is StoreErrorKind.CONFLICT:
                self._update_revisions(error.current_records)
            if is_rejected:
                self._on_rejected(commit)
            else:
                self._next_s = read_clock() + COMMIT_RETRY_S
        else:
            self._revisions.update(dict.fromkeys(commit.progress, stored.unwrap()))
        self._on_finished(commit, error is None)

    def _update_revisions(self, current: tuple[Record, ...]) -> None:
        for record in current:
            if record.key == DECIDER_KEY:
                if record.revision != self._token:
                    self._step_down("the store names another decider")
            elif record.key.startswith(PROGRESS_PREFIX):
                job_id = record.key.removeprefix(PROGRESS_PREFIX)
                self._revisions[job_id] = record.revision


def _count_bytes(commit: Commit) -> int:
    return sum(len(data) for data in commit.progress.values())
