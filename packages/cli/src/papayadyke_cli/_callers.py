"""`papayadyke submit` and `papayadyke job`: requests to the callers' interface."""

from __future__ import annotations

import sys
from typing import Annotated, Any

import msgspec
import typer

from papayadyke_cli._exits import ExitCode, fail
from papayadyke_cli._output import JsonFlag, print_json, print_table
from papayadyke_cli._settings import Session
from papayadyke_cli._values import read_bytes
from papayadyke_clients.http import HttpExchange, HttpReply
from papayadyke_core.verdicts import Verdict

CONNECT_TIMEOUT_S = 2.0
ANSWER_MARGIN_S = 10.0
MAX_JOB_WAIT_S = 60.0

job_app = typer.Typer(no_args_is_help=True)


class _Problem(msgspec.Struct):
    detail: str
    verdict: str = ""
    reason: str = ""


class _Task(msgspec.Struct):
    index: int
    state: str
    had_run: bool = False


class _Job(msgspec.Struct):
    id: str
    workload: str
    state: str
    tasks: list[_Task]


class _SubmitOutput(msgspec.Struct):
    """Output of `submit --json`."""

    status: int
    request_id: str
    upstream: str
    body: Any


def submit(
    ctx: typer.Context,
    workload: Annotated[str, typer.Argument(help="Name of the workload.")],
    file: Annotated[
        str, typer.Option(help='File with the body; "-" for standard input.')
    ] = "",
    data: Annotated[str, typer.Option(help="Body as text.")] = "",
    content_type: Annotated[str, typer.Option()] = "application/json",
    key: Annotated[str, typer.Option(help="Idempotency-Key.")] = "",
    timeout: Annotated[float, typer.Option(help="Seconds.", min=0.001)] = 30.0,
    as_json: JsonFlag = False,
) -> None:
    """Send one request and print its answer."""
    headers = {"Content-Type": content_type, "Request-Timeout": f"{timeout:g}"}
    if key:
        headers["Idempotency-Key"] = key
    body = read_bytes(file) if file else data.encode()
    reply = _send(
        ctx.obj,
        "POST",
        f"/v1/run/{workload}",
        body=body,
        headers=headers,
        timeout_s=timeout + ANSWER_MARGIN_S,
    )
    _print_reply(reply, as_json)
    if "Upstream" not in reply.headers and reply.status >= 400:
        _fail_on_refusal(reply)
    if reply.status >= 400:
        raise typer.Exit(int(ExitCode.ANSWERED_WITH_ERROR))


@job_app.command("submit")
def submit_job(
    ctx: typer.Context,
    file: Annotated[
        str, typer.Argument(help='JSON file of a job; "-" for standard input.')
    ],
    as_json: JsonFlag = False,
) -> None:
    """Send a job, and print its id once it is accepted."""
    headers = {"Content-Type": "application/json"}
    body = read_bytes(file)
    reply = _send(
        ctx.obj, "POST", "/v1/jobs", body=body, headers=headers, timeout_s=30.0
    )
    _print_job(reply, as_json)


@job_app.command("show")
def show_job(
    ctx: typer.Context,
    job_id: Annotated[str, typer.Argument(help="Id of the job.")],
    wait: Annotated[
        float, typer.Option(help="Seconds to wait for its end.", max=MAX_JOB_WAIT_S)
    ] = 0.0,
    as_json: JsonFlag = False,
) -> None:
    """Show the state of each task of a job."""
    path = f"/v1/jobs/{job_id}?wait_seconds={wait:g}"
    reply = _send(ctx.obj, "GET", path, timeout_s=wait + ANSWER_MARGIN_S)
    _print_job(reply, as_json)


@job_app.command("cancel")
def cancel_job(
    ctx: typer.Context,
    job_id: Annotated[str, typer.Argument(help="Id of the job.")],
    as_json: JsonFlag = False,
) -> None:
    """Cancel a job, and show which of its tasks had run."""
    reply = _send(ctx.obj, "DELETE", f"/v1/jobs/{job_id}", timeout_s=30.0)
    _print_job(reply, as_json)


def _send(
    session: Session,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float,
) -> HttpReply:
    """Send a request at most once: try the next address only if nothing was sent."""
    addresses = session.read_settings().callers
    if not addresses:
        fail(ExitCode.USAGE, f"{session.path}: callers is needed")
    for address in addresses:
        exchange = HttpExchange(
            address.host, address.port, kept=0, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        result = exchange.send(
            method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        if result.is_ok():
            return result.unwrap()
        if result.unwrap_err().was_sent:
            text = f"answer lost ({result.unwrap_err().detail}): it may have run"
            fail(ExitCode.MAY_HAVE_RUN, text)
    fail(ExitCode.UNAVAILABLE, "no daemon can be reached; nothing was sent")


def _print_reply(reply: HttpReply, as_json: bool) -> None:
    if as_json:
        print_json(
            _SubmitOutput(
                status=reply.status,
                request_id=reply.headers.get("Request-Id", ""),
                upstream=reply.headers.get("Upstream", ""),
                body=_read_body(reply),
            )
        )
    elif "Upstream" in reply.headers or reply.status < 400:
        sys.stdout.buffer.write(reply.body)
        sys.stdout.buffer.flush()


def _read_body(reply: HttpReply) -> Any:
    try:
        return msgspec.json.decode(reply.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return reply.body.decode("utf-8", "replace")


def _print_job(reply: HttpReply, as_json: bool) -> None:
    if reply.status >= 400:
        _fail_on_refusal(reply)
    if as_json:
        print_json(msgspec.Raw(reply.body))
        return
    job = msgspec.json.decode(reply.body, type=_Job)
    typer.echo(f"job {job.id} of {job.workload}: {job.state}")
    rows = [
        (task.index, task.state, "yes" if task.had_run else "no") for task in job.tasks
    ]
    print_table(("TASK", "STATE", "HAD_RUN"), rows)


def _fail_on_refusal(reply: HttpReply) -> None:
    try:
        problem = msgspec.json.decode(reply.body, type=_Problem)
    except msgspec.DecodeError:
        fail(ExitCode.FAULT, f"answer with status {reply.status} not understood")
    request_id = reply.headers.get("Request-Id", "")
    text = (
        f"{problem.detail} ({problem.verdict}, {problem.reason}; request {request_id})"
    )
    if reply.status == 404:
        fail(ExitCode.NOT_FOUND, text)
    may_have_run = problem.verdict != Verdict.NOT_RUN
    fail(ExitCode.MAY_HAVE_RUN if may_have_run else ExitCode.NOT_RUN, text)
