"""When a caller whose job was refused should come back."""

from __future__ import annotations

import math

from papayadyke_core.dispatch._spec import (
    QueuePolicy,
    StagedJobSpec,
    find_critical_path_s,
)

# Tries that a caller makes after a refusal, by the users' sheets.
CALLER_RETRIES = 4
# Share of the time that a job may take which its caller's tries should outlast.
# The rest is left for the job to run in.
WAITING_SHARE = 0.5
MIN_RETRY_AFTER_S = (
    1  # seconds; a store or a decider that was lost is rarely back before
)
MAX_RETRY_AFTER_S = 5  # seconds; past the usual outage of the store


def choose_retry_after(spec: StagedJobSpec, queue: QueuePolicy) -> int:
    """Return after how many seconds a refused job should be handed in again.

    A short check is worth something only if it comes back at once; a long job
    should spread its few tries over an outage instead of spending them all in
    its first seconds.

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
