"""Keep the stored progress of a job within one value of the store.

The tasks that are done and the failed attempts are always stored. What a later decider
can do without is left out where it does not fit: most checkpoints, and then what is
known of crashes. An upstream lists the checkpoints of the tasks that it runs as well.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import msgspec

from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._progress import JobProgress, encode_progress
from papayadyke_core.dispatch._spec import MAX_OPEN_STEPS_PER_JOB, StagedJobSpec

CHECKPOINT_SHARE = 0.25  # of a record, for checkpoints
# Encoded size of a checkpoint without its text: the number of the task, and quotes.
CHECKPOINT_BYTES = 12
# Encoded size of a task that is done or has failed, where ranges do not shorten it, of
# a step, and of the other fields, in bytes.
TASK_BYTES, STEP_BYTES, JOB_BYTES = 7, 60, 500
# Fields of a step that are left out of a record that is too large, one after the other.
OPTIONAL_FIELDS = ("runs", "doubts", "checkpoints", "crashes")

# Checkpoints to store, by occurrence and step and by the number of the task.
Checkpoints = dict[tuple[int, int], dict[int, str]]


@dataclass(frozen=True, slots=True)
class EncodedProgress:
    """Stored record of a job.

    Parameters
    ----------
    data : bytes or None
        None if the record does not fit.
    left_out : int
        Number of checkpoints that it lacks.
    """

    data: bytes | None
    left_out: int = 0


def encode_within(job: StagedJob, max_bytes: int) -> EncodedProgress:
    """Encode the progress of a job in at most `max_bytes`."""
    if job.is_final:
        return EncodedProgress(encode_progress(job.snapshot_progress()))
    chosen, left_out = _choose_checkpoints(job, int(CHECKPOINT_SHARE * max_bytes))
    progress = job.snapshot_progress(chosen)
    data = encode_progress(progress)
    for count in range(1, len(OPTIONAL_FIELDS) + 1):
        if len(data) <= max_bytes:
            return EncodedProgress(data, left_out)
        names = OPTIONAL_FIELDS[:count]
        if "checkpoints" in names:
            left_out = sum(len(step.checkpoints) for step in job.steps.values())
        data = encode_progress(_leave_out(progress, names))
    return EncodedProgress(data if len(data) <= max_bytes else None, left_out)


def estimate_record_bytes(spec: StagedJobSpec) -> int:
    """Return the most that the progress of a job must hold, in bytes.

    Parameters
    ----------
    spec : StagedJobSpec
    """
    occurrences = 1 if spec.repeat is None else spec.repeat.count
    steps = min(len(spec.steps) * occurrences, MAX_OPEN_STEPS_PER_JOB)
    steps = max(steps, len(spec.steps))
    tasks = spec.task_count * occurrences
    return JOB_BYTES + STEP_BYTES * steps + TASK_BYTES * tasks


def _choose_checkpoints(
    job: StagedJob, max_bytes: int
) -> tuple[Checkpoints | None, int]:
    """Return the checkpoints to store, None for all, and the number of the others."""
    size = sum(
        len(text) + CHECKPOINT_BYTES
        for step in job.steps.values()
        for text in step.checkpoints.values()
    )
    if size <= max_bytes:
        return None, 0
    chosen: Checkpoints = {}
    left_out, room = 0, max_bytes
    for key, step, index in _iterate_checkpoints(job.steps):
        text = step.checkpoints[index]
        room -= len(text) + CHECKPOINT_BYTES
        if room < 0:
            left_out += 1
        else:
            chosen.setdefault(key, {})[index] = text
    return chosen, left_out


def _iterate_checkpoints(
    steps: Mapping[tuple[int, int], StepRun],
) -> Iterator[tuple[tuple[int, int], StepRun, int]]:
    """Yield each task with a checkpoint, those that do not run first."""
    for is_live in (False, True):
        for key, step in steps.items():
            for index in step.checkpoints:
                if (index in step.live) == is_live:
                    yield key, step, index


def _leave_out(progress: JobProgress, names: tuple[str, ...]) -> JobProgress:
    empty: dict[str, object] = {name: {} for name in names}
    steps = {
        name: msgspec.structs.replace(step, **empty)
        for name, step in progress.steps.items()
    }
    return msgspec.structs.replace(progress, steps=steps)
