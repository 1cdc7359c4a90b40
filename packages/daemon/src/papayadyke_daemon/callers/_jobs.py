"""Routes for jobs."""

from __future__ import annotations

import re
import urllib.parse
from typing import Protocol

import msgspec
from result import Err, Result

from papayadyke_clients.http import HttpAnswer, HttpRequest
from papayadyke_core.verdicts import Refusal
from papayadyke_daemon.callers._problem import (
    make_bad_request,
    make_problem,
    refuse_method,
)
from papayadyke_daemon.jobs import JobModel, JobStatus, parse_job

JOBS_PATH = "/v1/jobs"
MAX_WAIT_S = 60.0

_JOB_PATH = re.compile(r"/v1/jobs/([A-Za-z0-9._:-]{1,128})")


class JobOwner(Protocol):
    """Accept, show and cancel jobs, on this VM or at a peer."""

    def submit(self, model: JobModel) -> Result[JobStatus, Refusal]:
        """Store a job and return it once it is durable."""

    def get(self, job_id: str, *, wait_s: float = 0.0) -> Result[JobStatus, Refusal]:
        """Return a job; wait up to `wait_s` seconds for it to end."""

    def cancel(self, job_id: str, *, wait_s: float = 0.0) -> Result[JobStatus, Refusal]:
        """Cancel a job and return it with what had run."""


class JobRoutes:
    """Answer the requests under `/v1/jobs`.

    Parameters
    ----------
    owner : JobOwner
    """

    def __init__(self, owner: JobOwner) -> None:
        self.owner = owner

    def handle(self, req: HttpRequest, request_id: str) -> HttpAnswer | None:
        """Answer a request; return None if its path is not under `/v1/jobs`."""
        if req.path == JOBS_PATH:
            return self._submit(req, request_id)
        match = _JOB_PATH.fullmatch(req.path)
        return None if match is None else self._handle_job(req, request_id, match[1])

    def _submit(self, req: HttpRequest, request_id: str) -> HttpAnswer:
        if req.method != "POST":
            return refuse_method(request_id, "POST")
        parsed = parse_job(req.body)
        if isinstance(parsed, Err):
            return make_problem(parsed.err_value, request_id)
        result = self.owner.submit(parsed.ok_value)
        if isinstance(result, Err):
            return make_problem(result.err_value, request_id)
        job = result.ok_value
        headers = {"Location": f"{JOBS_PATH}/{job.job_id}", "Request-Id": request_id}
        return HttpAnswer(202, msgspec.json.encode(job.view), headers=headers)

    def _handle_job(self, req: HttpRequest, request_id: str, job_id: str) -> HttpAnswer:
        wait_s = _read_wait(req.query)
        if wait_s is None:
            return make_bad_request(
                f"wait_seconds must be a number from 0 to {MAX_WAIT_S:g}", request_id
            )
        if req.method == "GET":
            result = self.owner.get(job_id, wait_s=wait_s)
        elif req.method == "DELETE":
            result = self.owner.cancel(job_id, wait_s=wait_s)
        else:
            return refuse_method(request_id, "GET or DELETE")
        if isinstance(result, Err):
            return make_problem(result.err_value, request_id)
        headers = {"Request-Id": request_id}
        body = msgspec.json.encode(result.ok_value.view)
        return HttpAnswer(200, body, headers=headers)


def _read_wait(query: str) -> float | None:
    text = urllib.parse.parse_qs(query).get("wait_seconds", ["0"])[-1]
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds <= MAX_WAIT_S else None
