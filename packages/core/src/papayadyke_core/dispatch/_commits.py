"""Which progress is to be stored, and which ends may then be acknowledged."""

from __future__ import annotations

from collections.abc import Mapping

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


class CommitTracker:
    """Collect changed jobs into commits, one commit at a time.

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
        self._dirty_jobs: dict[str, None] = {}
        self._committing_states: dict[str, JobState] | None = None
        # Jobs whose doubts or crashes are not stored, without and with a commit of them
        # in progress.
        self._unstored_suspicions: set[str] = set()
        self._committing_suspicions: set[str] = set()

    @property
    def has_suspicions_in_progress(self) -> bool:
        """Whether the commit in progress stores doubts or crashes."""
        return bool(self._committing_suspicions)

    def mark_dirty(self, job_id: str) -> None:
        """Have the progress of a job stored."""
        self._dirty_jobs.setdefault(job_id)

    def record_suspicion(self, job_ids: set[str]) -> None:
        """Have the doubts and crashes of jobs stored."""
        for job_id in sorted(job_ids):
            if not self._jobs[job_id].is_final:
                self._dirty_jobs.setdefault(job_id)
                self._unstored_suspicions.add(job_id)

    def list_unstored_suspicions(self) -> set[str]:
        """Return the jobs whose suspects wait; none do while the store fails."""
        if self.is_store_failing:
            return set()
        return self._unstored_suspicions | self._committing_suspicions

    def begin(self, unread_ends: UnreadJobEnds) -> Commit | None:
        """Return the next commit, or None if there is nothing to commit.

        There is none either while the previous commit is in progress.
        """
        if self._committing_states is not None:
            return None
        job_ids = self._select_dirty_jobs()
        acknowledged_ends: dict[str, tuple[int, int]] = {}
        # An end may be acknowledged only once the progress that it caused is stored, so
        # there are no acknowledgements while dirty jobs are left for the next commit.
        if len(job_ids) == len(self._dirty_jobs):
            acknowledged_ends = self._list_acknowledgements(unread_ends)
        if not job_ids and not acknowledged_ends:
            return None
        progress: dict[str, bytes] = {}
        self._committing_states = {}
        for name in job_ids:
            del self._dirty_jobs[name]
            job = self._jobs.get(name)
            if job is None:
                continue
            progress[name] = encode_progress(job.snapshot_progress())
            if name in self._unstored_suspicions:
                self._unstored_suspicions.discard(name)
                self._committing_suspicions.add(name)
            self._committing_states[name] = job.state
        ended_job_ids = [
            n for n, state in self._committing_states.items() if state in FINAL_STATES
        ]
        return Commit(progress, acknowledged_ends, tuple(ended_job_ids))

    def finish(self, commit: Commit, *, is_stored: bool) -> list[str]:
        """Finish the commit in progress; return the jobs whose end it stored."""
        states, self._committing_states = self._committing_states or {}, None
        suspicions, self._committing_suspicions = self._committing_suspicions, set()
        self.is_store_failing = not is_stored
        if not is_stored:
            self._unstored_suspicions |= suspicions
            for name in states:
                self._dirty_jobs.setdefault(name)
            return []
        for name, (incarnation, number) in commit.acknowledged_ends.items():
            upstream = self._upstreams.get(name)
            if upstream is not None and upstream.incarnation == incarnation:
                upstream.acknowledged_end_number = max(
                    upstream.acknowledged_end_number, number
                )
        ended_job_ids = []
        for name, state in states.items():
            job = self._jobs.get(name)
            if job is not None and job.stored_state != state:
                job.stored_state = state
                if state in FINAL_STATES:
                    ended_job_ids.append(name)
        return ended_job_ids

    def _list_acknowledgements(
        self, unread_ends: UnreadJobEnds
    ) -> dict[str, tuple[int, int]]:
        """Return the ends to acknowledge: upstream, its incarnation and the number."""
        acknowledged_ends = {}
        for name, upstream in self._upstreams.items():
            if (
                upstream.incarnation is None
                or upstream.last_end_number <= upstream.acknowledged_end_number
            ):
                continue
            number = unread_ends.limit_acknowledgement(name, upstream.last_end_number)
            if number > upstream.acknowledged_end_number:
                acknowledged_ends[name] = (upstream.incarnation, number)
        return acknowledged_ends

    def _select_dirty_jobs(self) -> list[str]:
        """Return the dirty jobs whose progress fits in one commit."""
        job_ids: list[str] = []
        entries = 0
        for name in self._dirty_jobs:
            job = self._jobs.get(name)
            is_final = job is not None and job.is_final
            entries += ENDED_JOB_ENTRIES if is_final else OPEN_JOB_ENTRIES
            if entries > self._settings.max_commit_entries:
                break
            job_ids.append(name)
        return job_ids
