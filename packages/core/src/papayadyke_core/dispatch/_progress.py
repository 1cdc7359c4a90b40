"""Stored progress of a job, from which the next decider resumes."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED})


class StepProgress(msgspec.Struct, array_like=True):
    """Progress of one step of one occurrence.

    Parameters
    ----------
    done : list of int
        Tasks that are done.
    failed : dict of int to list of int
        Failed attempts of each task.
    checkpoints : dict of int to str
        Last checkpoint of each task.
    """

    done: list[int] = []
    failed: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}


class JobProgress(msgspec.Struct):
    """Progress of a job.

    Parameters
    ----------
    state : JobState
    ended_s : float
        Wall-clock time of the final state, in seconds; 0 before.
    steps : dict of str to StepProgress
        By "occurrence.step"; steps without progress are absent. Empty once the
        state is final.
    """

    state: JobState
    ended_s: float = 0.0
    steps: dict[str, StepProgress] = {}


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
