"""HTTP server of a stand-in upstream."""

from __future__ import annotations

import threading
import time
import urllib.parse
import uuid
from collections.abc import Callable
from dataclasses import replace

import msgspec

from papayadyke_clients.http import (
    CloseConnection,
    HttpAnswer,
    HttpLimits,
    HttpRequest,
    HttpServer,
)
from papayadyke_clients.upstream import (
    BOOT_HEADER,
    OUTCOME_HEADER,
    START_HEADER,
    OpenMessage,
    RunningTaskMessage,
    SessionRefused,
    SessionReport,
    SpecMessage,
    StartMessage,
    TaskEnd,
)
from papayadyke_core.ownership import SessionGate, SessionGrant, SessionRefusal
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_standins.upstream._execution import (
    THROTTLE_FACTOR,
    Checkpoints,
    LaggingUsage,
    execute,
)
from papayadyke_standins.upstream._faults import Faults
from papayadyke_standins.upstream._tasks import Task, TaskRegistry, TaskState
from papayadyke_standins.upstream._work import plan_work

EXPIRY_PERIOD_S = 0.1
MAX_WAIT_S = 60.0
CONTROL_THREADS = 8

_END_BY_STATE = {
    TaskState.RUNNING: TaskEnd.RUNNING,
    TaskState.ANSWERED: TaskEnd.ANSWERED,
    TaskState.FAILED: TaskEnd.FAILED,
    TaskState.STOPPED: TaskEnd.STOPPED,
}


