"""Simulated VM that connects the ownership components as the daemon does."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from papayadyke_core.membership import (
    Identity,
    Load,
    Membership,
    MembershipSettings,
    MemberState,
    Snapshot,
)
from papayadyke_core.ownership import (
    OpenRequest,
    OwnershipPlan,
    Planner,
    ProposalSettings,
    ReachabilitySettings,
    ReachabilityTracker,
    RecordProposer,
    ReleaseRequest,
    Session,
    SessionGrant,
    SessionRefusal,
    SessionSettings,
    StartPermit,
    ZoneRecord,
    available_owners,
    unreached_upstreams,
)
from papayadyke_standins.ownership_world._clock import DriftingClock
from papayadyke_standins.ownership_world._upstream import WorldUpstream

if TYPE_CHECKING:
    from papayadyke_standins.ownership_world._world import World

PEER_PULL_PERIOD_S = 3.0
STORE_READ_PERIOD_S = 10.0
RECONCILE_PERIOD_S = 2.0


class Fate(StrEnum):
    """Fate of a start request after the last check by its owner."""

    ARRIVES = "arrives"
    LATE = "late"
    LOST = "lost"
    ANSWER_LOST = "answer_lost"


@dataclass(slots=True)
class Allocation:
    """Tasks that an owner counts against the capacity of one upstream.

    Parameters
    ----------
    used : set of str
        Tasks that occupy capacity.
    unanswered : dict of str to StartPermit
        Starts without an answer; they occupy capacity too.
    """

    used: set[str] = field(default_factory=set)
    unanswered: dict[str, StartPermit] = field(default_factory=dict)


class WorldVm:
    """Simulated VM and its daemon.

    Parameters
    ----------
    name : str
    world : World
    clock : DriftingClock
    """

    def __init__(self, name: str, *, world: World, clock: DriftingClock) -> None:
        self.name = name
        self.world = world
        self.clock = clock
        self.incarnation = 0
        self.is_paused = False
        self.is_alive = False
        self.is_leaving = False
        self.leaving_since_s = 0.0
        self.start_daemon()

    def start_daemon(self) -> None:
        """Start a new incarnation without any state."""
        self.incarnation += 1
        self.is_alive, self.is_paused, self.is_leaving = True, False, False
        identity = Identity(self.name, "zone", "region", self.incarnation, "a", 4)
        self.membership = Membership(identity, settings=MembershipSettings())
        self.membership.apply_platform_list(self.world.listed)
        self.reachability = ReachabilityTracker(settings=ReachabilitySettings())
        self.proposer = RecordProposer(self.name, settings=ProposalSettings())
        self.record: ZoneRecord | None = None
        self.has_read_store = False
        self.sessions = {
            name: Session(
                name,
                vm=self.name,
                incarnation=self.incarnation,
                settings=SessionSettings(),
            )
            for name in self.world.upstreams
        }
        self.allocations = {name: Allocation() for name in self.world.upstreams}
        self._plan: OwnershipPlan | None = None
        self._planner = Planner()
        self._next_pull_s = self._next_read_s = self._next_reconcile_s = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the daemon is alive and not paused."""
        return self.is_alive and not self.is_paused

    @property
    def now(self) -> float:
        """Time of the clock of this VM, in seconds."""
        return self.clock.read(self.world.now)

    def leave(self) -> None:
        """Begin a planned shutdown."""
        self.is_leaving = True
        self.leaving_since_s = self.world.now

    def owns_any_upstream(self) -> bool:
        """Return whether any session of this VM permits starts."""
        return any(session.may_start(self.now) for session in self.sessions.values())

    def step(self) -> None:
        """Run the actions that are due, as the loops of the daemon do."""
        state = MemberState.LEAVING if self.is_leaving else MemberState.LIVE
        self.membership.update_self(
            state,
            config_revision=1,
            load=Load(),
            unreached=self.reachability.unreached(),
        )
        for outgoing in self.membership.tick(self.now, self.world.rng):
            self.world.deliver(self, outgoing.vm, outgoing.message)
        snapshot = self.membership.snapshot(self.now)
        self._refresh_record()
        self._propose(snapshot)
        self._apply_plan(snapshot)
        for upstream in self.world.upstreams.values():
            self._step_session(upstream)
        self._probe()
        self._reconcile()

    def update_record(self, record: ZoneRecord | None) -> None:
        """Adopt a record if its epoch is newer than that of the current one."""
        known_epoch = self.record.epoch if self.record is not None else 0
        if record is not None and record.epoch > known_epoch:
            self.record = record

    def start(self, upstream: WorldUpstream, task: str, fate: Fate) -> bool:
        """Place a task if the session permits it; return whether it was placed."""
        allocation = self.allocations[upstream.name]
        if len(allocation.used) >= upstream.capacity:
            return False
        permit = self.sessions[upstream.name].permit_start(self.now)
        if permit is None:
            return False
        allocation.used.add(task)
        allocation.unanswered[task] = permit
        if fate == Fate.LATE:
            self.world.send_late(self.name, upstream, task, permit)
        elif fate != Fate.LOST and self.world.is_linked(self.name, upstream.name):
            self._send_start(upstream, task, permit, is_answered=fate == Fate.ARRIVES)
        return True

    def _send_start(
        self,
        upstream: WorldUpstream,
        task: str,
        permit: StartPermit,
        *,
        is_answered: bool,
    ) -> None:
        refusal = self.world.send_start(self.name, upstream, task, permit)
        if not is_answered:
            return
        allocation = self.allocations[upstream.name]
        del allocation.unanswered[task]
        if refusal is not None:
            allocation.used.discard(task)
            self.sessions[upstream.name].record_start_refusal(permit.token, refusal)

    def _refresh_record(self) -> None:
        if self.now >= self._next_pull_s:
            self._next_pull_s = self.now + PEER_PULL_PERIOD_S
            self.update_record(self.world.pull_record(self))
        if self.now >= self._next_read_s:
            self._next_read_s = self.now + STORE_READ_PERIOD_S
            self._read_store()

    def _read_store(self) -> None:
        if self.world.is_linked(self.name, "store"):
            is_answered, record = self.world.store.read()
            self.has_read_store = self.has_read_store or is_answered
            self.update_record(record)

    def _propose(self, snapshot: Snapshot) -> None:
        if self.record is None and not self.has_read_store:
            return
        record = self.proposer.propose(self.record, snapshot, self.now)
        if record is None or not self.world.is_linked(self.name, "store"):
            return
        if self.world.store.replace(record):
            self.update_record(record)
            self.world.broadcast_record(self, record)
        else:
            self._next_read_s = self.now

    def _apply_plan(self, snapshot: Snapshot) -> None:
        if snapshot.is_settled and self.record is not None:
            self._plan = self._planner.plan(
                self.record,
                upstreams=self.world.upstreams,
                available=available_owners(snapshot),
                unreached=unreached_upstreams(snapshot),
            )
        for name, session in self.sessions.items():
            is_planned_owner = (
                self._plan is not None and self._plan.owners.get(name) == self.name
            )
            if is_planned_owner and not self.is_leaving:
                assert self._plan is not None
                session.assign(self._plan.epoch)
            else:
                session.hand_over()

    def _step_session(self, upstream: WorldUpstream) -> None:
        session = self.sessions[upstream.name]
        request = session.next_request(self.now)
        if request is None or not self.world.is_linked(self.name, upstream.name):
            return
        if self.world.loses_message():
            return
        now = upstream.clock.read(self.world.now)
        if isinstance(request, ReleaseRequest):
            upstream.gate.release(request.token)
            return
        answer: SessionGrant | SessionRefusal
        if isinstance(request, OpenRequest):
            answer = upstream.gate.open(
                request.vm, request.incarnation, request.epoch, request.ttl_s, now
            )
        else:
            answer = upstream.gate.renew(request.token, now)
        if self.world.loses_message():
            return
        if session.apply_answer(request, answer, self.now):
            self._recount_tasks(upstream)

    def _probe(self) -> None:
        unanswered_s = {
            name: session.unanswered_s(self.now)
            for name, session in self.sessions.items()
        }
        self.reachability.update(unanswered_s, self.now)
        name = self.reachability.next_due_probe(self.now)
        if name is not None and self.world.is_linked(self.name, name):
            self.reachability.record_probe_success(name)

    def _recount_tasks(self, upstream: WorldUpstream) -> None:
        """Count the running tasks and the starts that can still arrive."""
        allocation = self.allocations[upstream.name]
        allocation.used = upstream.running | allocation.unanswered.keys()

    def _reconcile(self) -> None:
        """Resolve the unanswered starts with the upstreams."""
        if self.now < self._next_reconcile_s:
            return
        self._next_reconcile_s = self.now + RECONCILE_PERIOD_S
        for upstream in self.world.upstreams.values():
            if self.world.is_linked(self.name, upstream.name):
                self._reconcile_upstream(upstream, self.allocations[upstream.name])

    def _reconcile_upstream(
        self, upstream: WorldUpstream, allocation: Allocation
    ) -> None:
        for task, permit in list(allocation.unanswered.items()):
            if task in upstream.started or (
                self.now > permit.refused_after_s and upstream.confirm_not_started(task)
            ):
                del allocation.unanswered[task]
        allocation.used = {
            task
            for task in allocation.used
            if task in upstream.running or task in allocation.unanswered
        }
