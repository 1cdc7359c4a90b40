"""Answers to operators about the state of the daemon and of the cell."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from functools import reduce
from operator import add

from result import Err, Result

from papayadyke_clients.operators import (
    Explanation,
    QueueStatus,
    RefusedCount,
    RefusedRequest,
    RefusedView,
    StatusView,
    UpstreamStatus,
    VmStatus,
)
from papayadyke_clients.store import StoreError
from papayadyke_clients.upstream import read_demand
from papayadyke_core.membership import Member, Snapshot
from papayadyke_core.resources import ZERO_RESOURCES
from papayadyke_core.scheduling import LoadSummary, WorkloadLoad
from papayadyke_core.slo import Bucket, BurnReport
from papayadyke_core.slo import RefusedRequest as KeptRefusal
from papayadyke_core.verdicts import Reason, Verdict
from papayadyke_core.workloads import Config
from papayadyke_daemon.fleet import Fleet
from papayadyke_daemon.levels import LevelArchive
from papayadyke_daemon.serving import RequestHistory, RequestRecord

# Minutes are summed, and their refused requests dropped, shortly after the end of
# their hour.
EXPLAIN_WINDOW_S = 3600.0 + 120.0


class DaemonBackend:
    """Answer the requests of operators; any thread may call.

    Parameters
    ----------
    vm, availability_zone : str
    config : callable
        Returns the configuration in force.
    load : callable
        Returns the `LoadSummary` of this VM.
    fleet : Fleet
    snapshot : callable
        Returns the `Snapshot` of the membership, or None.
    history : RequestHistory
    ask_peers : callable
        Takes a request id and returns the first record that a peer has.
    archive : LevelArchive
    is_store_reachable : callable, optional
        Asks the store whether it answers; None where that is not known.
    """

    def __init__(
        self,
        *,
        vm: str,
        availability_zone: str,
        config: Callable[[], Config],
        load: Callable[[], LoadSummary],
        fleet: Fleet,
        snapshot: Callable[[], Snapshot | None],
        history: RequestHistory,
        ask_peers: Callable[[str], RequestRecord | None],
        archive: LevelArchive,
        is_store_reachable: Callable[[], bool | None] = lambda: None,
    ) -> None:
        self.vm = vm
        self.availability_zone = availability_zone
        self.config = config
        self.load = load
        self.fleet = fleet
        self.snapshot = snapshot
        self.history = history
        self.ask_peers = ask_peers
        self.archive = archive
        self.is_store_reachable = is_store_reachable

    def read_status(self) -> StatusView:
        """Return VMs, upstreams and queues."""
        config = self.config()
        load = self.load()
        return StatusView(
            vm=self.vm,
            config_revision=config.revision,
            in_force=config.in_force,
            store_reachable=self.is_store_reachable(),
            vms=self._list_vms(config, load),
            upstreams=self._list_upstreams(),
            queues=[_show_queue(item) for item in load.workloads],
        )

    def explain(self, request_id: str) -> Explanation | None:
        """Return the outcome of a request, or None if it is unknown.

        This VM is asked first, then its peers, then the store, which keeps the
        refusals of VMs that are gone.
        """
        record = self.history.find(request_id) or self.ask_peers(request_id)
        if record is not None:
            return _explain_record(record)
        refused = self.archive.read_refused(time.time() - EXPLAIN_WINDOW_S)
        found = [
            item for item in refused.unwrap_or([]) if item.request_id == request_id
        ]
        return _explain_refusal(found[-1]) if found else None

    def list_refused(
        self, workload: str, *, since_unix_s: float, limit: int
    ) -> RefusedView:
        """Return the refused requests; an empty workload stands for all."""
        oldest = time.time() - EXPLAIN_WINDOW_S
        since = max(since_unix_s, oldest)
        found = self.archive.read_buckets(since)
        if isinstance(found, Err):
            return RefusedView(
                counts=[],
                requests=[],
                is_complete=False,
                detail=f"the store does not answer: {found.err_value.detail}",
            )
        return _list_refused(
            found.ok_value, workload, since, limit, is_cut=since > since_unix_s
        )

    def read_burn(self, window_s: int) -> Result[BurnReport, StoreError]:
        """Return the report on service-level burn over all VMs."""
        return self.archive.read_report(time.time(), window_s)

    def _list_vms(self, config: Config, load: LoadSummary) -> list[VmStatus]:
        own = VmStatus(
            name=self.vm,
            availability_zone=self.availability_zone,
            state="live",
            config_revision=config.revision,
            queued=sum(item.queued for item in load.workloads),
            running=sum(item.running for item in load.workloads),
            upstreams=len(self.fleet.list_held()),
        )
        snapshot = self.snapshot()
        if snapshot is None:
            return [own]
        others = [
            self._show_member(member)
            for member in snapshot.members
            if member.vm != self.vm
        ]
        return [own, *others]

    def _show_member(self, member: Member) -> VmStatus:
        return VmStatus(
            name=member.vm,
            availability_zone=self.availability_zone,
            state=member.state,
            config_revision=member.config_revision,
            queued=member.load.queued,
        )

    def _list_upstreams(self) -> list[UpstreamStatus]:
        return [self._show_upstream(name) for name in self.fleet.list_names()]

    def _show_upstream(self, name: str) -> UpstreamStatus:
        agent = self.fleet.find(name)
        report = agent.report if agent is not None and agent.is_held() else None
        if report is None:
            return UpstreamStatus(
                name=name,
                availability_zone=self.availability_zone,
                rack="",
                owner="",
                state="not held here",
            )
        spec = report.spec.to_spec()
        used = reduce(
            add, (read_demand(task) for task in report.running), ZERO_RESOURCES
        )
        free = spec.capacity - used
        return UpstreamStatus(
            name=name,
            availability_zone=spec.availability_zone,
            rack=spec.rack,
            owner=self.vm,
            state="leaving" if report.leaving else "held",
            running=len(report.running),
            slots=spec.slots,
            free_cpu_millis=free.cpu_millis,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
        )


def _show_queue(item: WorkloadLoad) -> QueueStatus:
    return QueueStatus(
        workload=item.workload,
        queued=item.queued,
        running=item.running,
        started_total=item.started_total,
        refused_total=item.refused_total,
        held_cpu_millis=item.held.cpu_millis,
        held_memory_mb=item.held.memory_mb,
        held_accelerators=item.held.accelerators,
    )


def _explain_record(record: RequestRecord) -> Explanation:
    refusal = record.refusal
    lines = [f"It was received for {record.workload}."]
    if record.attempts:
        lines.append(f"It was started {record.attempts} time(s).")
    if refusal is None:
        lines.append(
            f"It waited {record.wait_s:.3f} s and ran {record.run_s:.3f} s at "
            f"{record.upstream}."
        )
        lines.append(f"It was answered with status {record.http_status}.")
    else:
        lines.append(refusal.detail)
        lines += _explain_holders(refusal.holders)
    return Explanation(
        request_id=record.request_id,
        workload=record.workload,
        state=record.state,
        verdict=None if refusal is None else refusal.verdict,
        reason=None if refusal is None else refusal.reason,
        lines=lines,
    )


def _explain_refusal(item: KeptRefusal) -> Explanation:
    lines = [
        item.detail,
        f"Preset {item.preset} at revision {item.revision} was in force.",
        *_explain_holders(item.holders),
    ]
    return Explanation(
        request_id=item.request_id,
        workload=item.workload,
        state="refused",
        verdict=Verdict(item.verdict),
        reason=Reason(item.reason),
        lines=lines,
    )


def _explain_holders(holders: tuple[str, ...]) -> list[str]:
    return [f"The capacity was held by {', '.join(holders)}."] if holders else []


def _list_refused(
    buckets: list[Bucket], workload: str, since: float, limit: int, *, is_cut: bool
) -> RefusedView:
    counts: Counter[tuple[str, str]] = Counter()
    requests: list[RefusedRequest] = []
    for bucket in buckets:
        for name, item in bucket.workloads.items():
            if workload in ("", name):
                for reason, count in [
                    *item.refused.items(),
                    *item.may_have_run.items(),
                ]:
                    counts[name, reason] += count
        requests += [
            _show_refused(kept)
            for kept in bucket.refused
            if kept.at >= since and workload in ("", kept.workload)
        ]
    requests.sort(key=lambda item: item.at_unix_s, reverse=True)
    detail = "counts are of whole minutes; the minute under way is not in them"
    if is_cut:
        detail += "; requests are kept for an hour, older ones are only counted"
    return RefusedView(
        counts=[
            RefusedCount(name, Reason(reason), count)
            for (name, reason), count in sorted(counts.items())
        ],
        requests=requests[:limit],
        is_complete=not is_cut,
        detail=detail,
    )


def _show_refused(kept: KeptRefusal) -> RefusedRequest:
    return RefusedRequest(
        request_id=kept.request_id,
        workload=kept.workload,
        at_unix_s=kept.at,
        verdict=Verdict(kept.verdict),
        reason=Reason(kept.reason),
        detail=kept.detail,
        holders=list(kept.holders),
        preset=kept.preset,
        revision=kept.revision,
    )
