"""Routes of the HTTP interface for operators."""

from __future__ import annotations

import logging
import math
import re
import threading
import time
from collections.abc import Callable
from typing import Protocol
from urllib.parse import parse_qs

import msgspec
from result import Err, Result

from papayadyke_clients.http import BodyError, HttpAnswer, HttpLimits, HttpRequest
from papayadyke_clients.keys import Authenticator, parse_seal
from papayadyke_clients.operators import (
    BURN_PATH,
    CHANGES_PATH,
    CONFIG_PATH,
    EXPLAIN_PATH,
    IN_FORCE_PATH,
    PRESETS_PATH,
    PROBLEM_STATUS,
    REFUSED_PATH,
    SEAL_HEADER,
    STATUS_PATH,
    TEAMS_PATH,
    WORKLOADS_PATH,
    ChangeAccepted,
    Explanation,
    FieldProblem,
    OperatorsProblem,
    ProblemCode,
    RefusedView,
    StatusView,
    encode_json,
    signed_bytes,
    view_config,
)
from papayadyke_clients.store import StoreError
from papayadyke_core.configuration import (
    MAX_CHANGE_BYTES,
    AnyChange,
    ConfigState,
    Conflict,
    InvalidChange,
    ItemKind,
    decode_change,
)
from papayadyke_core.slo import BurnReport
from papayadyke_daemon.configuration import (
    Accepted,
    SubmitError,
    Unresolved,
)

LOG = logging.getLogger("papayadyke.operators")

OPERATORS_LIMITS = HttpLimits(
    threads=8,
    waiting=64,
    max_body_bytes=MAX_CHANGE_BYTES,
    max_header_bytes=8_192,
    receive_timeout_s=10,
)
MAX_CONCURRENT_CHANGES = OPERATORS_LIMITS.threads // 2
MAX_QUERY_CHARS = 512
MAX_LISTED_REFUSALS = 500
MAX_BURN_WINDOW_S = 31 * 24 * 3600

_ITEM_PATH = re.compile(
    f"({WORKLOADS_PATH}|{TEAMS_PATH}|{PRESETS_PATH})(?:/([a-z0-9._-]{{1,64}}))?"
)
_EXPLAIN_PATH = re.compile(EXPLAIN_PATH + r"/([A-Za-z0-9._:-]{1,128})")
_KINDS = {
    WORKLOADS_PATH: ItemKind.WORKLOAD,
    TEAMS_PATH: ItemKind.TEAM,
    PRESETS_PATH: ItemKind.PRESET,
}


class OperatorsBackend(Protocol):
    """Answer questions about the daemon outside of its configuration."""

    def read_status(self) -> StatusView:
        """Return the status of VMs, upstreams and queues."""

    def explain(self, request_id: str) -> Explanation | None:
        """Return the explanation of a request's outcome, or None if it is unknown."""

    def list_refused(
        self, workload: str, *, since_unix_s: float, limit: int
    ) -> RefusedView:
        """Return the refused requests of a workload; an empty name means all."""

    def read_burn(self, window_s: int) -> Result[BurnReport, StoreError]:
        """Return the report on error-budget burn over the last `window_s` seconds."""


class _ProblemError(Exception):
    def __init__(self, problem: OperatorsProblem):
        super().__init__(problem.detail)
        self.problem = problem


