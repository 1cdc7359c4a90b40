"""Which progress is to be stored, and which ends may then be acknowledged.

The ends of jobs are stored before the progress of open jobs, since callers wait for
them. Several commits may be in progress at a time, each of other jobs. A job whose
record is large, or was refused, has commits of its own.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._messages import Commit, EndedRun, RunEnd
from papayadyke_core.dispatch._progress import FINAL_STATES, JobState
from papayadyke_core.dispatch._record_size import EncodedProgress, encode_within
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import TaskId
from papayadyke_core.dispatch._unanswered import UnansweredStarts
from papayadyke_core.dispatch._unread import UnreadJobEnds
from papayadyke_core.dispatch._upstream import Upstream

# Store entries of one job in a commit: the condition and the progress, and for an ended
# job also the removal of the job and of its cancellation.
OPEN_JOB_ENTRIES = 2
ENDED_JOB_ENTRIES = 4
SHARED_RECORD_BYTES = 16_000  # most bytes of a record that shares a commit with others
# Commits in a row that jobs may share while another job waits for one of its own.
MAX_SHARED_COMMITS = 3
# Average of the large records of one open job. Encoding 100,000 tasks takes 28 ms.
LARGE_RECORD_BYTES_PER_S = 500_000
# Ends of one upstream from which on none waits for an unanswered start of its task: an
# upstream lists at most 500 ends that are not acknowledged.
MAX_WAITING_ENDS = 250
# Seconds before a refused record is sent again; doubled each time, up to the maximum.
REFUSAL_PAUSE_S, MAX_REFUSAL_PAUSE_S = 0.5, 30.0

LOG = logging.getLogger(__name__)


@dataclass(slots=True)
class _CommitInProgress:
    """What a commit in progress covers.

    Parameters
    ----------
    states : dict of str to JobState
        States of its jobs when it was begun.
    suspicions : set of str
        Jobs whose doubts or crashes it stores.
    ends : dict of str to (int, list of (int, str))
        Ends that it acknowledges, by upstream: the incarnation that numbered them, and
        their numbers and jobs.
    """

    states: dict[str, JobState] = field(default_factory=dict)
    suspicions: set[str] = field(default_factory=set)
    ends: dict[str, tuple[int, list[tuple[int, str]]]] = field(default_factory=dict)


@dataclass(slots=True)
class _Refusal:
    """Record of a job that the store has refused.

    Parameters
    ----------
    retry_s : float
        When it is sent again, in seconds.
    pause_s : float
        Seconds between the last two attempts.
    """

    retry_s: float
    pause_s: float


class CommitTracker:
    """Collect changed jobs into commits.

    Parameters
    ----------
    settings : DispatchSettings
    jobs : mapping of str to StagedJob
        All jobs by id; owned by the schedule.
    upstreams : mapping of str to Upstream
        All upstreams by id; owned by the schedule.

    Attributes
    ----------
    is_store_failing : bool
        Whether the last commit could not be stored.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        jobs: Mapping[str, StagedJob],
        upstreams: Mapping[str, Upstream],
        unanswered_starts: UnansweredStarts,
    ) -> None:
        self.is_store_failing = False
        self._settings = settings
        self._jobs = jobs
        self._upstreams = upstreams
        self._unanswered_starts = unanswered_starts
        # Jobs to store, in the order in which they changed.
        self._dirty_jobs: dict[str, None] = {}
        self._in_progress: dict[int, _CommitInProgress] = {}
        self._committing_jobs: set[str] = set()
        # Jobs that the store has refused, alone or together with others.
        self._refusals: dict[str, _Refusal] = {}
        self._refused_commits: set[int] = set()
        # Jobs whose record was large when it was last encoded, and when the next one
        # may be encoded, in seconds.
        self._large_jobs: dict[str, float] = {}
        # Changed jobs whose progress does not fit; they wait for another change.
        self._oversized_jobs: set[str] = set()
        # Shared commits for which another job has waited.
        self._shared_commits = 0
        self._commits = 0
        # Ends that are processed and not acknowledged, by upstream in their order.
        self._unacknowledged: dict[str, deque[tuple[int, str]]] = {}
        # Tasks of those that are done or have failed beside an unanswered start, by
        # upstream and number.
        self._ends_beside_starts: dict[str, dict[int, TaskId]] = {}
        # Jobs whose doubts or crashes are in no stored or begun commit.
        self._unstored_suspicions: set[str] = set()

    @property
    def has_ended_jobs(self) -> bool:
        """Whether the end of a job waits for a commit, and was not refused before."""
        return any(
            job_id not in self._committing_jobs
            and job_id not in self._refusals
            and job_id in self._jobs
            and self._jobs[job_id].is_final
            for job_id in self._dirty_jobs
        )

    def mark_dirty(self, job_id: str) -> None:
        """Have the progress of a job stored."""
        self._oversized_jobs.discard(job_id)
        self._dirty_jobs.setdefault(job_id)

    def record_suspicion(self, job_ids: set[str]) -> None:
        """Have the doubts and crashes of jobs stored."""
        for job_id in sorted(job_ids):
            if not self._jobs[job_id].is_final:
                self.mark_dirty(job_id)
                self._unstored_suspicions.add(job_id)

    def list_unstored_suspicions(self) -> set[str]:
        """Return the jobs whose suspects wait; none do while the store fails."""
        if self.is_store_failing:
            return set()
        begun = [commit.suspicions for commit in self._in_progress.values()]
        return self._unstored_suspicions.union(*begun)

    def record_end(self, upstream_id: str, ended: EndedRun) -> None:
        """Record an end that is to be acknowledged once its job is stored."""
        ends = self._unacknowledged.setdefault(upstream_id, deque())
        ends.append((ended.number, ended.task.job_id))
        if ended.end in (
            RunEnd.DONE,
            RunEnd.FAILED,
        ) and self._unanswered_starts.has_start(ended.task, upstream_id):
            tasks = self._ends_beside_starts.setdefault(upstream_id, {})
            tasks[ended.number] = ended.task

    def forget_ends(self, upstream_id: str) -> None:
        """Forget the ends of an upstream, which no longer lists them."""
        self._unacknowledged.pop(upstream_id, None)
        self._ends_beside_starts.pop(upstream_id, None)

    def begin(self, unread_ends: UnreadJobEnds, now: float = 0.0) -> Commit | None:
        """Return the next commit, or None if there is nothing to commit."""
        begun = _CommitInProgress()
        encoded = self._encode_dirty_jobs(now)
        progress = {
            job_id: record.data
            for job_id, record in encoded.items()
            if record.data is not None
        }
        left_out = self._record_left_out(encoded)
        begun.states = {job_id: self._jobs[job_id].state for job_id in progress}
        acknowledged_ends = self._take_acknowledgements(begun, unread_ends)
        if not progress and not acknowledged_ends:
            return None
        begun.suspicions = self._unstored_suspicions & progress.keys()
        self._unstored_suspicions -= begun.suspicions
        self._committing_jobs |= progress.keys()
        self._commits += 1
        self._in_progress[self._commits] = begun
        ended_job_ids = [
            job_id for job_id, state in begun.states.items() if state in FINAL_STATES
        ]
        return Commit(
            progress, acknowledged_ends, tuple(ended_job_ids), self._commits, left_out
        )

    def isolate(self, commit: Commit, now: float) -> None:
        """Record that the store refuses a commit in progress as it is.

        Each of its jobs has commits of its own from now on. Of a single job the next
        one waits, as it is likely to be refused as well.

        Parameters
        ----------
        commit : Commit
        now : float
            Current time in seconds.
        """
        self._refused_commits.add(commit.number)
        is_alone = len(commit.progress) == 1
        for job_id in commit.progress:
            refusal = self._refusals.setdefault(job_id, _Refusal(now, 0.0))
            if is_alone:
                refusal.pause_s = min(
                    max(REFUSAL_PAUSE_S, 2.0 * refusal.pause_s), MAX_REFUSAL_PAUSE_S
                )
                refusal.retry_s = now + refusal.pause_s

    def finish(self, commit: Commit, *, is_stored: bool) -> list[str]:
        """Finish a commit in progress; return the jobs whose end it stored."""
        begun = self._in_progress.pop(commit.number)
        self._committing_jobs -= begun.states.keys()
        is_refused = commit.number in self._refused_commits
        self._refused_commits.discard(commit.number)
        self.is_store_failing = not is_stored and not is_refused
        if not is_stored:
            self._unstored_suspicions |= begun.suspicions
            for job_id in begun.states:
                self.mark_dirty(job_id)
            for upstream_id, (incarnation, ends) in begun.ends.items():
                upstream = self._upstreams.get(upstream_id)
                if upstream is None or upstream.incarnation != incarnation:
                    # The next incarnation numbers its ends anew.
                    continue
                later = self._unacknowledged.get(upstream_id, ())
                self._unacknowledged[upstream_id] = deque(sorted((*ends, *later)))
            return []
        for name, (incarnation, number) in commit.acknowledged_ends.items():
            upstream = self._upstreams.get(name)
            if upstream is not None and upstream.incarnation == incarnation:
                upstream.acknowledged_end_number = max(
                    upstream.acknowledged_end_number, number
                )
        for job_id in begun.states:
            self._refusals.pop(job_id, None)
        return self._record_stored_states(begun.states)

    def has_suspicions(self, commit: Commit) -> bool:
        """Return whether a commit in progress stores doubts or crashes."""
        return bool(self._in_progress[commit.number].suspicions)

    def _record_stored_states(self, states: Mapping[str, JobState]) -> list[str]:
        ended_job_ids = []
        for job_id, state in states.items():
            job = self._jobs.get(job_id)
            if job is not None and job.stored_state != state:
                job.stored_state = state
                if state in FINAL_STATES:
                    ended_job_ids.append(job_id)
        return ended_job_ids

    def _take_acknowledgements(
        self, begun: _CommitInProgress, unread_ends: UnreadJobEnds
    ) -> dict[str, tuple[int, int]]:
        """Return the ends to acknowledge: upstream, its incarnation and the number.

        An end may be acknowledged only once the progress that it caused is stored, so
        those of jobs that wait for another commit, and all after them, are left. So are
        all ends of an upstream while a commit in progress covers earlier ones, and
        those of tasks with an unanswered start at the upstream: if it restarts, the
        start may be carried out after them.
        """
        acknowledged_ends = {}
        covered = [commit.ends for commit in self._in_progress.values()]
        for name, ends in self._unacknowledged.items():
            upstream = self._upstreams.get(name)
            if upstream is None or upstream.incarnation is None or not ends:
                continue
            if any(name in earlier for earlier in covered):
                continue
            limit = unread_ends.limit_acknowledgement(name, upstream.last_end_number)
            limit = min(limit, self._find_last_settled(name, limit))
            taken = []
            while ends and ends[0][0] <= limit and not self._is_waiting(ends[0][1]):
                taken.append(ends.popleft())
            if taken:
                begun.ends[name] = upstream.incarnation, taken
                acknowledged_ends[name] = (upstream.incarnation, taken[-1][0])
        return acknowledged_ends

    def _find_last_settled(self, upstream_id: str, number: int) -> int:
        """Return the highest end, up to `number`, before one beside a start."""
        tasks = self._ends_beside_starts.get(upstream_id)
        if not tasks:
            return number
        for settled in [
            earlier
            for earlier, task in tasks.items()
            if not self._unanswered_starts.has_start(task, upstream_id)
        ]:
            del tasks[settled]
        if not tasks:
            del self._ends_beside_starts[upstream_id]
        elif len(self._unacknowledged[upstream_id]) < MAX_WAITING_ENDS:
            return min(number, min(tasks) - 1)
        return number

    def _is_waiting(self, job_id: str) -> bool:
        """Return whether progress of a job is in no stored commit nor in the next."""
        return (
            job_id in self._dirty_jobs
            or job_id in self._committing_jobs
            or job_id in self._oversized_jobs
        )

    def _encode_dirty_jobs(self, now: float) -> dict[str, EncodedProgress]:
        """Return the progress of the jobs that fit in one commit, ended jobs first.

        A job that has commits of its own precedes them after some shared commits.
        """
        job_ids = self._list_due(now)
        if self._shared_commits >= MAX_SHARED_COMMITS:
            job_ids.sort(key=lambda job_id: not self._is_alone(job_id))
        progress: dict[str, EncodedProgress] = {}
        entries = 0
        is_one_waiting = False
        for job_id in job_ids:
            is_final = self._jobs[job_id].is_final
            cost = ENDED_JOB_ENTRIES if is_final else OPEN_JOB_ENTRIES
            if entries + cost > self._settings.max_commit_entries:
                break
            if progress and self._is_alone(job_id):
                is_one_waiting = True
                continue
            record = self._encode(job_id)
            if record.data is None:
                continue
            if self._is_alone(job_id):
                if progress:
                    is_one_waiting = True
                    continue
                if job_id in self._large_jobs:
                    pause_s = len(record.data) / LARGE_RECORD_BYTES_PER_S
                    self._large_jobs[job_id] = now + pause_s
                self._shared_commits = 0
                return self._take_dirty({job_id: record})
            entries += cost
            progress[job_id] = record
        self._shared_commits = self._shared_commits + 1 if is_one_waiting else 0
        return self._take_dirty(progress)

    def _is_alone(self, job_id: str) -> bool:
        """Return whether a job has commits of its own."""
        return job_id in self._refusals or job_id in self._large_jobs

    def _list_due(self, now: float) -> list[str]:
        """Return the dirty jobs that a commit may hold now, ended jobs first."""
        ended, unfinished = [], []
        for job_id in list(self._dirty_jobs):
            job = self._jobs.get(job_id)
            if job is None:
                self._forget(job_id)
                continue
            refusal = self._refusals.get(job_id)
            if job_id in self._committing_jobs or (
                refusal is not None and now < refusal.retry_s
            ):
                continue
            if job.is_final:
                ended.append(job_id)
            elif now >= self._large_jobs.get(job_id, 0.0):
                unfinished.append(job_id)
        return ended + unfinished

    def _forget(self, job_id: str) -> None:
        """Forget a dirty job that has been removed."""
        del self._dirty_jobs[job_id]
        self._refusals.pop(job_id, None)
        self._large_jobs.pop(job_id, None)

    def _encode(self, job_id: str) -> EncodedProgress:
        """Return the record of a dirty job."""
        encoded = encode_within(self._jobs[job_id], self._settings.max_record_bytes)
        self._large_jobs.pop(job_id, None)
        if encoded.data is not None and len(encoded.data) > SHARED_RECORD_BYTES:
            self._large_jobs[job_id] = 0.0
        if encoded.data is None:
            del self._dirty_jobs[job_id]
            self._oversized_jobs.add(job_id)
            LOG.error("dispatch: the progress of job %s is too large to store", job_id)
        return encoded

    def _take_dirty(
        self, progress: dict[str, EncodedProgress]
    ) -> dict[str, EncodedProgress]:
        for job_id in progress:
            del self._dirty_jobs[job_id]
        return progress

    def _record_left_out(
        self, encoded: Mapping[str, EncodedProgress]
    ) -> dict[str, int]:
        """Return the number of checkpoints that jobs lack for the first time."""
        left_out = {}
        for job_id, record in encoded.items():
            job = self._jobs[job_id]
            if record.left_out and not job.lacks_checkpoints:
                job.lacks_checkpoints = True
                left_out[job_id] = record.left_out
        return left_out
