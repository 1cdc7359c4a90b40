"""Admission checks whose result is known when a request is submitted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from papayadyke_core.admission import AdmissionSettings
from papayadyke_core.scheduling._cluster_state import ClusterState
from papayadyke_core.scheduling._types import Request
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import Kind

_ROUNDING_TOLERANCE = 1e-9
_MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class RefusalCause:
    """Cause for which a request is refused.

    Parameters
    ----------
    reason : Reason
    detail : str
        Explanation for the caller.
    retry_after_s : float or None, default=None
        Time in seconds after which a retry may be admitted.
    """

    reason: Reason
    detail: str
    retry_after_s: float | None = None


AdmissionCheck = Callable[
    [ClusterState, WorkloadState, Request, float], RefusalCause | None
]


def check_request(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    """Return the cause for refusing a request, or None if it is admitted.

    The cheapest checks run first, because most requests of a flood fail them.
    """
    for check in _CHECKS:
        cause = check(cluster, state, req, now)
        if cause is not None:
            return cause
    return None


def _check_well_formed(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    if req.tasks < 1 or req.attempt < 1:
        return RefusalCause(Reason.BAD_REQUEST, "tasks and attempt start at 1")
    for queued in cluster.queued_by_id.get(req.id, ()):
        if queued.attempt == req.attempt:
            return RefusalCause(Reason.BAD_REQUEST, "the same attempt waits already")
    return None


def _check_deadline_ahead(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    if req.deadline_s > now:
        return None
    return RefusalCause(Reason.EXPIRED, "the deadline had passed on arrival")


def _check_admitted(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    if state.rule.admit:
        return None
    return RefusalCause(
        Reason.NOT_ADMITTED, f"the preset in force admits no {state.name}"
    )


def _check_queue_limit(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    queued = len(state.queue)
    if queued < state.queue_limit:
        return None
    return RefusalCause(
        Reason.QUEUE_FULL,
        f"{queued} requests of {state.name} wait, which is its limit",
        _queue_wait_s(cluster, state, now),
    )


def _check_deadline_reachable(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    if cluster.fleet.slots == 0:
        return None
    wait_s = state.service_rate.wait_s(state.queue.tasks, now)
    left_s = req.deadline_s - now
    margin = cluster.settings.admission.deadline_margin
    if wait_s is None or wait_s <= left_s * margin:
        return None
    return RefusalCause(
        Reason.DEADLINE_UNREACHABLE,
        f"a wait of {wait_s:.2f} s is expected and {left_s:.2f} s are left",
        max(wait_s - left_s, _MIN_RETRY_AFTER_S),
    )


def _check_can_run(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    account = state.account
    tasks = req.tasks if account.kind is Kind.GANG else 1
    if not cluster.upstream_specs or cluster.fleet.can_ever_fit(
        account.demand, tasks=tasks
    ):
        return None
    if cluster.fits_lost_upstreams(account.demand, tasks, now):
        return None
    demand_text = f"{tasks} tasks at once" if tasks > 1 else "a task"
    return RefusalCause(
        Reason.CAN_NEVER_RUN, f"no upstreams could hold {demand_text} of {state.name}"
    )


def _check_gang_limits(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    account = state.account
    size = cluster.shares.size
    if account.kind is not Kind.GANG or req.tasks == 1 or size.slots == 0:
        return None
    ceiling = account.ceiling
    max_share = min(ceiling, account.team.team.quota)
    share = size.dominant_share(account.demand * req.tasks, req.tasks)
    if max_share >= 1.0 or share <= max_share + _ROUNDING_TOLERANCE:
        return None
    limit_name = "ceiling" if ceiling == max_share else "team's quota"
    return RefusalCause(
        Reason.QUOTA_EXCEEDED, f"all tasks at once are more than the {limit_name}"
    )


def _check_fails_everywhere(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    if req.attempt == 1 or not cluster.health.is_failing_everywhere(req.id):
        return None
    return RefusalCause(Reason.FAILS_EVERYWHERE, "it failed on each upstream it was on")


def _check_retry_budget(
    cluster: ClusterState, state: WorkloadState, req: Request, now: float
) -> RefusalCause | None:
    if req.attempt == 1 or state.retry_budget.try_spend_retry():
        return None
    return RefusalCause(
        Reason.NO_CAPACITY,
        f"the retries of {state.name} have used up their budget",
        _queue_wait_s(cluster, state, now),
    )


_CHECKS: tuple[AdmissionCheck, ...] = (
    _check_admitted,
    _check_queue_limit,
    _check_well_formed,
    _check_deadline_ahead,
    _check_deadline_reachable,
    _check_can_run,
    _check_gang_limits,
    _check_fails_everywhere,
    _check_retry_budget,
)


def _queue_wait_s(cluster: ClusterState, state: WorkloadState, now: float) -> float:
    """Return the expected wait, in seconds, at the end of the queue.

    The default hint is returned as long as the rate of starts is unknown.
    """
    wait_s = state.service_rate.wait_s(state.queue.tasks, now)
    if wait_s is None:
        return cluster.settings.admission.default_retry_after_s
    return max(wait_s, _MIN_RETRY_AFTER_S)


def flood_refusal_cause(
    state: WorkloadState, now: float, *, settings: AdmissionSettings
) -> RefusalCause:
    """Return the cause for refusing a request that cannot start during a flood.

    The retry hint is the age of the flood, which is expected to last as long again
    as it has lasted so far.
    """
    arrival_rate = state.flood.arrival_rate
    start_rate = state.flood.start_rate
    age_s = state.flood.age_s(now)
    return RefusalCause(
        Reason.QUEUE_FULL,
        f"{arrival_rate:.0f} requests of {state.name} arrive each second and "
        f"{start_rate:.0f} can start, so none is queued",
        min(max(age_s, _MIN_RETRY_AFTER_S), settings.max_retry_after_s),
    )


def to_refusal(
    cause: RefusalCause, *, may_have_run: bool, holders: tuple[str, ...]
) -> Refusal:
    """Build the refusal that is sent to the caller."""
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    return Refusal(
        verdict=verdict,
        reason=cause.reason,
        detail=cause.detail,
        retry_after_s=cause.retry_after_s,
        holders=holders,
    )