class OperatorsApp:
    """Answer the requests of operators.

    The threads of the listener call `handle`. Every request carries a seal over its
    method, path, query and body. A forged, old or replayed request gets status 401
    before it is processed.

    Parameters
    ----------
    authenticator : Authenticator
    state : callable
        Returns the `ConfigState` in force on this VM.
    submit : callable
        Submits a change, as `ConfigWriter.submit` does.
    backend : OperatorsBackend
    unix_clock : callable, default=time.time
        Returns the Unix time in seconds.
    """

    def __init__(
        self,
        *,
        authenticator: Authenticator,
        state: Callable[[], ConfigState],
        submit: Callable[[AnyChange], Result[Accepted, SubmitError]],
        backend: OperatorsBackend,
        unix_clock: Callable[[], float] = time.time,
    ):
        self.authenticator = authenticator
        self.state = state
        self.submit = submit
        self.backend = backend
        self.unix_clock = unix_clock
        # In a store outage changes hold their threads for long; the limit keeps
        # threads free for reads.
        self._change_slots = threading.BoundedSemaphore(MAX_CONCURRENT_CHANGES)

    def handle(self, req: HttpRequest) -> HttpAnswer:
        """Answer a request; never raise, whatever the input."""
        try:
            self._check_request(req)
            return HttpAnswer(200, encode_json(self._route(req)))
        except _ProblemError as exc:
            return _answer_problem(exc.problem)
        except Exception:
            LOG.exception("operators: handling a request raised an exception")
            text = "a fault in the daemon; it has been logged"
            return _answer_problem(
                OperatorsProblem(code=ProblemCode.FAULT, detail=text)
            )

    def _check_request(self, req: HttpRequest) -> None:
        if req.body_error is BodyError.TOO_LARGE:
            text = f"the body is over {OPERATORS_LIMITS.max_body_bytes} bytes"
            raise _refuse(ProblemCode.TOO_LARGE, text)
        if req.body_error is not None:
            raise _refuse(ProblemCode.BAD_REQUEST, "the body did not come whole")
        if len(req.query) > MAX_QUERY_CHARS:
            raise _refuse(ProblemCode.BAD_REQUEST, "the query is too long")
        seal = parse_seal(req.headers.get(SEAL_HEADER.lower(), ""))
        if seal is None:
            raise _refuse(ProblemCode.NOT_AUTHENTICATED, "the seal is missing")
        data = signed_bytes(req.method, req.path, req.query, req.body)
        fault = self.authenticator.check(data, seal, unix_s=self.unix_clock())
        if fault is not None:
            LOG.warning("operators: refused a request from %s: %s", req.remote, fault)
            text = f"the request is {fault}, or the clocks differ too much"
            raise _refuse(ProblemCode.NOT_AUTHENTICATED, text)

    def _route(self, req: HttpRequest) -> msgspec.Struct | list:
        if req.path == CHANGES_PATH:
            _check_method(req, "POST")
            return self._submit(req.body)
        _check_method(req, "GET")
        if req.path == CONFIG_PATH:
            return view_config(self.state())
        if req.path == IN_FORCE_PATH:
            return view_config(self.state()).in_force
        if req.path == STATUS_PATH:
            return self.backend.read_status()
        if req.path == REFUSED_PATH:
            return self._list_refused(req.query)
        if req.path == BURN_PATH:
            return self._read_burn(req.query)
        if match := _EXPLAIN_PATH.fullmatch(req.path):
            return self._explain(match.group(1))
        if match := _ITEM_PATH.fullmatch(req.path):
            return self._show_items(_KINDS[match.group(1)], match.group(2))
        raise _refuse(ProblemCode.NOT_FOUND, "there is no such path")

    def _submit(self, body: bytes) -> ChangeAccepted:
        try:
            change = decode_change(body)
        except msgspec.DecodeError as exc:
            raise _refuse(ProblemCode.INVALID, str(exc)) from None
        if not self._change_slots.acquire(blocking=False):
            text = "nothing was changed: too many changes wait for the store"
            raise _refuse(ProblemCode.UNAVAILABLE, text)
        try:
            result = self.submit(change)
        finally:
            self._change_slots.release()
        if isinstance(result, Err):
            raise _ProblemError(_make_submit_problem(result.err_value))
        return ChangeAccepted(change.id, result.ok_value.revision)

    def _show_items(self, kind: ItemKind, name: str | None) -> msgspec.Struct | list:
        views = view_config(self.state()).items_of(kind)
        if name is None:
            return views
        matches = [view for view in views if view.model.name == name]
        if not matches:
            text = f"there is no {kind.value} {name}"
            raise _refuse(ProblemCode.NOT_FOUND, text)
        return matches[0]

    def _explain(self, request_id: str) -> Explanation:
        explanation = self.backend.explain(request_id)
        if explanation is None:
            text = f"this VM knows nothing of request {request_id}"
            raise _refuse(ProblemCode.NOT_FOUND, text)
        return explanation

    def _list_refused(self, query: str) -> RefusedView:
        fields = parse_qs(query)
        workload = fields.get("workload", [""])[-1]
        try:
            since_unix_s = float(fields.get("since", ["0"])[-1])
        except ValueError:
            since_unix_s = math.nan
        if not math.isfinite(since_unix_s) or since_unix_s < 0.0:
            raise _refuse(ProblemCode.BAD_REQUEST, "since is no time in seconds")
        return self.backend.list_refused(
            workload, since_unix_s=since_unix_s, limit=MAX_LISTED_REFUSALS
        )

    def _read_burn(self, query: str) -> BurnReport:
        report = self.backend.read_burn(_read_window(query))
        if isinstance(report, Err):
            detail = f"the store does not answer: {report.err_value.detail}"
            raise _refuse(ProblemCode.UNAVAILABLE, detail)
        return report.ok_value


def _read_window(query: str) -> int:
    text = parse_qs(query).get("window", ["0"])[-1]
    seconds = int(text) if text.isdecimal() else 0
    if not 0 < seconds <= MAX_BURN_WINDOW_S:
        text = f"window is a number of seconds from 1 to {MAX_BURN_WINDOW_S}"
        raise _refuse(ProblemCode.BAD_REQUEST, text)
    return seconds


def _check_method(req: HttpRequest, method: str) -> None:
    if req.method != method:
        raise _refuse(ProblemCode.BAD_REQUEST, f"the path takes {method}")


def _refuse(code: ProblemCode, detail: str) -> _ProblemError:
    return _ProblemError(OperatorsProblem(code=code, detail=detail))


def _make_submit_problem(error: SubmitError) -> OperatorsProblem:
    match error:
        case Conflict(winner=winner):
            return OperatorsProblem(
                code=ProblemCode.CONFLICT, detail=error.detail, winner=winner
            )
        case InvalidChange(problems=problems):
            fields = [FieldProblem(field.path, field.message) for field in problems]
            return OperatorsProblem(
                code=ProblemCode.INVALID, detail=error.detail, fields=fields
            )
        case Unresolved(detail=detail):
            return OperatorsProblem(code=ProblemCode.UNRESOLVED, detail=detail)
        case _:
            return OperatorsProblem(code=ProblemCode.UNAVAILABLE, detail=error.detail)


def _answer_problem(problem: OperatorsProblem) -> HttpAnswer:
    status = PROBLEM_STATUS[problem.code]
    return HttpAnswer(status, encode_json(problem), "application/problem+json")
