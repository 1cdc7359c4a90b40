"""A VM of the world: the aggregates of ownership, wired as in the daemon."""

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

PEER_PULL_S = 3.0
STORE_READ_S = 10.0
RECONCILE_S = 2.0


class Fate(StrEnum):
    """What becomes of a start after the last check of its owner."""

    ARRIVES = "arrives"
    LATE = "late"
    LOST = "lost"
    ANSWER_LOST = "answer_lost"


@dataclass(slots=True)
class Holding:
    """What an owner counts on one upstream.

    Parameters
    ----------
    used : set of str
        Tasks that hold capacity.
    unanswered : dict of str to StartPermit
        Starts whose answer is not known; they hold capacity too.
    """

    used: set[str] = field(default_factory=set)
    unanswered: dict[str, StartPermit] = field(default_factory=dict)


class WorldVm:
    """One VM and its daemon.

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
        self.left_s = 0.0
        self.start_daemon()

    def start_daemon(self) -> None:
        """Begin a new incarnation that knows nothing."""
        self.incarnation += 1
        self.is_alive, self.is_paused, self.is_leaving = True, False, False
        identity = Identity(self.name, "zone", "region", self.incarnation, "a", 4)
        self.membership = Membership(identity, settings=MembershipSettings())
        self.membership.apply_platform_list(self.world.listed)
        self.reach = ReachabilityTracker(settings=ReachabilitySettings())
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
        self.holdings = {name: Holding() for name in self.world.upstreams}
        self._plan: OwnershipPlan | None = None
        self._planner = Planner()
        self._next_pull_s = self._next_read_s = self._next_reconcile_s = 0.0

    @property
    def is_running(self) -> bool:
        """Tell whether the daemon does anything now."""
        return self.is_alive and not self.is_paused

    @property
    def now(self) -> float:
        """The time of the VM's own clock."""
        return self.clock.read(self.world.now)

    def leave(self) -> None:
        """Begin a planned stop."""
        self.is_leaving = True
        self.left_s = self.world.now

    def may_start_anywhere(self) -> bool:
        """Tell whether this VM thinks that it owns any upstream."""
        return any(session.may_start(self.now) for session in self.sessions.values())

    def step(self) -> None:
        """Do what is due, as the loops of the daemon do."""
        state = MemberState.LEAVING if self.is_leaving else MemberState.LIVE
        self.membership.update_self(
            state, config_revision=1, load=Load(), unreached=self.reach.unreached()
        )
        for out in self.membership.tick(self.now, self.world.rng):
            self.world.deliver(self, out.vm, out.message)
        snapshot = self.membership.snapshot(self.now)
        self._learn_record()
        self._propose(snapshot)
        self._follow_plan(snapshot)
        for upstream in self.world.upstreams.values():
            self._drive_session(upstream)
        self._probe()
        self._reconcile()

    def learn(self, record: ZoneRecord | None) -> None:
        """Take a record unless a newer one is known."""
        known = self.record.epoch if self.record is not None else 0
        if record is not None and record.epoch > known:
            self.record = record

    def start(self, upstream: WorldUpstream, task: str, fate: Fate) -> bool:
        """Place a task where this VM thinks that it may; tell whether it did."""
        holding = self.holdings[upstream.name]
        if len(holding.used) >= upstream.capacity:
            return False
        permit = self.sessions[upstream.name].permit_start(self.now)
        if permit is None:
            return False
        holding.used.add(task)
        holding.unanswered[task] = permit
        if fate == Fate.LATE:
            self.world.send_late(self.name, upstream, task, permit)
        elif fate != Fate.LOST and self.world.is_linked(self.name, upstream.name):
            self._send_start(upstream, task, permit, has_answer=fate == Fate.ARRIVES)
        return True

    def _send_start(
        self,
        upstream: WorldUpstream,
        task: str,
        permit: StartPermit,
        *,
        has_answer: bool,
    ) -> None:
        refusal = self.world.send_start(self.name, upstream, task, permit)
        if not has_answer:
            return
        holding = self.holdings[upstream.name]
        del holding.unanswered[task]
        if refusal is not None:
            holding.used.discard(task)
            self.sessions[upstream.name].record_start_refusal(permit.token, refusal)

    def _learn_record(self) -> None:
        if self.now >= self._next_pull_s:
            self._next_pull_s = self.now + PEER_PULL_S
            self.learn(self.world.pull_record(self))
        if self.now >= self._next_read_s:
            self._next_read_s = self.now + STORE_READ_S
            self._read_store()

    def _read_store(self) -> None:
        if self.world.is_linked(self.name, "store"):
            is_answered, record = self.world.store.read()
            self.has_read_store = self.has_read_store or is_answered
            self.learn(record)

    def _propose(self, snapshot: Snapshot) -> None:
        if self.record is None and not self.has_read_store:
            return
        record = self.proposer.propose(self.record, snapshot, self.now)
        if record is None or not self.world.is_linked(self.name, "store"):
            return
        if self.world.store.replace(record):
            self.learn(record)
            self.world.tell_record(self, record)
        else:
            self._next_read_s = self.now

    def _follow_plan(self, snapshot: Snapshot) -> None:
        if snapshot.is_settled and self.record is not None:
            self._plan = self._planner.plan(
                self.record,
                upstreams=self.world.upstreams,
                available=available_owners(snapshot),
                unreached=unreached_upstreams(snapshot),
            )
        for name, session in self.sessions.items():
            is_mine = (
                self._plan is not None and self._plan.owners.get(name) == self.name
            )
            if is_mine and not self.is_leaving:
                assert self._plan is not None
                session.assign(self._plan.epoch)
            else:
                session.hand_over()

    def _drive_session(self, upstream: WorldUpstream) -> None:
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
            self._adopt(upstream)

    def _probe(self) -> None:
        unanswered_s = {
            name: session.unanswered_s(self.now)
            for name, session in self.sessions.items()
        }
        self.reach.update(unanswered_s, self.now)
        name = self.reach.next_due_probe(self.now)
        if name is not None and self.world.is_linked(self.name, name):
            self.reach.record_probe_success(name)

    def _adopt(self, upstream: WorldUpstream) -> None:
        """Count what runs already, and starts that may yet arrive."""
        holding = self.holdings[upstream.name]
        holding.used = upstream.running | holding.unanswered.keys()

    def _reconcile(self) -> None:
        """Ask the upstreams what became of starts without an answer."""
        if self.now < self._next_reconcile_s:
            return
        self._next_reconcile_s = self.now + RECONCILE_S
        for upstream in self.world.upstreams.values():
            if self.world.is_linked(self.name, upstream.name):
                self._reconcile_one(upstream, self.holdings[upstream.name])

    def _reconcile_one(self, upstream: WorldUpstream, holding: Holding) -> None:
        for task, permit in list(holding.unanswered.items()):
            if task in upstream.started or (
                self.now > permit.refused_after_s and upstream.deny(task)
            ):
                del holding.unanswered[task]
        holding.used = {
            task
            for task in holding.used
            if task in upstream.running or task in holding.unanswered
        }
