"""Configuration changes: sending one and printing its outcome."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import Annotated

import typer

from papayadyke_cli._exits import fail_on_problem
from papayadyke_cli._output import print_json
from papayadyke_cli._settings import Session
from papayadyke_clients.operators import ConfigView, OperatorsClient
from papayadyke_core.configuration import AnyChange

ChangeId = Annotated[
    str | None,
    typer.Option(help="Id of a change that is sent again after a lost answer."),
]
Expected = Annotated[
    int | None,
    typer.Option(
        help="Revision that last changed the item; without it, the one just read.",
        min=0,
    ),
]


@dataclass(frozen=True, slots=True)
class Header:
    """Fields of a change besides its content."""

    id: str
    author: str
    expected: int


def make_header(
    session: Session,
    current_revision: int,
    *,
    expected: int | None,
    change_id: str | None,
) -> Header:
    """Return the header of a new change, or of one that is sent again.

    Parameters
    ----------
    session : Session
    current_revision : int
        Revision that last changed the item, as just read.
    expected : int or None
        Revision given by the operator, used instead of the one read.
    change_id : str or None
    """
    return Header(
        id=change_id or uuid.uuid4().hex,
        author=session.author(),
        expected=current_revision if expected is None else expected,
    )


def read_config(client: OperatorsClient) -> ConfigView:
    """Return the configuration, or exit with the daemon's problem."""
    result = client.read_config()
    return result.unwrap() if result.is_ok() else fail_on_problem(result.unwrap_err())


def send_change(
    client: OperatorsClient, change: AnyChange, text: str, *, as_json: bool
) -> None:
    """Send a change and print its revision, or exit with the daemon's problem."""
    result = client.submit(change)
    if result.is_err():
        fail_on_problem(result.unwrap_err())
    accepted = result.unwrap()
    if as_json:
        print_json(accepted)
        return
    typer.echo(f"{text}: accepted at revision {accepted.revision}")
