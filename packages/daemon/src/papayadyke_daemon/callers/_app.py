"""Routes of the callers' interface."""

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
from papayadyke_daemon.callers._jobs import JobHome, JobRoutes
from papayadyke_daemon.callers._problem import (
    make_bad_request,
    make_problem,
    refuse_method,
)
from papayadyke_daemon.keyed import KeyedRuns, Replayed
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
    """The body of the health routes."""

    status: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether this VM takes requests, and why not."""

    ready: bool
    detail: str = ""


class CallersApp:
    """Answers callers; `handle` is called from the listener's threads.

    Parameters
    ----------
    runs : Runner
    keyed : KeyedRuns
    jobs : JobHome
    history : RequestHistory
    ids : IdSource
    settings : CallersSettings
    readiness : callable
        Returns a `Readiness`.
    refuses_runs : callable
        Tells whether new requests are refused at once; a daemon that drains
        and has peers hands them over instead.
    on_record : callable, optional
        Takes each finished `RequestRecord`, for metrics and reports.
    find_elsewhere : callable, optional
        Returns the record of a request that a peer has, or None.
    """

    def __init__(
        self,
        *,
        runs: Runner,
        keyed: KeyedRuns,
        jobs: JobHome,
        history: RequestHistory,
        ids: IdSource,
        settings: CallersSettings,
        readiness: Callable[[], Readiness],
        refuses_runs: Callable[[], bool],
        on_record: Callable[[RequestRecord], None] = lambda record: None,
        find_elsewhere: Callable[[str], RequestRecord | None] = lambda wanted: None,
    ) -> None:
        self.runs = runs
        self.keyed = keyed
        self.jobs = JobRoutes(jobs)
        self.history = history
        self.ids = ids
        self.settings = settings
        self.readiness = readiness
        self.refuses_runs = refuses_runs
        self.on_record = on_record
        self.find_elsewhere = find_elsewhere

    def handle(self, req: HttpRequest) -> HttpAnswer:
        """Return the answer to any request; no input makes it raise."""
        found = read_request_id(req.headers)
        request_id = (found.ok() or None) or self.ids.make()
        if isinstance(found, Err):
            return make_bad_request(found.err_value, request_id)
        try:
            return self._route(req, request_id)
        except Exception:
            LOG.exception("callers: request %s failed in the daemon", request_id)
            return _answer_fault(request_id)

    def _route(self, req: HttpRequest, request_id: str) -> HttpAnswer:
        if req.path == "/healthz":
            return _answer_health(200, Health("ok"))
        if req.path == "/readyz":
            return self._tell_readiness()
        match = _RUN_PATH.fullmatch(req.path)
        if match:
            return self._run(req, request_id, match.group(1))
        match = _REQUEST_PATH.fullmatch(req.path)
        if match:
            return self._tell_request(req, match.group(1))
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

    def _tell_readiness(self) -> HttpAnswer:
        readiness = self.readiness()
        if readiness.ready:
            return _answer_health(200, Health("ready"))
        return _answer_health(503, Health("not ready", readiness.detail))

    def _run(self, req: HttpRequest, request_id: str, workload: str) -> HttpAnswer:
        if req.method != "POST":
            return refuse_method(request_id, "POST")
        if req.body_error is not None:
            return _refuse_body(req.body_error, request_id, self.settings)
        checked = read_headers(req.headers, settings=self.settings)
        if isinstance(checked, Err):
            return make_bad_request(checked.err_value, request_id)
        if self.refuses_runs():
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
            result: Result[Answer | Replayed, Refusal] = self.runs.run(order)
        else:
            result = self.keyed.run(order, headers.idempotency_key)
        if isinstance(result, Ok) and isinstance(result.ok_value, Replayed):
            return _pass_replay(result.ok_value, request_id)
        self._record(order, cast("Result[Answer, Refusal]", result), received_at)
        if isinstance(result, Err):
            return make_problem(result.err_value, request_id)
        return _pass_answer(cast("Answer", result.ok_value), request_id)

    def _record(
        self,
        order: RunOrder,
        result: Result[Answer, Refusal],
        received_at: float,
    ) -> None:
        record = _make_record(order, result, received_at)
        self.history.add(record)
        self.on_record(record)

    def _tell_request(self, req: HttpRequest, wanted: str) -> HttpAnswer:
        if req.method != "GET":
            return refuse_method(wanted, "GET")
        record = self.history.find(wanted) or self.find_elsewhere(wanted)
        if record is None:
            refusal = Refusal(
                Verdict.MAY_HAVE_RUN,
                Reason.UNKNOWN_REQUEST,
                "No VM that could be asked knows of the request.",
            )
            return make_problem(refusal, wanted)
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


def _pass_answer(answer: Answer, request_id: str) -> HttpAnswer:
    headers = {"Request-Id": request_id, "Upstream": answer.upstream}
    return HttpAnswer(answer.status, answer.body, answer.content_type, headers)


def _pass_replay(replayed: Replayed, request_id: str) -> HttpAnswer:
    answer = replayed.answer
    headers = {"Request-Id": request_id, "Idempotent-Replay": "true"}
    return HttpAnswer(answer.status, answer.body, answer.content_type, headers)


def _answer_health(status: int, health: Health) -> HttpAnswer:
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


def _answer_fault(request_id: str) -> HttpAnswer:
    refusal = Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.UPSTREAM_LOST,
        "A fault in the scheduler; it has been logged.",
    )
    return make_problem(refusal, request_id, status=500)
