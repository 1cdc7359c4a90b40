"""Routes of the HTTP interface for callers."""

from __future__ import annotations

import logging
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.http import BodyError, HttpAnswer, HttpRequest
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.callers._headers import read_headers, read_request_id
from papayadyke_daemon.callers._jobs import JobOwner, JobRoutes
from papayadyke_daemon.callers._problem import (
    make_bad_request,
    make_problem,
    refuse_method,
)
from papayadyke_daemon.keyed import KeyedRunner, ReplayedAnswer
from papayadyke_daemon.serving import (
    Answer,
    IdSource,
    RequestHistory,
    RequestRecord,
    Runner,
    RunOrder,
    refuse_draining,
)
from papayadyke_daemon.settings import CallersSettings

LOG = logging.getLogger("papayadyke.callers")

_RUN_PATH = re.compile(r"/v1/run/([a-z0-9._-]{1,64})")
_REQUEST_PATH = re.compile(r"/v1/requests/([A-Za-z0-9._:-]{1,128})")


class Health(msgspec.Struct, frozen=True):
    """Response body of the health and readiness routes."""

    status: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Readiness:
    """Report whether this VM accepts requests, and if not, why."""

    ready: bool
    detail: str = ""


class CallersApp:
    """Answer the requests of callers.

    The threads of the listener call `handle`.

    Parameters
    ----------
    runs : Runner
    keyed : KeyedRunner
    jobs : JobOwner
    history : RequestHistory
    ids : IdSource
    settings : CallersSettings
    readiness : callable
        Returns the current `Readiness`.
    is_refusing_runs : callable
        Returns whether new requests are refused at once; a draining daemon that
        has peers hands them over instead.
    on_record : callable, optional
        Called with the `RequestRecord` of each finished request, for metrics and
        reports.
    find_at_peers : callable, optional
        Called with a request id; returns the record that a peer has, or None.
    """

    def __init__(
        self,
        *,
        runs: Runner,
        keyed: KeyedRunner,
        jobs: JobOwner,
        history: RequestHistory,
        ids: IdSource,
        settings: CallersSettings,
        readiness: Callable[[], Readiness],
        is_refusing_runs: Callable[[], bool],
        on_record: Callable[[RequestRecord], None] = lambda record: None,
        find_at_peers: Callable[[str], RequestRecord | None] = lambda request_id: None,
    ) -> None:
        self.runs = runs
        self.keyed = keyed
        self.jobs = JobRoutes(jobs)
        self.history = history
        self.ids = ids
        self.settings = settings
        self.readiness = readiness
        self.is_refusing_runs = is_refusing_runs
        self.on_record = on_record
        self.find_at_peers = find_at_peers

    def handle(self, req: HttpRequest) -> HttpAnswer:
        """Answer a request; never raise, whatever the input."""
        given_id = read_request_id(req.headers)
        request_id = (given_id.ok() or None) or self.ids.make()
        if isinstance(given_id, Err):
            return make_bad_request(given_id.err_value, request_id)
        try:
            return self._route(req, request_id)
        except Exception:
            LOG.exception(
                "callers: handling request %s raised an exception", request_id
            )
            return _make_fault_answer(request_id)

    def _route(self, req: HttpRequest, request_id: str) -> HttpAnswer:
        if req.path == "/healthz":
            return _make_health_answer(200, Health("ok"))
        if req.path == "/readyz":
            return self._show_readiness()
        match = _RUN_PATH.fullmatch(req.path)
        if match:
            return self._run(req, request_id, match.group(1))
        match = _REQUEST_PATH.fullmatch(req.path)
        if match:
            return self._show_request(req, match.group(1))
        return self._route_job(req, request_id)

    def _route_job(self, req: HttpRequest, request_id: str) -> HttpAnswer:
        if req.body_error is not None:
            return _refuse_body(req.body_error, request_id, self.settings)
        if req.method == "POST" and not self.readiness().ready:
            return make_problem(refuse_draining(), request_id)
        answer = self.jobs.handle(req, request_id)
        if answer is None:
            return make_bad_request("There is no such path.", request_id, status=404)
        return answer

    def _show_readiness(self) -> HttpAnswer:
        readiness = self.readiness()
        if readiness.ready:
            return _make_health_answer(200, Health("ready"))
        return _make_health_answer(503, Health("not ready", readiness.detail))

    def _run(self, req: HttpRequest, request_id: str, workload: str) -> HttpAnswer:
        if req.method != "POST":
            return refuse_method(request_id, "POST")
        if req.body_error is not None:
            return _refuse_body(req.body_error, request_id, self.settings)
        checked = read_headers(req.headers, settings=self.settings)
        if isinstance(checked, Err):
            return make_bad_request(checked.err_value, request_id)
        if self.is_refusing_runs():
            return make_problem(refuse_draining(), request_id)
        headers = checked.ok_value
        received_at = time.time()
        order = RunOrder(
            request_id=request_id,
            workload=workload,
            payload=req.body,
            content_type=headers.content_type,
            deadline_s=self.runs.clock() + headers.timeout_s,
        )
        if headers.idempotency_key is None:
            result: Result[Answer | ReplayedAnswer, Refusal] = self.runs.run(order)
        else:
            result = self.keyed.run(order, headers.idempotency_key)
        if isinstance(result, Ok) and isinstance(result.ok_value, ReplayedAnswer):
            return _make_replay_answer(result.ok_value, request_id)
        self._record(order, cast("Result[Answer, Refusal]", result), received_at)
        if isinstance(result, Err):
            return make_problem(result.err_value, request_id)
        return _make_run_answer(cast("Answer", result.ok_value), request_id)

    def _record(
        self,
        order: RunOrder,
        result: Result[Answer, Refusal],
        received_at: float,
    ) -> None:
        record = _make_record(order, result, received_at)
        self.history.add(record)
        self.on_record(record)

    def _show_request(self, req: HttpRequest, request_id: str) -> HttpAnswer:
        if req.method != "GET":
            return refuse_method(request_id, "GET")
        record = self.history.find(request_id) or self.find_at_peers(request_id)
        if record is None:
            refusal = Refusal(
                Verdict.MAY_HAVE_RUN,
                Reason.UNKNOWN_REQUEST,
                "No VM that could be asked knows of the request.",
            )
            return make_problem(refusal, request_id)
        return HttpAnswer(200, msgspec.json.encode(record))


