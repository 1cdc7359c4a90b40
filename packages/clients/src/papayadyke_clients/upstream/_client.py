"""Client of one upstream: sessions, task starts and task outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.http import HttpExchange, HttpReply
from papayadyke_clients.upstream._messages import (
    BOOT_HEADER,
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
MIN_FAILURE_STATUS = 300
UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class TaskCall:
    """Request to start a task.

    Parameters
    ----------
    task_id, request_id, workload : str
    demand : Resources
    token : int
        Fencing token of the session under which the task is started.
    start_before_s : float
        Time on the upstream's clock, in seconds, after which it must not start.
    lease_s : float
        Time in seconds without a renewal after which the upstream stops the task.
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
    """Complete answer of a task that has run."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """The task was started, failed at the upstream and is no longer running."""

    detail: str


@dataclass(frozen=True, slots=True)
class Stopped:
    """The task was started, then stopped, and is no longer running."""


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The task was not started and never will be under this id."""

    detail: str


@dataclass(frozen=True, slots=True)
class Restarted:
    """The upstream has restarted since the start, as far as is known.

    The task may have run, is not running and never will be started under this id.
    """


@dataclass(frozen=True, slots=True)
class Running:
    """The task is running."""


@dataclass(frozen=True, slots=True)
class Lost:
    """Task state unknown: it may be running, have run, or start later."""

    detail: str


CallResult = Answered | Failed | Stopped | NotStarted | Restarted | Running | Lost


