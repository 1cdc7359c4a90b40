"""Thread that holds the session at one upstream."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_clients.upstream import (
    OpenMessage,
    RunningTaskMessage,
    SessionRefused,
    SessionReport,
    UpstreamClient,
    read_demand,
)
from papayadyke_core.ownership import (
    OpenRefusal,
    OpenRequest,
    ReleaseRequest,
    RenewRequest,
    Session,
    SessionGrant,
    SessionRefusal,
    SessionSettings,
    StartPermit,
    StartRefusal,
)
from papayadyke_core.scheduling import Outcome, RunningTask
from papayadyke_daemon.guard import guard_step
from papayadyke_daemon.scheduler import (
    AddUpstream,
    Adopt,
    DrainUpstream,
    Finish,
    RemoveUpstream,
)
from papayadyke_daemon.settings import FleetSettings, UpstreamAddress

LOG = logging.getLogger("papayadyke.fleet")
STOP_TIMEOUT_S = 10.0
MAX_IDLE_S = 2.0
MIN_IDLE_S = 0.005
MAX_RECENT_ENDS = 256
# Reasons that the upstream client and the upstreams give for a refusal.
UNREACHABLE = "unreachable"
LEAVING = "leaving"

SchedulerMessage = AddUpstream | Adopt | DrainUpstream | Finish | RemoveUpstream


@dataclass(frozen=True, slots=True)
class Holder:
    """VM and incarnation under which sessions are requested.

    Parameters
    ----------
    vm : str
    incarnation : int
        Increases with each start of the daemon.
    """

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class UnresolvedTask:
    """Task whose outcome is unknown.

    Parameters
    ----------
    task_id : str
    token : int
        Fencing token of the session under which it was sent.
    start_before_s : float
        Time on the upstream's clock in that session after which its start is
        refused.
    """

    task_id: str
    token: int
    start_before_s: float


@dataclass(frozen=True, slots=True)
class EndSubscription:
    """Callback for the end of a running task; called once.

    Parameters
    ----------
    task_id : str
    on_end : callable
        Called with the task id; must not block.
    """

    task_id: str
    on_end: Callable[[str], None]


class UpstreamAgent:
    """Open, renew and release the session at one upstream.

    A lock guards the session and the announced token, because each thread that sends
    a start requests a permit and reports a refusal. All other state belongs to the
    agent's own thread.

    Parameters
    ----------
    upstream : UpstreamAddress
    holder : Holder
    settings : FleetSettings
    send : callable
        Sends a message to the scheduler.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        upstream: UpstreamAddress,
        *,
        holder: Holder,
        settings: FleetSettings,
        send: Callable[[SchedulerMessage], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.upstream = upstream
        self.holder = holder
        self.settings = settings
        self.send = send
        self.clock = clock
        address = upstream.address
        self.client = UpstreamClient(
            address.host, address.port, connections=settings.connections
        )
        self._session = Session(
            upstream.name,
            vm=holder.vm,
            incarnation=holder.incarnation,
            settings=SessionSettings(
                ttl_s=settings.session_ttl_s, expiry_margin_s=settings.expiry_margin_s
            ),
        )
        self.report: SessionReport | None = None
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._announced_token: int | None = None
        self._adopted: set[str] = set()
        self._new_unresolved: queue.SimpleQueue[UnresolvedTask] = queue.SimpleQueue()
        self._unresolved: dict[str, UnresolvedTask] = {}
        self._new_subscriptions: queue.SimpleQueue[EndSubscription] = (
            queue.SimpleQueue()
        )
        self._subscriptions: dict[str, EndSubscription] = {}
        self._last_end_sequence = 0
        self._boot_id = ""
        # A task may end before its end is subscribed to.
        self._recent_ends: deque[str] = deque(maxlen=MAX_RECENT_ENDS)
        self._draining = False
        self._stopping = False

    def start(self, epoch: int) -> None:
        """Start the thread that holds the session, under an epoch."""
        self.assign(epoch)
        self._thread = threading.Thread(
            target=self._run, name=f"fleet-{self.upstream.name}", daemon=True
        )
        self._thread.start()

    def assign(self, epoch: int) -> None:
        """Assign the upstream to this VM under the zone record of an epoch."""
        with self._lock:
            self._session.assign(epoch)
        self._wake.set()

    def begin_stop(self) -> None:
        """Permit no more starts and release the session; does not block."""
        with self._lock:
            self._session.hand_over()
        self._stopping = True
        self._wake.set()

    def join(self) -> None:
        """Wait until the session is released, for `STOP_TIMEOUT_S` at most."""
        self._thread.join(timeout=STOP_TIMEOUT_S)

    def permit_start(self, token: int) -> StartPermit | None:
        """Return the permit for a start that is sent now.

        Parameters
        ----------
        token : int
            Fencing token of the session under which the start was decided.

        Returns
        -------
        permit : StartPermit or None
            None if that session has ended.
        """
        with self._lock:
            permit = self._session.permit_start(self.clock())
        return None if permit is None or permit.token != token else permit

    def find_boot_id(self, token: int) -> str:
        """Return the boot id of the upstream in a session; empty if it has ended.

        Parameters
        ----------
        token : int
            Fencing token of the session.
        """
        with self._lock:
            return self._session.find_boot_id(token)

    def record_start_refusal(self, token: int, detail: str) -> None:
        """Apply the reason for which the upstream refused a start.

        The reason may end the session. It may also drain the upstream before the
        next renewal reports that the upstream is leaving. A refusal of a former
        session has no effect: the upstream may have restarted since.

        Parameters
        ----------
        token : int
            Fencing token of the session under which the start was sent.
        detail : str
            Reason that the upstream gave; an unknown reason is ignored.
        """
        if detail == LEAVING:
            with self._lock:
                if token == self._announced_token:
                    self.send(DrainUpstream(self.upstream.name))
            return
        try:
            reason = StartRefusal(detail)
        except ValueError:
            return
        with self._lock:
            self._session.record_start_refusal(token, reason)
        self._wake.set()

    def is_held(self) -> bool:
        """Return whether a start may be sent now."""
        with self._lock:
            return self._session.may_start(self.clock())

    def unanswered_s(self) -> float:
        """Return the seconds for which the upstream has answered no request."""
        with self._lock:
            return self._session.unanswered_s(self.clock())

    def track_unresolved(self, task_id: str, token: int, start_before_s: float) -> None:
        """Finish a task of unknown outcome once it neither runs nor can start.

        Parameters
        ----------
        task_id : str
        token : int
            Fencing token of the session under which it was sent.
        start_before_s : float
            Time on the upstream's clock in that session after which its start is
            refused.
        """
        self._new_unresolved.put(UnresolvedTask(task_id, token, start_before_s))

    def subscribe_to_end(self, task_id: str, on_end: Callable[[str], None]) -> None:
        """Call a function once when a task that was reported running has ended.

        Parameters
        ----------
        task_id : str
        on_end : callable
            Called with the task id in the agent's thread; must not block. Also
            called if the session ends, in which case the task may still run.
        """
        self._new_subscriptions.put(EndSubscription(task_id, on_end))
        self._wake.set()

    def _run(self) -> None:
        while not self._is_done():
            if not guard_step("fleet", self._step):
                self._wake.wait(MAX_IDLE_S)
        self._announce(None)
        self.client.close()

    def _step(self) -> None:
        self._wake.clear()
        with self._lock:
            request = self._session.next_request(self.clock())
        if isinstance(request, ReleaseRequest):
            self._announce(None)
            self.client.release(request.token)
        elif request is not None:
            self._send_request(request)
        self._announce_lost_session()
        self._wait_for_work()

    def _is_done(self) -> bool:
        with self._lock:
            return self._stopping and self._session.token is None

    def _compute_idle_s(self) -> float:
        with self._lock:
            now = self.clock()
            due_s = self._session.next_action_s(now)
        if due_s is None:
            return MAX_IDLE_S
        return min(max(due_s - now, MIN_IDLE_S), MAX_IDLE_S)

    def _wait_for_work(self) -> None:
        """Wait until an action is due or, if ends are subscribed to, a task ends."""
        idle_s = self._compute_idle_s()
        self._add_subscriptions()
        token = self._announced_token
        if token is None or not self._subscriptions or self._stopping:
            self._wake.wait(idle_s)
            return
        report = self.client.wait_for_ends(
            token, after=self._last_end_sequence, wait_s=idle_s
        )
        if report is None:
            self._wake.wait(idle_s)
            return
        self._last_end_sequence = report.sequence
        self._add_subscriptions()
        for task_id in report.ended:
            self._recent_ends.append(task_id)
            self._notify_end(task_id)

    def _add_subscriptions(self) -> None:
        while not self._new_subscriptions.empty():
            subscription = self._new_subscriptions.get()
            if subscription.task_id in self._recent_ends:
                subscription.on_end(subscription.task_id)
            else:
                self._subscriptions[subscription.task_id] = subscription

    def _notify_end(self, task_id: str) -> None:
        subscription = self._subscriptions.pop(task_id, None)
        if subscription is not None:
            subscription.on_end(task_id)

    def _send_request(self, request: OpenRequest | RenewRequest) -> None:
        if isinstance(request, RenewRequest):
            result = self.client.renew(request.token)
        else:
            result = self.client.open(_write_open(request))
        with self._lock:
            is_new = self._session.apply_answer(
                request, _read_answer(result), self.clock()
            )
        if isinstance(result, Ok):
            self._apply_report(result.ok_value, is_new=is_new)

    def _apply_report(self, report: SessionReport, *, is_new: bool) -> None:
        self.report = report
        if is_new:
            LOG.info("fleet: opened session %d at %s", report.token, self.upstream.name)
            self._announce(report)
        running = {task.task_id for task in report.running}
        for task_id in [name for name in self._subscriptions if name not in running]:
            self._notify_end(task_id)
        self._finish_adopted(running)
        self._finish_unresolved(running, report)
        if report.leaving and not self._draining:
            LOG.info("fleet: %s is leaving", self.upstream.name)
            self._draining = True
            self.send(DrainUpstream(self.upstream.name))

    def _announce_lost_session(self) -> None:
        with self._lock:
            token = self._session.token
        if token is None and self._announced_token is not None:
            LOG.warning("fleet: lost the session at %s", self.upstream.name)
            self._announce(None)

    def _announce(self, report: SessionReport | None) -> None:
        """Notify the scheduler of the end of the last session and of a new one."""
        if self._announced_token is not None:
            with self._lock:
                self._announced_token = None
            self._add_subscriptions()
            for task_id in list(self._subscriptions):
                self._notify_end(task_id)
            self._adopted.clear()
            self.send(RemoveUpstream(self.upstream.name))
            self._add_unresolved()
            for task_id in self._unresolved:
                self.send(Finish(task_id, Outcome.LOST))
            self._unresolved.clear()
        if report is None:
            return
        self._draining = False
        if report.boot_id != self._boot_id:
            # The sequence numbers of ends begin anew with each boot.
            self._boot_id = report.boot_id
            self._last_end_sequence = 0
        with self._lock:
            self._announced_token = report.token
            self.send(AddUpstream(report.spec.to_spec(), report.token))
        for task in report.running:
            self._adopted.add(task.task_id)
            self.send(Adopt(_read_task(task, self.upstream.name)))

    def _finish_adopted(self, running: set[str]) -> None:
        for task_id in self._adopted - running:
            self.send(Finish(task_id, Outcome.ANSWERED))
        self._adopted &= running

    def _add_unresolved(self) -> None:
        while not self._new_unresolved.empty():
            unresolved = self._new_unresolved.get()
            self._unresolved[unresolved.task_id] = unresolved

    def _finish_unresolved(self, running: set[str], report: SessionReport) -> None:
        self._add_unresolved()
        for task_id, unresolved in list(self._unresolved.items()):
            # Clocks of two sessions cannot be compared: the upstream may have
            # restarted, and refuses starts of the former session in any case.
            can_start = (
                unresolved.token == report.token
                and report.clock_s <= unresolved.start_before_s
            )
            if task_id not in running and not can_start:
                del self._unresolved[task_id]
                self.send(Finish(task_id, Outcome.LOST))


def _write_open(request: OpenRequest) -> OpenMessage:
    return OpenMessage(
        vm=request.vm,
        incarnation=request.incarnation,
        epoch=request.epoch,
        ttl_s=request.ttl_s,
    )


def _read_answer(
    result: Result[SessionReport, SessionRefused],
) -> SessionGrant | SessionRefusal | None:
    if isinstance(result, Err):
        return _read_refusal(result.err_value)
    report = result.ok_value
    return SessionGrant(
        token=report.token,
        epoch=report.epoch,
        ttl_s=report.ttl_s,
        upstream_now_s=report.clock_s,
        boot_id=report.boot_id,
    )


def _read_refusal(refused: SessionRefused) -> SessionRefusal | None:
    """Return the refusal, or None if its reason is unknown."""
    try:
        reason = OpenRefusal(refused.reason)
    except ValueError:
        return None
    return SessionRefusal(reason, refused.epoch, refused.holder, refused.remaining_s)


def _read_task(task: RunningTaskMessage, upstream: str) -> RunningTask:
    return RunningTask(
        task_id=task.task_id,
        request_id=task.request_id,
        workload=task.workload,
        upstream=upstream,
        demand=read_demand(task),
    )
