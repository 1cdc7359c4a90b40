"""Which occurrences of repeated jobs are held in memory: those due and not done.

A repeated job may have 100,000 occurrences, most of them due in months. An occurrence
is open, with the state of each of its tasks, from its due time until it is done. Of the
others only the ranges that are done are known. Of those that are due at the same time
only some are open, the earliest first; the others follow as these are done.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterator
from heapq import heapify, heappop, heappush

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._spec import MAX_OPEN_STEPS_PER_JOB

# Steps of open occurrences of all repeated jobs, which share them; a step takes 1.7 kB.
# A job whose share is smaller than an occurrence may have one open.
MAX_OPEN_STEPS = 5_000


class OccurrenceWindow:
    """Open the occurrences of repeated jobs as they become due.

    All times are wall-clock times in seconds.

    Parameters
    ----------
    early_start_s : float
        How long before its due time an occurrence may start.

    Attributes
    ----------
    open_steps : dict of str to int
        Steps of the open occurrences of each repeated job that has some.
    """

    def __init__(self, early_start_s: float) -> None:
        self.open_steps: dict[str, int] = {}
        self._early_start_s = early_start_s
        # When the next occurrence of each job becomes due, and how many of these
        # entries are of jobs that have ended.
        self._next_due: list[tuple[float, int, StagedJob]] = []
        self._entry_numbers = itertools.count()
        self._ended_entries = 0
        # Jobs with occurrences that are due and not open, in the order of their turns.
        self._turns: deque[StagedJob] = deque()
        self._has_turn: set[str] = set()

    def add(self, job: StagedJob) -> None:
        """Add a repeated job; occurrences may already be open."""
        self.update(job)
        self._schedule_next(job)

    def remove(self, job: StagedJob) -> None:
        """Remove a job that has ended."""
        self.open_steps.pop(job.job_id, None)
        self._ended_entries += 1
        if self._ended_entries > len(self._next_due) // 2:
            # Those that were due in the far future must not remain in memory.
            self._next_due = [row for row in self._next_due if not row[2].is_final]
            heapify(self._next_due)
            self._ended_entries = 0

    def update(self, job: StagedJob) -> None:
        """Record how many steps of a repeated job are open."""
        if job.steps:
            self.open_steps[job.job_id] = len(job.steps)
        else:
            self.open_steps.pop(job.job_id, None)

    def advance(self, wall_s: float) -> Iterator[tuple[StagedJob, int]]:
        """Open occurrences that are due; yield each that may start from now on."""
        reached_s = wall_s + self._early_start_s
        while self._next_due and self._next_due[0][0] <= reached_s:
            _, _, job = heappop(self._next_due)
            if job.is_final:
                self._ended_entries = max(0, self._ended_entries - 1)
                continue
            due_before, job.due_count = job.due_count, job.count_due(reached_s)
            for occurrence in job.list_open_occurrences():
                # A run of it was reported before it became due on this VM's clock.
                if due_before <= occurrence < job.due_count:
                    yield job, occurrence
            self._schedule_next(job)
            if job.job_id not in self._has_turn:
                self._has_turn.add(job.job_id)
                self._turns.append(job)
        yield from self._take_turns()

    def _schedule_next(self, job: StagedJob) -> None:
        due_s = job.due_wall_s(job.due_count)
        if due_s is not None and job.due_count < job.occurrences:
            heappush(self._next_due, (due_s, next(self._entry_numbers), job))

    def _take_turns(self) -> Iterator[tuple[StagedJob, int]]:
        """Open one occurrence of each job in turn while there is room for its steps."""
        idle_turns = 0
        while idle_turns < len(self._turns):
            job = self._turns.popleft()
            occurrence = None if job.is_final else job.find_next_due()
            if occurrence is None:
                self._has_turn.discard(job.job_id)
                continue
            self._turns.append(job)
            if not self._has_room(job):
                idle_turns += 1
                continue
            idle_turns = 0
            job.open_occurrence(occurrence)
            self.update(job)
            yield job, occurrence

    def _has_room(self, job: StagedJob) -> bool:
        if not job.steps:
            return True
        share = MAX_OPEN_STEPS // len(self.open_steps)
        return len(job.steps) + len(job.spec.steps) <= min(
            share, MAX_OPEN_STEPS_PER_JOB
        )
