"""Which progress is to be stored, and which ends may then be acknowledged.

The ends of jobs are stored before the progress of open jobs, since callers wait for
them. Several commits may be in progress at a time, each of other jobs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._messages import Commit
from papayadyke_core.dispatch._progress import (
    FINAL_STATES,
    JobState,
    encode_progress,
)
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._unread import UnreadJobEnds
from papayadyke_core.dispatch._upstream import Upstream

# Store entries of one job in a commit: the condition and the progress, and for an ended
# job also the removal of the job and of its cancellation.
OPEN_JOB_ENTRIES = 2
ENDED_JOB_ENTRIES = 4


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
    ) -> None:
        self.is_store_failing = False
        self._settings = settings
        self._jobs = jobs
        self._upstreams = upstreams
        # Jobs to store, in the order in which they changed.
        self._dirty_jobs: dict[str, None] = {}
        self._in_progress: dict[int, _CommitInProgress] = {}
        self._committing_jobs: set[str] = set()
        self._commits = 0
        # Ends that are processed and not acknowledged, by upstream in their order.
        self._unacknowledged: dict[str, deque[tuple[int, str]]] = {}
        # Jobs whose doubts or crashes are in no stored or begun commit.
        self._unstored_suspicions: set[str] = set()

    @property
    def has_ended_jobs(self) -> bool:
        """Whether the end of a job waits for a commit."""
        return any(True for _ in self._iterate_dirty(is_final=True))

    def mark_dirty(self, job_id: str) -> None:
        """Have the progress of a job stored."""
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

    def record_end(self, upstream_id: str, number: int, job_id: str) -> None:
        """Record an end that is to be acknowledged once its job is stored."""
        ends = self._unacknowledged.setdefault(upstream_id, deque())
        ends.append((number, job_id))

    def forget_ends(self, upstream_id: str) -> None:
        """Forget the ends of an upstream, which no longer lists them."""
        self._unacknowledged.pop(upstream_id, None)

    def begin(self, unread_ends: UnreadJobEnds) -> Commit | None:
        """Return the next commit, or None if there is nothing to commit."""
        job_ids = self._select_dirty_jobs()
        for job_id in job_ids:
            del self._dirty_jobs[job_id]
        begun = _CommitInProgress()
        acknowledged_ends = self._take_acknowledgements(begun, unread_ends)
        progress: dict[str, bytes] = {}
        for job_id in job_ids:
            job = self._jobs.get(job_id)
            if job is not None:
                progress[job_id] = encode_progress(job.snapshot_progress())
                begun.states[job_id] = job.state
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
        return Commit(progress, acknowledged_ends, tuple(ended_job_ids), self._commits)

    def finish(self, commit: Commit, *, is_stored: bool) -> list[str]:
        """Finish a commit in progress; return the jobs whose end it stored."""
        begun = self._in_progress.pop(commit.number)
        self._committing_jobs -= begun.states.keys()
        self.is_store_failing = not is_stored
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
        all ends of an upstream while a commit in progress covers earlier ones.
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
            taken = []
            while ends and ends[0][0] <= limit and not self._is_waiting(ends[0][1]):
                taken.append(ends.popleft())
            if taken:
                begun.ends[name] = upstream.incarnation, taken
                acknowledged_ends[name] = (upstream.incarnation, taken[-1][0])
        return acknowledged_ends

    def _is_waiting(self, job_id: str) -> bool:
        """Return whether progress of a job is in no stored commit nor in the next."""
        return job_id in self._dirty_jobs or job_id in self._committing_jobs

    def _select_dirty_jobs(self) -> list[str]:
        """Return the jobs whose progress fits in one commit, ended jobs first."""
        job_ids: list[str] = []
        entries = 0
        for is_final, cost in ((True, ENDED_JOB_ENTRIES), (False, OPEN_JOB_ENTRIES)):
            for job_id in self._iterate_dirty(is_final=is_final):
                if entries + cost > self._settings.max_commit_entries:
                    return job_ids
                entries += cost
                job_ids.append(job_id)
        return job_ids

    def _iterate_dirty(self, *, is_final: bool) -> Iterator[str]:
        """Yield the dirty jobs that are in no commit and have ended, or have not."""
        for job_id in self._dirty_jobs:
            if job_id in self._committing_jobs:
                continue
            job = self._jobs.get(job_id)
            if (job is not None and job.is_final) == is_final:
                yield job_id
