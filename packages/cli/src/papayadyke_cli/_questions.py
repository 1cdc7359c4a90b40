"""`papayadyke status`, `explain` and `refused`."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from typing import Annotated

import typer

from papayadyke_cli._exits import fail_on_problem
from papayadyke_cli._output import JsonFlag, print_json, print_table
from papayadyke_cli._settings import Session
from papayadyke_cli._values import parse_since
from papayadyke_clients.operators import RefusedView, StatusView


def status(ctx: typer.Context, as_json: JsonFlag = False) -> None:
    """Show VMs and their configuration, upstreams and queues."""
    session: Session = ctx.obj
    result = session.connect().read_status()
    if result.is_err():
        fail_on_problem(result.unwrap_err())
    if as_json:
        print_json(result.unwrap())
    else:
        _print_status(result.unwrap())


def explain(
    ctx: typer.Context,
    request_id: Annotated[str, typer.Argument(help="As in the header Request-Id.")],
    as_json: JsonFlag = False,
) -> None:
    """Show the outcome of a request, and the reason."""
    session: Session = ctx.obj
    result = session.connect().explain(request_id)
    if result.is_err():
        fail_on_problem(result.unwrap_err())
    explanation = result.unwrap()
    if as_json:
        print_json(explanation)
        return
    verdict = f", {explanation.verdict.value}" if explanation.verdict else ""
    reason = f" ({explanation.reason.value})" if explanation.reason else ""
    typer.echo(
        f"{explanation.request_id} of {explanation.workload}: "
        f"{explanation.state}{verdict}{reason}"
    )
    for line in explanation.lines:
        typer.echo(f"  {line}")


def refused(
    ctx: typer.Context,
    workload: Annotated[str, typer.Option(help="Name; by default all workloads.")] = "",
    since: Annotated[str, typer.Option(help="As in 15m, 2h or 2026-05-01.")] = "1h",
    as_json: JsonFlag = False,
) -> None:
    """List refused requests, and the reasons."""
    session: Session = ctx.obj
    since_unix_s = max(parse_since(since, now=time.time()), 0.0)
    result = session.connect().list_refused(workload, since_unix_s=since_unix_s)
    if result.is_err():
        fail_on_problem(result.unwrap_err())
    if as_json:
        print_json(result.unwrap())
    else:
        _print_refused(result.unwrap())


def _print_status(view: StatusView) -> None:
    reachable = {True: "reachable", False: "away", None: "not known"}
    typer.echo(
        f"{view.vm}: preset {view.in_force} in force, revision "
        f"{view.config_revision}, store {reachable[view.store_reachable]}"
    )
    typer.echo()
    print_table(
        ("VM", "ZONE", "STATE", "REVISION", "QUEUED", "RUNNING", "UPSTREAMS"),
        [
            (
                vm.name,
                vm.availability_zone,
                vm.state,
                "?" if vm.config_revision is None else vm.config_revision,
                vm.queued,
                vm.running,
                vm.upstreams,
            )
            for vm in view.vms
        ],
    )
    typer.echo()
    print_table(
        ("UPSTREAM", "RACK", "OWNER", "STATE", "RUNNING", "SLOTS", "FREE_CPUS"),
        [
            (
                upstream.name,
                upstream.rack,
                upstream.owner,
                upstream.state,
                upstream.running,
                upstream.slots,
                f"{upstream.free_cpu_millis / 1000:g}",
            )
            for upstream in view.upstreams
        ],
    )
    typer.echo()
    print_table(
        ("WORKLOAD", "QUEUED", "RUNNING", "STARTED", "REFUSED", "CPUS"),
        [
            (
                queue.workload,
                queue.queued,
                queue.running,
                queue.started_total,
                queue.refused_total,
                f"{queue.held_cpu_millis / 1000:g}",
            )
            for queue in view.queues
        ],
    )


def _print_refused(view: RefusedView) -> None:
    print_table(
        ("WORKLOAD", "REASON", "REQUESTS"),
        [(count.workload, count.reason.value, count.requests) for count in view.counts],
    )
    typer.echo()
    print_table(
        ("TIME", "REQUEST", "WORKLOAD", "VERDICT", "REASON", "DETAIL"),
        [
            (
                datetime.fromtimestamp(request.at_unix_s, UTC).isoformat(
                    "T", "seconds"
                ),
                request.request_id,
                request.workload,
                request.verdict.value,
                request.reason.value,
                request.detail,
            )
            for request in view.requests
        ],
    )
    if not view.is_complete:
        typer.echo(f"not complete: {view.detail}", err=True)
