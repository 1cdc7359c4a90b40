"""Choice of the Retry-After time for callers whose job was refused."""

from __future__ import annotations

import math
from zlib import crc32

from papayadyke_core.dispatch._spec import (
    QueuePolicy,
    StagedJobSpec,
    find_critical_path_s,
)

# Retries that a caller makes after a refusal, according to the users' data sheets.
CALLER_RETRIES = 4
MIN_RETRY_AFTER_S = 1  # seconds; a lost store or decider rarely recovers sooner
MAX_RETRY_AFTER_S = 3  # seconds; usual outages of the store last 3 to 6 s
# Seconds; with this or more the four retries outlast an outage of 6 s.
MIN_LONG_RETRY_AFTER_S = 2


def choose_retry_after(spec: StagedJobSpec, queue: QueuePolicy) -> int:
    """Return the time after which to resubmit a refused job, in seconds.

    A short job is useful only if it is retried at once. The caller of a long job
    should spread its few retries over an outage instead of using them all in the
    first seconds. The times of long jobs differ by a hash of their ids, so that not
    all callers return at once; those of priority 0 return first.

    Parameters
    ----------
    spec : StagedJobSpec
    queue : QueuePolicy
    """
    critical_path_s = find_critical_path_s(
        spec.steps, [step.estimate_s for step in spec.steps]
    )
    slack_s = (queue.stretch - 1.0) * critical_path_s + queue.allowance_s
    longest_s = math.floor(slack_s / CALLER_RETRIES)
    longest_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, longest_s))
    if longest_s < MIN_LONG_RETRY_AFTER_S:
        return MIN_RETRY_AFTER_S
    if queue.priority == 0:
        return MIN_LONG_RETRY_AFTER_S
    choices = longest_s - MIN_LONG_RETRY_AFTER_S + 1
    return MIN_LONG_RETRY_AFTER_S + crc32(spec.job_id.encode()) % choices
