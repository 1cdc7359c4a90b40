"""The thread that holds the session of one upstream."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, RunningTask
from papayadyke_daemon.fleet._session import Session
from papayadyke_daemon.scheduler import (
    AddUpstream,
    Adopt,
    DrainUpstream,
    Finish,
    RemoveUpstream,
)
from papayadyke_daemon.settings import FleetSettings, UpstreamAddress
from papayadyke_platform.upstream import (
    OpenRequest,
    RunningTaskMessage,
    SessionState,
    UpstreamClient,
)

LOG = logging.getLogger("papayadyke.fleet")
STOP_TIMEOUT_S = 5.0

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


class UpstreamAgent:
    """Opens, renews and releases the session of one upstream.

    Parameters
    ----------
    upstream : UpstreamAddress
    holder : Holder
    settings : FleetSettings
    send : callable
        Takes messages to the scheduler.
    epoch : callable
        Returns the epoch of the zone's ownership record.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        upstream: UpstreamAddress,
        *,
        holder: Holder,
        settings: FleetSettings,
        send: Callable[[SchedulerMessage], None],
        epoch: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.upstream = upstream
        self.holder = holder
        self.settings = settings
        self.send = send
        self.epoch = epoch
        self.clock = clock
        address = upstream.address
        self.client = UpstreamClient(
            address.host, address.port, connections=settings.connections
        )
        self.session: Session | None = None
        self.spec: UpstreamSpec | None = None
        self._adopted: set[str] = set()
        self._watched: queue.SimpleQueue[Watched] = queue.SimpleQueue()
        self._unsettled: dict[str, float] = {}
        self._draining = False
        self._boot_id = ""
        self._stopping = threading.Event()

    def start(self) -> None:
        """Hold the session in the background."""
        self._thread = threading.Thread(
            target=self._run, name=f"fleet-{self.upstream.name}", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Release the session and end the thread."""
        self._stopping.set()
        self._thread.join(timeout=STOP_TIMEOUT_S)

    def may_start(self) -> Session | None:
        """Return the session if a start may be sent at this moment."""
        session = self.session
        if session is None:
            return None
        margin_s = self.settings.expiry_margin_s
        return session if session.is_live(self.clock(), margin_s=margin_s) else None

    def watch(self, task_id: str, start_before_s: float) -> None:
        """Finish a task of unknown outcome once it can neither run nor start.

        Parameters
        ----------
        task_id : str
        start_before_s : float
            Time on the upstream's clock past which its start is refused.
        """
        self._watched.put(Watched(task_id, start_before_s))

    def _run(self) -> None:
        while True:
            self._step()
            if self._stopping.wait(self.settings.renew_period_s):
                break
        self._give_up()

    def _step(self) -> None:
        session = self.session
        if session is None:
            self._open()
            return
        asked_s = self.clock()
        result = self.client.renew(session.token)
        if isinstance(result, Ok):
            self._take(result.ok_value, asked_s)
            return
        lapsed = not session.is_live(self.clock(), margin_s=0.0)
        if result.err_value.reason == "unreachable" and not lapsed:
            return
        LOG.warning(
            "fleet: lost the session at %s: %s",
            self.upstream.name,
            result.err_value.reason,
        )
        self._forget()

    def _open(self) -> None:
        asked_s = self.clock()
        req = OpenRequest(
            vm=self.holder.vm,
            incarnation=self.holder.incarnation,
            epoch=self.epoch(),
            ttl_s=self.settings.session_ttl_s,
        )
        result = self.client.open(req)
        if not isinstance(result, Ok):
            LOG.debug(
                "fleet: no session at %s: %s",
                self.upstream.name,
                result.err_value.reason,
            )
            return
        state = result.ok_value
        LOG.info("fleet: session %d at %s", state.token, self.upstream.name)
        self.spec = state.spec.to_spec()
        self._boot_id = state.boot_id
        self._draining = False
        self.send(AddUpstream(self.spec, state.token))
        for task in state.running:
            self._adopt(task)
        self._take(state, asked_s)

    def _take(self, state: SessionState, asked_s: float) -> None:
        self.session = Session(
            token=state.token,
            asked_s=asked_s,
            ttl_s=self.settings.session_ttl_s,
            clock_s=state.clock_s,
        )
        running = {task.task_id for task in state.running}
        self._finish_adopted(running)
        self._finish_unsettled(running, state.clock_s)
        if state.leaving and not self._draining:
            LOG.info("fleet: %s is leaving", self.upstream.name)
            self._draining = True
            self.send(DrainUpstream(self.upstream.name))

    def _adopt(self, task: RunningTaskMessage) -> None:
        demand = Resources(task.cpu_millis, task.memory_mb, task.accelerators)
        self._adopted.add(task.task_id)
        self.send(
            Adopt(
                RunningTask(
                    task_id=task.task_id,
                    request_id=task.request_id,
                    workload=task.workload,
                    upstream=self.upstream.name,
                    demand=demand,
                )
            )
        )

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

    def _forget(self) -> None:
        self.session = None
        self._adopted.clear()
        self._unsettled.clear()
        self.send(RemoveUpstream(self.upstream.name))

    def _give_up(self) -> None:
        session = self.session
        if session is not None:
            self._forget()
            self.client.release(session.token)
        self.client.close()
