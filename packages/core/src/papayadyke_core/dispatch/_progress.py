"""Stored progress of a job, from which the next decider resumes."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from papayadyke_core.dispatch._index_set import IndexRows, IndexSet

MAX_FAILED_TASKS = 1_000  # from which on tasks are stored by their failed attempts


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED})


class LostContact(msgspec.Struct, array_like=True, frozen=True):
    """Loss of contact with an upstream, or its crash, under a run.

    Parameters
    ----------
    upstream_id : str
    incarnation : int
        Incarnation of the upstream that was lost.
    is_certain : bool
        Whether the run was known to have started there and, of a crash, the upstream
        to have crashed. A start may be unanswered, and an upstream may not come back.
    """

    upstream_id: str
    incarnation: int
    is_certain: bool = True


class StepProgress(msgspec.Struct, array_like=True):
    """Progress of one step of one occurrence.

    Parameters
    ----------
    done : list of int or (int, int)
        Tasks that are done; of several in a row the first and the last one.
    failed : dict of int to list of int
        Failed attempts of each task.
    checkpoints : dict of int to str
        Last checkpoint of each task.
    crashes : dict of int to list of LostContact
        Crashes of upstreams that count against each task.
    doubts : dict of int to list of LostContact
        Upstreams that may have crashed under each task.
    runs : dict of int to LostContact
        Upstreams on which some of the tasks were running. A successor cannot know
        whether they crashed before it began.
    unanswered : dict of int to str
        Upstream of each task whose start got no answer and may still be carried out;
        empty for several.
    failed_rows : list of (list of int, list of int or (int, int))
        Failed attempts and the tasks that have them, as in `done`, in place of `failed`
        if these are many.
    """

    done: IndexRows = []
    failed: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, list[LostContact]] = {}
    doubts: dict[int, list[LostContact]] = {}
    runs: dict[int, LostContact] = {}
    unanswered: dict[int, str] = {}
    failed_rows: list[tuple[list[int], IndexRows]] = []

    def read_failed(self, stop: int) -> dict[int, list[int]]:
        """Return the failed attempts of each task below `stop`."""
        failed = {index: list(n) for index, n in self.failed.items() if index < stop}
        for attempts, rows in self.failed_rows:
            for index in IndexSet.from_rows(rows, stop):
                failed[index] = list(attempts)
        return failed


class JobProgress(msgspec.Struct):
    """Progress of a job.

    Parameters
    ----------
    state : JobState
    ended_s : float
        Wall-clock time of the final state, in seconds; 0 before.
    steps : dict of str to StepProgress
        By "occurrence.step"; steps without progress, and those of occurrences that
        are done, are absent. Empty once the state is final.
    team : str
        Team that the job belongs to; empty for none.
    done_occurrences : list of int or (int, int)
        Occurrences that are done; of several in a row the first and the last one.
    """

    state: JobState
    ended_s: float = 0.0
    steps: dict[str, StepProgress] = {}
    team: str = ""
    done_occurrences: IndexRows = []


def group_failed(
    failed: Mapping[int, list[int]],
) -> list[tuple[list[int], IndexRows]]:
    """Return the sets of failed attempts, and the tasks that have each of them."""
    groups: dict[tuple[int, ...], list[int]] = {}
    for index, attempts in failed.items():
        groups.setdefault(tuple(attempts), []).append(index)
    rows = []
    for numbers, indexes in groups.items():
        tasks = IndexSet()
        for index in sorted(indexes):
            tasks.add(index)
        rows.append((list(numbers), tasks.list_rows()))
    return rows


def encode_progress(progress: JobProgress) -> bytes:
    """Encode progress as a stored record."""
    return msgspec.json.encode(progress)


def decode_progress(data: bytes) -> JobProgress:
    """Decode a stored progress record.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a progress record.
    """
    return msgspec.json.decode(data, type=JobProgress)
