"""Estimate of the memory that accepted jobs take on the VM that decides."""

from __future__ import annotations

from papayadyke_core.dispatch._spec import StagedJobSpec

# Bytes of a job without its steps, and of a step with its declaration and the state of
# its tasks. The tasks of a step are stored as ranges, so their number does not count.
JOB_BYTES = 3_000
STEP_BYTES = 2_900
ENDED_JOB_BYTES = 2_000  # of a job that has ended and is kept for questions


def estimate_job_bytes(spec: StagedJobSpec) -> int:
    """Return the memory that a job takes until it ends, in bytes.

    One occurrence of a repeated job counts: the open occurrences of all of them share a
    fixed number of steps; see `OccurrenceWindow`.

    Parameters
    ----------
    spec : StagedJobSpec
    """
    return JOB_BYTES + len(spec.payload) + STEP_BYTES * len(spec.steps)


def estimate_ended_bytes(spec: StagedJobSpec) -> int:
    """Return the memory that a job takes after its end, in bytes.

    Parameters
    ----------
    spec : StagedJobSpec
    """
    return min(ENDED_JOB_BYTES, estimate_job_bytes(spec))
