"""Commands that workloads, teams and presets have in common."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated, Any

import typer
from pydantic import BaseModel, ValidationError

from papayadyke_cli._changes import (
    ChangeId,
    Expected,
    Header,
    make_header,
    read_config,
    send_change,
)
from papayadyke_cli._exits import ExitCode, fail
from papayadyke_cli._output import JsonFlag, format_stamp, print_json, print_table
from papayadyke_cli._settings import Session
from papayadyke_cli._values import assign_field, read_object, remove_field
from papayadyke_clients.operators import ConfigView
from papayadyke_core.configuration import (
    AnyChange,
    DeleteItem,
    ItemKind,
    problems_from_error,
)

ItemName = Annotated[str, typer.Argument(help="Name of the item.")]
File = Annotated[str | None, typer.Option(help='JSON file, or "-" for standard input.')]
Sets = Annotated[
    list[str] | None,
    typer.Option("--set", help="FIELD=VALUE, as in demand.cpus=0.5; repeatable."),
]
Unsets = Annotated[
    list[str] | None,
    typer.Option("--unset", help="FIELD to reset to its default; repeatable."),
]


@dataclass(frozen=True, slots=True)
class ItemCommands:
    """Properties of the commands of one kind of item.

    Parameters
    ----------
    kind : ItemKind
    model : type of BaseModel
    make_change : callable
        Called with a `Header` and a model; returns the change that stores the model.
    columns : sequence of str
        Column headers of the list after the name.
    cells : callable
        Called with a model; returns its values for `columns`.
    """

    kind: ItemKind
    model: type[BaseModel]
    make_change: Callable[[Header, Any], AnyChange]
    columns: Sequence[str]
    cells: Callable[[Any], Sequence[object]]

    @property
    def label(self) -> str:
        """Name of the kind, as texts show it."""
        return self.kind.value


def make_item_app(commands: ItemCommands) -> typer.Typer:
    """Return the commands create, show, list, edit and delete of one kind."""
    app = typer.Typer(no_args_is_help=True)
    label = commands.label

    @app.command(help=f"Create a {label} from a file, from fields, or from both.")
    def create(
        ctx: typer.Context,
        name: ItemName,
        file: File = None,
        sets: Sets = None,
        change_id: ChangeId = None,
        as_json: JsonFlag = False,
    ) -> None:
        session: Session = ctx.obj
        body = read_object(file) if file else {}
        model = _build_model(commands, name, body, sets, None)
        client = session.connect()
        if change_id is None:
            _check_absent(commands, read_config(client), name)
        header = make_header(session, 0, expected=0, change_id=change_id)
        change = commands.make_change(header, model)
        send_change(client, change, f"{label} {name}", as_json=as_json)

    @app.command(help=f"Change fields of a {label}, or replace it from a file.")
    def edit(
        ctx: typer.Context,
        name: ItemName,
        file: File = None,
        sets: Sets = None,
        unsets: Unsets = None,
        expected: Expected = None,
        change_id: ChangeId = None,
        as_json: JsonFlag = False,
    ) -> None:
        session: Session = ctx.obj
        if not (file or sets or unsets):
            fail(ExitCode.USAGE, "nothing to change: use --file, --set or --unset")
        client = session.connect()
        view = _find_view(commands, read_config(client), name)
        body = read_object(file) if file else view.model.model_dump(mode="json")
        model = _build_model(commands, name, body, sets, unsets)
        header = make_header(
            session, view.stamp.revision, expected=expected, change_id=change_id
        )
        change = commands.make_change(header, model)
        send_change(client, change, f"{label} {name}", as_json=as_json)

    @app.command(help=f"Delete a {label}.")
    def delete(
        ctx: typer.Context,
        name: ItemName,
        expected: Expected = None,
        change_id: ChangeId = None,
        as_json: JsonFlag = False,
    ) -> None:
        session: Session = ctx.obj
        client = session.connect()
        current_revision = 0
        # A deletion that is sent again may find the item already deleted by the
        # first attempt.
        if change_id is None or expected is None:
            current_revision = _find_view(
                commands, read_config(client), name
            ).stamp.revision
        header = make_header(
            session, current_revision, expected=expected, change_id=change_id
        )
        change = DeleteItem(
            id=header.id,
            author=header.author,
            expected=header.expected,
            item=commands.kind,
            item_name=name,
        )
        send_change(client, change, f"{label} {name}: deletion", as_json=as_json)

    @app.command(help=f"Show a {label} and who last changed it.")
    def show(ctx: typer.Context, name: ItemName, as_json: JsonFlag = False) -> None:
        session: Session = ctx.obj
        view = _find_view(commands, read_config(session.connect()), name)
        if as_json:
            print_json(view)
            return
        typer.echo(f"{label} {name}: {format_stamp(view.stamp)}")
        typer.echo(view.model.model_dump_json(indent=2))

    @app.command("list", help=f"List the {label}s.")
    def list_items(ctx: typer.Context, as_json: JsonFlag = False) -> None:
        session: Session = ctx.obj
        config = read_config(session.connect())
        views = config.items_of(commands.kind)
        if as_json:
            print_json(views)
            return
        rows = [
            (
                _mark_in_force(commands, config, view.model.name),
                *commands.cells(view.model),
            )
            for view in views
        ]
        print_table(["NAME", *commands.columns], rows)

    return app


def _build_model(
    commands: ItemCommands,
    name: str,
    body: dict[str, Any],
    sets: list[str] | None,
    unsets: list[str] | None,
) -> BaseModel:
    body = dict(body)
    if body.get("name", name) != name:
        fail(ExitCode.INVALID, f"the file is for {body['name']}, not for {name}")
    body["name"] = name
    for assignment in sets or ():
        assign_field(body, assignment)
    for path in unsets or ():
        remove_field(body, path)
    try:
        return commands.model.model_validate(body)
    except ValidationError as exc:
        lines = [
            f"{p.path}: {p.message}".removeprefix(": ")
            for p in problems_from_error(exc)
        ]
        fail(ExitCode.INVALID, f"{commands.label} {name}: " + "; ".join(lines))


def _find_view(commands: ItemCommands, config: ConfigView, name: str) -> Any:
    for view in config.items_of(commands.kind):
        if view.model.name == name:
            return view
    fail(ExitCode.NOT_FOUND, f"there is no {commands.label} {name}")


def _check_absent(commands: ItemCommands, config: ConfigView, name: str) -> None:
    for view in config.items_of(commands.kind):
        if view.model.name == name and view.stamp.revision > 0:
            text = (
                f"{commands.label} {name} exists: {format_stamp(view.stamp)}; use edit"
            )
            fail(ExitCode.CONFLICT, text)


def _mark_in_force(commands: ItemCommands, config: ConfigView, name: str) -> str:
    in_force = commands.kind is ItemKind.PRESET and config.in_force.preset == name
    return f"{name} (in force)" if in_force else name
