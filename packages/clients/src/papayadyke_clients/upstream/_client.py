"""Client of one upstream: sessions, starts, and finding out what became of one."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.http import HttpExchange, HttpReply
from papayadyke_clients.upstream._messages import (
    OUTCOME_HEADER,
    START_HEADER,
    EndsReport,
    OpenMessage,
    SessionRefused,
    SessionReport,
    StartMessage,
    TaskEnd,
)
from papayadyke_core.resources import Resources

CONNECT_TIMEOUT_S = 0.5
CONTROL_TIMEOUT_S = 1.0
POOL_CONNECTIONS = 60
CONTROL_CONNECTIONS = 2
LOWEST_BAD_STATUS = 300
UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class TaskCall:
    """One start of a task.

    Parameters
    ----------
    task_id, request_id, workload : str
    demand : Resources
    token : int
        Fencing token of the session it is started under.
    start_before_s : float
        Time on the upstream's clock, in seconds, past which it must not start.
    lease_s : float
        The upstream stops the task when its lease has not been renewed for so
        long.
    payload : bytes
    content_type : str
    """

    task_id: str
    request_id: str
    workload: str
    demand: Resources
    token: int
    start_before_s: float
    lease_s: float
    payload: bytes
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class Answered:
    """The task has run and this is its whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """The task was started and failed at the upstream; it runs no longer."""

    detail: str