def _make_record(
    order: RunOrder, result: Result[Answer, Refusal], received_at: float
) -> RequestRecord:
    if isinstance(result, Ok):
        answer = result.ok_value
        return RequestRecord(
            request_id=order.request_id,
            workload=order.workload,
            state="answered",
            received_at=received_at,
            wait_s=answer.wait_s,
            run_s=answer.run_s,
            upstream=answer.upstream,
            attempts=answer.attempts,
            http_status=answer.status,
        )
    refusal = result.err_value
    return RequestRecord(
        request_id=order.request_id,
        workload=order.workload,
        state="refused",
        received_at=received_at,
        wait_s=time.time() - received_at,
        http_status=refusal.http_status,
        refusal=refusal,
    )


def _make_run_answer(answer: Answer, request_id: str) -> HttpAnswer:
    headers = {"Request-Id": request_id, "Upstream": answer.upstream}
    return HttpAnswer(answer.status, answer.body, answer.content_type, headers)


def _make_replay_answer(replayed: ReplayedAnswer, request_id: str) -> HttpAnswer:
    answer = replayed.answer
    headers = {"Request-Id": request_id, "Idempotent-Replay": "true"}
    return HttpAnswer(answer.status, answer.body, answer.content_type, headers)


def _make_health_answer(status: int, health: Health) -> HttpAnswer:
    return HttpAnswer(status, msgspec.json.encode(health))


def _refuse_body(
    error: BodyError, request_id: str, settings: CallersSettings
) -> HttpAnswer:
    if error is BodyError.TOO_LARGE:
        detail = f"The body is over {settings.max_body_bytes} bytes."
        refusal = Refusal(Verdict.NOT_RUN, Reason.TOO_LARGE, detail)
        return make_problem(refusal, request_id)
    if error is BodyError.TOO_SLOW:
        return make_bad_request("The body came too slowly.", request_id, status=408)
    return make_bad_request("The body is not whole.", request_id)


def _make_fault_answer(request_id: str) -> HttpAnswer:
    refusal = Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.UPSTREAM_LOST,
        "A fault in the scheduler; it has been logged.",
    )
    return make_problem(refusal, request_id, status=500)
