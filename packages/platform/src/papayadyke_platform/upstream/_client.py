"""Client of one upstream: sessions, starts, and finding out what became of one."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError, NewConnectionError

from papayadyke_core.resources import Resources
from papayadyke_platform.upstream._messages import (
    PROTOCOL_HEADERS,
    RESPOND_ASYNC,
    EndsReport,
    OpenMessage,
    SessionRefused,
    SessionReport,
    TaskEnd,
)

CONNECT_TIMEOUT_S = 0.5
CONTROL_TIMEOUT_S = 1.0
POOL_CONNECTIONS = 60
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


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
        self._tasks = self._make_pool(connections)
        self._control = self._make_pool(2)

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
        try:
            answer = self._request(self._control, "DELETE", f"/session/{token}")
        except HTTPError:
            return False
        return answer.status < 300

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
        return self._send_start(call, _start_headers(call), timeout_s)

    def start(self, call: TaskCall) -> CallResult:
        """Start a task and return without waiting for its end.

        Returns
        -------
        result : CallResult
            `Running` where it was started; its end is told by `wait_for_ends`
            and its answer fetched by `resolve`.
        """
        headers = _start_headers(call) | {PROTOCOL_HEADERS.prefer: RESPOND_ASYNC}
        return self._send_start(call, headers, CONTROL_TIMEOUT_S)

    def _send_start(
        self, call: TaskCall, headers: Mapping[str, str], timeout_s: float
    ) -> CallResult:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            answer = self._tasks.request(
                "POST",
                f"/tasks/{call.task_id}",
                body=call.payload,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as exc:
            return NotStarted(f"no connection: {type(exc).__name__}")
        except HTTPError as exc:
            return Lost(type(exc).__name__)
        return _read_answer(answer)

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
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=CONTROL_TIMEOUT_S + wait_s
        )
        path = f"/session/{token}/ends?after={after}&wait_s={wait_s:.3f}"
        try:
            answer = self._control.request(
                "GET", path, timeout=timeout, retries=False, redirect=False
            )
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        return _decode(answer.data, EndsReport).ok()

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
        pool = self._make_pool(1)
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=CONTROL_TIMEOUT_S + wait_s
        )
        try:
            answer = pool.request(
                "POST",
                f"/tasks/{task_id}/resolve?wait_s={wait_s:.3f}",
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except HTTPError as exc:
            return Lost(type(exc).__name__)
        finally:
            pool.close()
        return _read_answer(answer)

    def stop(self, task_id: str, *, way: str = "stop") -> bool:
        """Stop, checkpoint or throttle a task; tell whether it was heard."""
        try:
            answer = self._request(self._control, "POST", f"/tasks/{task_id}/{way}")
        except HTTPError:
            return False
        return answer.status < 300

    def close(self) -> None:
        """Close idle connections."""
        self._tasks.close()
        self._control.close()

    def replace_connections(self) -> None:
        """Drop the pooled connections, of which some went silent."""
        old = self._tasks
        self._tasks = self._make_pool(self.connections)
        old.close()

    def _session_call(
        self, method: str, path: str, body: bytes
    ) -> Result[SessionReport, SessionRefused]:
        try:
            answer = self._request(self._control, method, path, body)
        except HTTPError as exc:
            self._control.close()
            self._control = self._make_pool(2)
            return Err(SessionRefused(reason="unreachable", holder=type(exc).__name__))
        if answer.status == 200:
            return _decode(answer.data, SessionReport)
        refused = _decode(answer.data, SessionRefused)
        return Err(refused.unwrap() if isinstance(refused, Ok) else refused.err())

    def _request(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        body: bytes = b"",
    ) -> urllib3.BaseHTTPResponse:
        return pool.request(
            method,
            path,
            body=body,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=CONTROL_TIMEOUT_S),
            retries=False,
            redirect=False,
        )

    def _make_pool(self, size: int) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self.host,
            self.port,
            maxsize=size,
            block=False,
            socket_options=_SOCKET_OPTIONS,
        )


def _decode(data: bytes, message: type) -> Result:
    try:
        return Ok(msgspec.json.decode(data, type=message))
    except msgspec.DecodeError:
        return Err(SessionRefused(reason="bad_answer"))


def _start_headers(call: TaskCall) -> dict[str, str]:
    names = PROTOCOL_HEADERS
    demand = call.demand
    return {
        names.token: str(call.token),
        names.start_before: f"{call.start_before_s:.6f}",
        names.lease: f"{call.lease_s:.3f}",
        names.demand: f"{demand.cpu_millis},{demand.memory_mb},{demand.accelerators}",
        names.workload: call.workload,
        names.request_id: call.request_id,
        "Content-Type": call.content_type,
    }


def _read_answer(answer: urllib3.BaseHTTPResponse) -> CallResult:
    outcome = answer.headers.get(PROTOCOL_HEADERS.outcome, "")
    if outcome == TaskEnd.ANSWERED:
        content_type = answer.headers.get("Content-Type", "application/octet-stream")
        return Answered(answer.status, content_type, answer.data)
    detail = answer.data[:200].decode("utf-8", "replace")
    if outcome == TaskEnd.NOT_STARTED:
        return NotStarted(detail)
    if outcome == TaskEnd.FAILED:
        return Failed(detail)
    if outcome == TaskEnd.STOPPED:
        return Stopped()
    if outcome == TaskEnd.RUNNING:
        return Running()
    return Lost(f"answer without outcome, status {answer.status}")