@dataclass(frozen=True, slots=True)
class Stopped:
    """The task was started and then stopped; it runs no longer."""


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The task has not been started and never will be under this id."""

    detail: str


@dataclass(frozen=True, slots=True)
class Running:
    """The task runs at this moment."""


@dataclass(frozen=True, slots=True)
class Lost:
    """Nothing is known: the task may run, have run, or start later."""

    detail: str


CallResult = Answered | Failed | Stopped | NotStarted | Running | Lost


class UpstreamClient:
    """Client of one upstream; its methods may be called from any thread.

    Parameters
    ----------
    host : str
        An IP number.
    port : int
    connections : int, default=POOL_CONNECTIONS
        Connections kept for starts; four more are for control.
    """

    def __init__(
        self, host: str, port: int, *, connections: int = POOL_CONNECTIONS
    ) -> None:
        self.host = host
        self.port = port
        self.connections = connections
        self._tasks = self._make_exchange(connections)
        self._control = self._make_exchange(CONTROL_CONNECTIONS)

    def open(self, req: OpenMessage) -> Result[SessionReport, SessionRefused]:
        """Ask for the session.

        Returns
        -------
        result : Result of SessionReport or SessionRefused
            The reason `unreachable` tells that no answer came.
        """
        body = msgspec.json.encode(req)
        return self._session_call("POST", "/session", body)

    def renew(self, token: int) -> Result[SessionReport, SessionRefused]:
        """Keep the session, and the leases of its tasks, for another time."""
        return self._session_call("PUT", f"/session/{token}", b"")

    def release(self, token: int) -> bool:
        """Give the session up; tell whether the upstream heard it."""
        return self._tell("DELETE", f"/session/{token}")

    def run(self, call: TaskCall, *, timeout_s: float) -> CallResult:
        """Start a task and wait for its end.

        Parameters
        ----------
        call : TaskCall
        timeout_s : float
            Longest wait for the answer, in seconds.

        Returns
        -------
        result : CallResult
            `Lost` where the start may have reached the upstream and no answer
            came.
        """
        headers = _write_headers(call, is_async=False)
        return self._send_start(call, headers, timeout_s)

    def start(self, call: TaskCall) -> CallResult:
        """Start a task and return without waiting for its end.

        Returns
        -------
        result : CallResult
            `Running` where it was started; its end is told by `wait_for_ends`
            and its answer fetched by `resolve`.
        """
        headers = _write_headers(call, is_async=True)
        return self._send_start(call, headers, CONTROL_TIMEOUT_S)

    def _send_start(
        self, call: TaskCall, headers: Mapping[str, str], timeout_s: float
    ) -> CallResult:
        result = self._tasks.send(
            "POST",
            f"/tasks/{call.task_id}",
            body=call.payload,
            headers=headers,
            timeout_s=timeout_s,
        )
        if isinstance(result, Ok):
            return _read_answer(result.ok_value)
        error = result.err_value
        if error.was_sent:
            return Lost(error.detail)
        return NotStarted(f"no connection: {error.detail}")

    def wait_for_ends(
        self, token: int, *, after: int, wait_s: float
    ) -> EndsReport | None:
        """Wait until a task ends, and return which have.

        Parameters
        ----------
        token : int
        after : int
            Sequence number of the last report; 0 at first.
        wait_s : float

        Returns
        -------
        report : EndsReport or None
            None where no answer came.
        """
        result = self._control.send(
            "GET",
            f"/session/{token}/ends?after={after}&wait_s={wait_s:.3f}",
            timeout_s=CONTROL_TIMEOUT_S + wait_s,
        )
        if not isinstance(result, Ok) or result.ok_value.status != HTTPStatus.OK:
            return None
        return _decode(result.ok_value.body, EndsReport).ok()

    def resolve(self, task_id: str, *, wait_s: float = 0.0) -> CallResult:
        """Find out what became of a start, on a fresh connection.

        Where the upstream has not seen the start, it refuses it from then on,
        so that `NotStarted` is final.

        Parameters
        ----------
        task_id : str
        wait_s : float, default=0.0
            How long the upstream may wait for a running task to end.
        """
        exchange = self._make_exchange(0)
        result = exchange.send(
            "POST",
            f"/tasks/{task_id}/resolve?wait_s={wait_s:.3f}",
            timeout_s=CONTROL_TIMEOUT_S + wait_s,
        )
        if isinstance(result, Ok):
            return _read_answer(result.ok_value)
        return Lost(result.err_value.detail)

    def stop(self, task_id: str, *, way: str = "stop") -> bool:
        """Stop, checkpoint or throttle a task; tell whether it was heard."""
        return self._tell("POST", f"/tasks/{task_id}/{way}")

    def close(self) -> None:
        """Close idle connections."""
        self._tasks.drop_idle()
        self._control.drop_idle()

    def replace_connections(self) -> None:
        """Drop the kept connections, of which some went silent."""
        self._tasks.drop_idle()

    def _session_call(
        self, method: str, path: str, body: bytes
    ) -> Result[SessionReport, SessionRefused]:
        result = self._control.send(
            method, path, body=body, timeout_s=CONTROL_TIMEOUT_S
        )
        if isinstance(result, Err):
            self._control.drop_idle()
            detail = result.err_value.detail
            return Err(SessionRefused(reason=UNREACHABLE, holder=detail))
        reply = result.ok_value
        if reply.status == HTTPStatus.OK:
            return _decode(reply.body, SessionReport)
        refused = _decode(reply.body, SessionRefused)
        return Err(refused.unwrap() if isinstance(refused, Ok) else refused.err())

    def _tell(self, method: str, path: str) -> bool:
        result = self._control.send(method, path, timeout_s=CONTROL_TIMEOUT_S)
        return isinstance(result, Ok) and result.ok_value.status < LOWEST_BAD_STATUS

    def _make_exchange(self, kept: int) -> HttpExchange:
        return HttpExchange(
            self.host, self.port, kept=kept, connect_timeout_s=CONNECT_TIMEOUT_S
        )


def _decode(data: bytes, message: type) -> Result:
    try:
        return Ok(msgspec.json.decode(data, type=message))
    except msgspec.DecodeError:
        return Err(SessionRefused(reason="bad_answer"))


def _write_headers(call: TaskCall, *, is_async: bool) -> dict[str, str]:
    message = StartMessage(
        token=call.token,
        start_before_s=call.start_before_s,
        lease_s=call.lease_s,
        workload=call.workload,
        request_id=call.request_id,
        cpu_millis=call.demand.cpu_millis,
        memory_mb=call.demand.memory_mb,
        accelerators=call.demand.accelerators,
        is_async=is_async,
    )
    return {
        START_HEADER: msgspec.json.encode(message).decode(),
        "Content-Type": call.content_type,
    }


def _read_answer(answer: HttpReply) -> CallResult:
    outcome = answer.headers.get(OUTCOME_HEADER, "")
    if outcome == TaskEnd.ANSWERED:
        content_type = answer.headers.get("Content-Type", "application/octet-stream")
        return Answered(answer.status, content_type, answer.body)
    detail = answer.body[:200].decode("utf-8", "replace")
    if outcome == TaskEnd.NOT_STARTED:
        return NotStarted(detail)
    if outcome == TaskEnd.FAILED:
        return Failed(detail)
    if outcome == TaskEnd.STOPPED:
        return Stopped()
    if outcome == TaskEnd.RUNNING:
        return Running()
    return Lost(f"answer without outcome, status {answer.status}")
