"""Choice of the Retry-After time for callers whose job was refused."""

from __future__ import annotations

import math

from papayadyke_core.dispatch._spec import (
    QueuePolicy,
    StagedJobSpec,
    find_critical_path_s,
)

# Retries that a caller makes after a refusal, according to the users' data sheets.
CALLER_RETRIES = 4
# Share of a job's allowed time over which its caller's retries are spread. The rest
# remains for running the job.
WAITING_SHARE = 0.5
MIN_RETRY_AFTER_S = 1  # seconds; a lost store or decider rarely recovers sooner
MAX_RETRY_AFTER_S = 5  # seconds; longer than the usual outage of the store


def choose_retry_after(spec: StagedJobSpec, queue: QueuePolicy) -> int:
    """Return the time after which to resubmit a refused job, in seconds.

    A short job is useful only if it is retried at once. The caller of a long job
    should spread its few retries over an outage instead of using them all in the
    first seconds.

    Parameters
    ----------
    spec : StagedJobSpec
    queue : QueuePolicy
    """
    critical_path_s = find_critical_path_s(
        spec.steps, [step.estimate_s for step in spec.steps]
    )
    allowed_s = queue.stretch * critical_path_s + queue.allowance_s
    wait_s = math.floor(allowed_s * WAITING_SHARE / CALLER_RETRIES)
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