class UpstreamStandin:
    """Upstream that runs tasks under sessions and leases.

    Parameters
    ----------
    spec : UpstreamSpec
    default_work_s : float, default=0.0
        Run time in seconds of a payload that does not specify one.
    host : str, default="127.0.0.1"
    port : int, default=0
        Port to listen on; 0 selects a free port.
    clock : callable, default=time.monotonic
        Clock of the upstream, in seconds.
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        *,
        default_work_s: float = 0.0,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.spec = spec
        self.default_work_s = default_work_s
        self.clock = clock
        self.registry = TaskRegistry(spec)
        self.gate = SessionGate(first_token=time.time_ns())
        self.checkpoints = Checkpoints()
        self.usage = LaggingUsage()
        self.boot_id = uuid.uuid4().hex
        self.leaving = False
        self.faults = Faults()
        self._known_remotes: set[str] = set()
        self._silent_remotes: frozenset[str] = frozenset()
        self._gate_lock = threading.Lock()
        self._stopping = threading.Event()
        self._http = HttpServer(
            self._handle,
            host=host,
            port=port,
            limits=HttpLimits(threads=spec.connections + CONTROL_THREADS),
        )

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the server."""
        return self._http.address

    def start(self) -> None:
        """Serve requests in background threads."""
        self._http.start()
        self._expiry = threading.Thread(target=self._run_expiry, daemon=True)
        self._expiry.start()

    def stop(self) -> None:
        """Stop the running tasks and the server."""
        self._stopping.set()
        for task in self.registry.list_running():
            task.stop.set()
        self._http.stop()

    def order_faults(self, faults: Faults) -> None:
        """Replace the faults in effect."""
        self._silent_remotes = (
            frozenset(self._known_remotes) if faults.silent_old else frozenset()
        )
        self.faults = faults

    def _is_silent(self, remote: str) -> bool:
        self._known_remotes.add(remote)
        return self.faults.silent_all or remote in self._silent_remotes

    def _run_expiry(self) -> None:
        while not self._stopping.wait(EXPIRY_PERIOD_S):
            now = self.clock()
            self.registry.expire(now)
            self.usage.sample(self.registry.used(), now)

    def _handle(self, req: HttpRequest) -> HttpAnswer:
        segments = req.path.strip("/").split("/")
        if segments[0] == "control":
            return self._handle_control(req, segments)
        if self._is_silent(req.remote):
            self._stopping.wait()
            raise CloseConnection
        if segments[0] == "session":
            return self._handle_session(req, segments)
        if segments[0] == "tasks":
            return self._handle_task(req, "/".join(segments[1:]))
        return HttpAnswer(404)

    def _handle_control(self, req: HttpRequest, segments: list[str]) -> HttpAnswer:
        if segments[1:] == ["faults"] and req.method == "PUT":
            self.order_faults(msgspec.json.decode(req.body, type=Faults))
            return HttpAnswer(204)
        if segments[1:] == ["record"]:
            return HttpAnswer(200, msgspec.json.encode(self.registry.list_records()))
        if segments[1:] == ["breaches"]:
            return HttpAnswer(200, msgspec.json.encode(self.registry.breaches))
        if segments[1:] == ["leave"] and req.method == "PUT":
            self.leaving = True
            return HttpAnswer(204)
        return HttpAnswer(404)

    def _handle_session(self, req: HttpRequest, segments: list[str]) -> HttpAnswer:
        if segments[2:] == ["ends"]:
            after = int(_read_number(req.query, "after"))
            wait_s = min(_read_number(req.query, "wait_s"), MAX_WAIT_S)
            report = self.registry.wait_for_ends(after, wait_s)
            return HttpAnswer(200, msgspec.json.encode(report))
        with self._gate_lock:
            now = self.clock()
            if req.method == "DELETE":
                held = self.gate.release(int(segments[1]))
                return HttpAnswer(204 if held else 409)
            if req.method == "PUT":
                answer = self.gate.renew(int(segments[1]), now)
            else:
                message = msgspec.json.decode(req.body, type=OpenMessage)
                answer = self.gate.open(
                    message.vm, message.incarnation, message.epoch, message.ttl_s, now
                )
            if isinstance(answer, SessionRefusal):
                return _refuse_session(answer)
            self.registry.renew_leases(now)
            return self._answer_session(answer)

    def _answer_session(self, grant: SessionGrant) -> HttpAnswer:
        used = self.usage.read(self.clock())
        state = SessionReport(
            token=grant.token,
            epoch=grant.epoch,
            ttl_s=grant.ttl_s,
            boot_id=self.boot_id,
            clock_s=grant.upstream_now_s,
            spec=SpecMessage.of(self.spec),
            running=tuple(
                _make_running_message(task) for task in self.registry.list_running()
            ),
            used=(used.cpu_millis, used.memory_mb, used.accelerators),
            leaving=self.leaving,
        )
        return HttpAnswer(200, msgspec.json.encode(state))

    def _handle_task(self, req: HttpRequest, task_path: str) -> HttpAnswer:
        task_id, _, action = task_path.rpartition("/")
        if action == "resolve":
            return self._resolve(task_id, _read_number(req.query, "wait_s"))
        if action in ("stop", "checkpoint", "throttle"):
            return self._interrupt(task_id, action)
        return self._start(req, task_path)

    def _interrupt(self, task_id: str, action: str) -> HttpAnswer:
        task = self.registry.find(task_id)
        if task is None:
            return HttpAnswer(404)
        if action == "throttle":
            task.throttle = THROTTLE_FACTOR
            return HttpAnswer(204)
        task.is_checkpointed = action == "checkpoint"
        task.stop.set()
        return HttpAnswer(204)

    def _resolve(self, task_id: str, wait_s: float) -> HttpAnswer:
        task = self.registry.resolve(task_id, self.clock())
        if task is None:
            answer = _answer_end(TaskEnd.NOT_STARTED, b"resolved as never started")
        else:
            task.ended.wait(min(wait_s, MAX_WAIT_S))
            answer = self._answer_task(task)
        return replace(answer, headers={**answer.headers, BOOT_HEADER: self.boot_id})

    def _start(self, req: HttpRequest, task_id: str) -> HttpAnswer:
        header = req.headers.get(START_HEADER.lower(), "")
        try:
            message = msgspec.json.decode(header, type=StartMessage)
        except msgspec.DecodeError as exc:
            return HttpAnswer(400, str(exc).encode(), "text/plain")
        task = self._make_task(message, task_id)
        with self._gate_lock:
            reason = self._check_start(message)
            if reason is None:
                reason = self.registry.start(task)
        if reason is not None:
            return _answer_end(TaskEnd.NOT_STARTED, reason.encode())
        if message.is_async:
            threading.Thread(
                target=self._run, args=(task, req.body), daemon=True
            ).start()
            return _answer_end(TaskEnd.RUNNING, b"started")
        self._run(task, req.body)
        if self.faults.late_answer_s:
            self._stopping.wait(self.faults.late_answer_s)
        if self.faults.lose_answers:
            raise CloseConnection
        return self._answer_task(task)

    def _check_start(self, message: StartMessage) -> str | None:
        refusal = self.gate.check_start(
            message.token, message.start_before_s, self.clock()
        )
        if refusal is not None:
            return refusal.value
        return "leaving" if self.leaving else None

    def _make_task(self, message: StartMessage, task_id: str) -> Task:
        now = self.clock()
        return Task(
            id=task_id,
            request_id=message.request_id,
            workload=message.workload,
            demand=Resources(
                message.cpu_millis, message.memory_mb, message.accelerators
            ),
            lease_s=message.lease_s,
            started_s=now,
            lease_until_s=now + message.lease_s,
        )

    def _run(self, task: Task, body: bytes) -> None:
        if self.faults.fail_all:
            task.answer = b"failed on command"
            self.registry.end(task, TaskState.FAILED, self.clock())
            return
        work = plan_work(
            body,
            request_id=task.request_id,
            upstream=self.spec.name,
            default_s=self.default_work_s,
        )
        run_s = work.seconds * self.faults.slow_factor / self.spec.speed
        remaining_s = execute(task, self.checkpoints.pop(task, run_s))
        if remaining_s:
            if task.is_checkpointed:
                self.checkpoints.save(task, remaining_s)
            self.registry.end(task, TaskState.STOPPED, self.clock())
            return
        task.status = work.status
        task.answer = work.answer
        self.registry.end(task, TaskState.ANSWERED, self.clock())

    def _answer_task(self, task: Task) -> HttpAnswer:
        end = _END_BY_STATE[task.state]
        if end is not TaskEnd.ANSWERED:
            return _answer_end(end, task.answer)
        headers = {OUTCOME_HEADER: end.value}
        return HttpAnswer(task.status, task.answer, task.content_type, headers)


def _make_running_message(task: Task) -> RunningTaskMessage:
    return RunningTaskMessage(
        task_id=task.id,
        request_id=task.request_id,
        workload=task.workload,
        cpu_millis=task.demand.cpu_millis,
        memory_mb=task.demand.memory_mb,
        accelerators=task.demand.accelerators,
    )


def _answer_end(end: TaskEnd, detail: bytes) -> HttpAnswer:
    status = 409 if end is TaskEnd.NOT_STARTED else 200
    return HttpAnswer(status, detail, "text/plain", {OUTCOME_HEADER: end.value})


def _refuse_session(answer: SessionRefusal) -> HttpAnswer:
    refused = SessionRefused(
        reason=answer.reason,
        epoch=answer.epoch,
        holder=answer.holder,
        remaining_s=answer.remaining_s,
    )
    return HttpAnswer(409, msgspec.json.encode(refused))


def _read_number(query: str, name: str) -> float:
    values = urllib.parse.parse_qs(query).get(name, ["0"])
    return max(float(values[0]), 0.0)
