"""The thread that holds the session of one upstream."""

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
RECENT_ENDS = 256
UNREACHABLE = "unreachable"
LEAVING = "leaving"

SchedulerMessage = AddUpstream | Adopt | DrainUpstream | Finish | RemoveUpstream


@dataclass(frozen=True, slots=True)
class Holder:
    """Who asks for sessions."""

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Watched:
    """A task whose outcome is unknown."""

    task_id: str
    start_before_s: float


@dataclass(frozen=True, slots=True)
class Followed:
    """A running task whose end is told once."""

    task_id: str
    on_end: Callable[[str], None]


class UpstreamAgent:
    """Opens, renews and releases the session of one upstream.

    The session itself is guarded by a lock, because each start asks it for a
    permit from the thread that sends the start. All else belongs to the agent's
    own thread.

    Parameters
    ----------
    upstream : UpstreamAddress
    holder : Holder
    settings : FleetSettings
    send : callable
        Takes messages to the scheduler.
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
        self._announced: int | None = None
        self._adopted: set[str] = set()
        self._watched: queue.SimpleQueue[Watched] = queue.SimpleQueue()
        self._unsettled: dict[str, float] = {}
        self._new_followed: queue.SimpleQueue[Followed] = queue.SimpleQueue()
        self._followed: dict[str, Followed] = {}
        self._ends_seen = 0
        # A task may end before it is followed.
        self._recent_ends: deque[str] = deque(maxlen=RECENT_ENDS)
        self._draining = False
        self._stopping = False

    def start(self, epoch: int) -> None:
        """Hold the session in the background, under an epoch."""
        self.want(epoch)
        self._thread = threading.Thread(
            target=self._run, name=f"fleet-{self.upstream.name}", daemon=True
        )
        self._thread.start()

    def want(self, epoch: int) -> None:
        """Own the upstream by the zone record of this epoch."""
        with self._lock:
            self._session.assign(epoch)
        self._wake.set()

    def begin_stop(self) -> None:
        """Start nothing more and release the session."""
        with self._lock:
            self._session.hand_over()
        self._stopping = True
        self._wake.set()

    def join(self) -> None:
        """Wait until the session is released."""
        self._thread.join(timeout=STOP_TIMEOUT_S)

    def permit_start(self, token: int) -> StartPermit | None:
        """Return what goes with a start that is sent now.

        Parameters
        ----------
        token : int
            The session under which the start was decided.

        Returns
        -------
        permit : StartPermit or None
            None where that session has ended.
        """
        with self._lock:
            permit = self._session.permit_start(self.clock())
        return None if permit is None or permit.token != token else permit

    def record_start_refusal(self, token: int, detail: str) -> None:
        """Take why the upstream refused a start.

        It may end the session, or drain an upstream before its next renewal
        tells that it is leaving.

        Parameters
        ----------
        token : int
            The session under which the start was sent.
        detail : str
            The upstream's word for the reason; others change nothing.
        """
        if detail == LEAVING:
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
        """Tell whether a start could be sent at this moment."""
        with self._lock:
            return self._session.may_start(self.clock())

    def unanswered_s(self) -> float:
        """Return for how long the upstream has answered no request."""
        with self._lock:
            return self._session.unanswered_s(self.clock())

    def watch(self, task_id: str, start_before_s: float) -> None:
        """Finish a task of unknown outcome once it can neither run nor start.

        Parameters
        ----------
        task_id : str
        start_before_s : float
            Time on the upstream's clock past which its start is refused.
        """
        self._watched.put(Watched(task_id, start_before_s))

    def follow(self, task_id: str, on_end: Callable[[str], None]) -> None:
        """Tell the end of a task that was seen running, once.

        Parameters
        ----------
        task_id : str
        on_end : callable
            Takes the task id in the agent's thread and must not block. It is
            called as well where the session ends and the task may run on.
        """
        self._new_followed.put(Followed(task_id, on_end))
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
            self._ask(request)
        self._announce_lapse()
        self._idle()

    def _is_done(self) -> bool:
        with self._lock:
            return self._stopping and self._session.token is None

    def _find_idle_s(self) -> float:
        with self._lock:
            now = self.clock()
            due_s = self._session.next_action_s(now)
        if due_s is None:
            return MAX_IDLE_S
        return min(max(due_s - now, MIN_IDLE_S), MAX_IDLE_S)

    def _idle(self) -> None:
        """Wait for the next thing to do, at the upstream while tasks run there."""
        idle_s = self._find_idle_s()
        self._take_followed()
        token = self._announced
        if token is None or not self._followed or self._stopping:
            self._wake.wait(idle_s)
            return
        report = self.client.wait_for_ends(token, after=self._ends_seen, wait_s=idle_s)
        if report is None:
            self._wake.wait(idle_s)
            return
        self._ends_seen = report.sequence
        self._take_followed()
        for task_id in report.ended:
            self._recent_ends.append(task_id)
            self._tell_end(task_id)

    def _take_followed(self) -> None:
        while not self._new_followed.empty():
            followed = self._new_followed.get()
            if followed.task_id in self._recent_ends:
                followed.on_end(followed.task_id)
            else:
                self._followed[followed.task_id] = followed

    def _tell_end(self, task_id: str) -> None:
        followed = self._followed.pop(task_id, None)
        if followed is not None:
            followed.on_end(task_id)

    def _ask(self, request: OpenRequest | RenewRequest) -> None:
        if isinstance(request, RenewRequest):
            result = self.client.renew(request.token)
        else:
            result = self.client.open(_write_open(request))
        with self._lock:
            is_new = self._session.apply_answer(
                request, _read_answer(result), self.clock()
            )
        if isinstance(result, Ok):
            self._take(result.ok_value, is_new=is_new)

    def _take(self, report: SessionReport, *, is_new: bool) -> None:
        self.report = report
        if is_new:
            LOG.info("fleet: session %d at %s", report.token, self.upstream.name)
            self._announce(report)
        running = {task.task_id for task in report.running}
        for task_id in [name for name in self._followed if name not in running]:
            self._tell_end(task_id)
        self._finish_adopted(running)
        self._finish_unsettled(running, report.clock_s)
        if report.leaving and not self._draining:
            LOG.info("fleet: %s is leaving", self.upstream.name)
            self._draining = True
            self.send(DrainUpstream(self.upstream.name))

    def _announce_lapse(self) -> None:
        with self._lock:
            token = self._session.token
        if token is None and self._announced is not None:
            LOG.warning("fleet: lost the session at %s", self.upstream.name)
            self._announce(None)

    def _announce(self, report: SessionReport | None) -> None:
        """Tell the scheduler of a new session, or of the end of the last."""
        if self._announced is not None:
            self._announced = None
            self._take_followed()
            for task_id in list(self._followed):
                self._tell_end(task_id)
            self._adopted.clear()
            self._unsettled.clear()
            self.send(RemoveUpstream(self.upstream.name))
        if report is None:
            return
        self._announced = report.token
        self._draining = False
        self.send(AddUpstream(report.spec.to_spec(), report.token))
        for task in report.running:
            self._adopted.add(task.task_id)
            self.send(Adopt(_read_task(task, self.upstream.name)))

    def _finish_adopted(self, running: set[str]) -> None:
        for task_id in self._adopted - running:
            self.send(Finish(task_id, Outcome.ANSWERED))
        self._adopted &= running

    def _finish_unsettled(self, running: set[str], clock_s: float) -> None:
        while not self._watched.empty():
            watched = self._watched.get()
            self._unsettled[watched.task_id] = watched.start_before_s
        for task_id, start_before_s in list(self._unsettled.items()):
            if task_id not in running and clock_s > start_before_s:
                del self._unsettled[task_id]
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
    )


def _read_refusal(refused: SessionRefused) -> SessionRefusal | None:
    """Return the refusal, or None where the answer tells nothing."""
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