class UpstreamClient:
    """Thread-safe client of one upstream.

    Parameters
    ----------
    host : str
        IP address.
    port : int
    connections : int, default=POOL_CONNECTIONS
        Largest number of idle connections kept for starts; control requests have
        `CONTROL_CONNECTIONS` more.
    """

    def __init__(
        self, host: str, port: int, *, connections: int = POOL_CONNECTIONS
    ) -> None:
        self.host = host
        self.port = port
        self.connections = connections
        self._task_exchange = self._make_exchange(connections)
        self._control_exchange = self._make_exchange(CONTROL_CONNECTIONS)

    def open(self, req: OpenMessage) -> Result[SessionReport, SessionRefused]:
        """Request the session of the upstream.

        Returns
        -------
        result : Result of SessionReport or SessionRefused
            The reason `unreachable` means that no answer was received.
        """
        body = msgspec.json.encode(req)
        return self._send_session_request("POST", "/session", body)

    def renew(self, token: int) -> Result[SessionReport, SessionRefused]:
        """Renew the session and the leases of its tasks."""
        return self._send_session_request("PUT", f"/session/{token}", b"")

    def release(self, token: int) -> bool:
        """Release the session; return whether the upstream confirmed it."""
        return self._send_command("DELETE", f"/session/{token}")

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
            `Lost` if the start may have reached the upstream but no answer was
            received.
        """
        headers = _format_headers(call, is_async=False)
        return self._send_start(call, headers, timeout_s)

    def start(self, call: TaskCall) -> CallResult:
        """Start a task and return without waiting for its end.

        Returns
        -------
        result : CallResult
            `Running` if it was started; `wait_for_ends` reports its end, and
            `resolve` fetches its answer.
        """
        headers = _format_headers(call, is_async=True)
        return self._send_start(call, headers, CONTROL_TIMEOUT_S)

    def _send_start(
        self, call: TaskCall, headers: Mapping[str, str], timeout_s: float
    ) -> CallResult:
        result = self._task_exchange.send(
            "POST",
            f"/tasks/{call.task_id}",
            body=call.payload,
            headers=headers,
            timeout_s=timeout_s,
        )
        if isinstance(result, Ok):
            return _parse_outcome(result.ok_value)
        error = result.err_value
        if error.was_sent:
            return Lost(error.detail)
        return NotStarted(f"no connection: {error.detail}")

    def wait_for_ends(
        self, token: int, *, after: int, wait_s: float
    ) -> EndsReport | None:
        """Wait until a task of the session ends, and return the ended tasks.

        Parameters
        ----------
        token : int
        after : int
            Sequence number of the last report received; 0 for the first call.
        wait_s : float
            Longest wait of the upstream before it answers, in seconds.

        Returns
        -------
        report : EndsReport or None
            None if no valid answer was received.
        """
        result = self._control_exchange.send(
            "GET",
            f"/session/{token}/ends?after={after}&wait_s={wait_s:.3f}",
            timeout_s=CONTROL_TIMEOUT_S + wait_s,
        )
        if not isinstance(result, Ok) or result.ok_value.status != HTTPStatus.OK:
            return None
        return _decode(result.ok_value.body, EndsReport).ok()

    def resolve(self, task_id: str, *, boot_id: str, wait_s: float = 0.0) -> CallResult:
        """Query the outcome of a start, on a new connection.

        If the upstream has not received the start, it refuses the start from then
        on, so that `NotStarted` is final. An upstream that has restarted does not
        know whether it had received the start before.

        Parameters
        ----------
        task_id : str
        boot_id : str
            Boot id of the upstream in the session of the start; empty if it is
            unknown.
        wait_s : float, default=0.0
            Longest wait of the upstream for a running task to end, in seconds.
        """
        exchange = self._make_exchange(0)
        result = exchange.send(
            "POST",
            f"/tasks/{task_id}/resolve?wait_s={wait_s:.3f}",
            timeout_s=CONTROL_TIMEOUT_S + wait_s,
        )
        if isinstance(result, Err):
            return Lost(result.err_value.detail)
        outcome = _parse_outcome(result.ok_value)
        answered_boot_id = result.ok_value.headers.get(BOOT_HEADER, "")
        is_same_boot = boot_id != "" and answered_boot_id == boot_id
        if isinstance(outcome, NotStarted) and not is_same_boot:
            return Restarted()
        return outcome

    def stop(self, task_id: str, *, way: str = "stop") -> bool:
        """Stop, checkpoint or throttle a task; return whether the upstream confirmed.

        Parameters
        ----------
        task_id : str
        way : {"stop", "checkpoint", "throttle"}, default="stop"
        """
        return self._send_command("POST", f"/tasks/{task_id}/{way}")

    def close(self) -> None:
        """Close idle connections."""
        self._task_exchange.drop_idle()
        self._control_exchange.drop_idle()

    def replace_connections(self) -> None:
        """Close the idle start connections, some of which no longer answer."""
        self._task_exchange.drop_idle()

    def _send_session_request(
        self, method: str, path: str, body: bytes
    ) -> Result[SessionReport, SessionRefused]:
        result = self._control_exchange.send(
            method, path, body=body, timeout_s=CONTROL_TIMEOUT_S
        )
        if isinstance(result, Err):
            self._control_exchange.drop_idle()
            detail = result.err_value.detail
            return Err(SessionRefused(reason=UNREACHABLE, holder=detail))
        reply = result.ok_value
        if reply.status == HTTPStatus.OK:
            return _decode(reply.body, SessionReport)
        refused = _decode(reply.body, SessionRefused)
        return Err(refused.unwrap() if isinstance(refused, Ok) else refused.err())

    def _send_command(self, method: str, path: str) -> bool:
        result = self._control_exchange.send(method, path, timeout_s=CONTROL_TIMEOUT_S)
        return isinstance(result, Ok) and result.ok_value.status < MIN_FAILURE_STATUS

    def _make_exchange(self, max_idle: int) -> HttpExchange:
        return HttpExchange(
            self.host, self.port, kept=max_idle, connect_timeout_s=CONNECT_TIMEOUT_S
        )


def _decode(data: bytes, message: type) -> Result:
    try:
        return Ok(msgspec.json.decode(data, type=message))
    except msgspec.DecodeError:
        return Err(SessionRefused(reason="bad_answer"))


def _format_headers(call: TaskCall, *, is_async: bool) -> dict[str, str]:
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


def _parse_outcome(reply: HttpReply) -> CallResult:
    outcome = reply.headers.get(OUTCOME_HEADER, "")
    if outcome == TaskEnd.ANSWERED:
        content_type = reply.headers.get("Content-Type", "application/octet-stream")
        return Answered(reply.status, content_type, reply.body)
    detail = reply.body[:200].decode("utf-8", "replace")
    if outcome == TaskEnd.NOT_STARTED:
        return NotStarted(detail)
    if outcome == TaskEnd.FAILED:
        return Failed(detail)
    if outcome == TaskEnd.STOPPED:
        return Stopped()
    if outcome == TaskEnd.RUNNING:
        return Running()
    return Lost(f"answer without outcome, status {reply.status}")
