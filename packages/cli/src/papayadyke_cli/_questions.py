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
    """Tell of VMs and their configuration, upstreams and queues."""
    session: Session = ctx.obj
    found = session.connect().read_status()
    if found.is_err():
        fail_on_problem(found.unwrap_err())
    if as_json:
        print_json(found.unwrap())
    else:
        _print_status(found.unwrap())


def explain(
    ctx: typer.Context,
    request_id: Annotated[str, typer.Argument(help="As in the header Request-Id.")],
    as_json: JsonFlag = False,
) -> None:
    """Tell what became of a request, and why."""
    session: Session = ctx.obj
    found = session.connect().explain(request_id)
    if found.is_err():
        fail_on_problem(found.unwrap_err())
    told = found.unwrap()
    if as_json:
        print_json(told)
        return
    verdict = f", {told.verdict.value}" if told.verdict else ""
    reason = f" ({told.reason.value})" if told.reason else ""
    typer.echo(f"{told.request_id} of {told.workload}: {told.state}{verdict}{reason}")
    for line in told.lines:
        typer.echo(f"  {line}")


def refused(
    ctx: typer.Context,
    workload: Annotated[str, typer.Option(help="Name; all workloads without it.")] = "",
    since: Annotated[str, typer.Option(help="As in 15m, 2h or 2026-05-01.")] = "1h",
    as_json: JsonFlag = False,
) -> None:
    """Tell who was turned away, and why."""
    session: Session = ctx.obj
    start = max(parse_since(since, now=time.time()), 0.0)
    found = session.connect().list_refused(workload, since_unix_s=start)
    if found.is_err():
        fail_on_problem(found.unwrap_err())
    if as_json:
        print_json(found.unwrap())
    else:
        _print_refused(found.unwrap())


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
                item.name,
                item.rack,
                item.owner,
                item.state,
                item.running,
                item.slots,
                f"{item.free_cpu_millis / 1000:g}",
            )
            for item in view.upstreams
        ],
    )
    typer.echo()
    print_table(
        ("WORKLOAD", "QUEUED", "RUNNING", "STARTED", "REFUSED", "CPUS"),
        [
            (
                item.workload,
                item.queued,
                item.running,
                item.started_total,
                item.refused_total,
                f"{item.held_cpu_millis / 1000:g}",
            )
            for item in view.queues
        ],
    )


def _print_refused(view: RefusedView) -> None:
    print_table(
        ("WORKLOAD", "REASON", "REQUESTS"),
        [(item.workload, item.reason.value, item.requests) for item in view.counts],
    )
    typer.echo()
    print_table(
        ("TIME", "REQUEST", "WORKLOAD", "VERDICT", "REASON", "DETAIL"),
        [
            (
                datetime.fromtimestamp(item.at_unix_s, UTC).isoformat("T", "seconds"),
                item.request_id,
                item.workload,
                item.verdict.value,
                item.reason.value,
                item.detail,
            )
            for item in view.requests
        ],
    )
    if not view.is_complete:
        typer.echo(f"not complete: {view.detail}", err=True)
