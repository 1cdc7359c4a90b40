"""Exit codes of the command, and functions that exit with a message."""

from __future__ import annotations

from enum import IntEnum
from typing import NoReturn

import typer

from papayadyke_clients.operators import OperatorsProblem, ProblemCode


class ExitCode(IntEnum):
    """Exit codes of the command, for scripts."""

    DONE = 0
    FAULT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNAVAILABLE = 6
    UNRESOLVED = 7
    NOT_AUTHENTICATED = 8
    NOT_RUN = 9
    MAY_HAVE_RUN = 10
    ANSWERED_WITH_ERROR = 11


_EXIT_CODE_BY_PROBLEM = {
    ProblemCode.BAD_REQUEST: ExitCode.INVALID,
    ProblemCode.INVALID: ExitCode.INVALID,
    ProblemCode.TOO_LARGE: ExitCode.INVALID,
    ProblemCode.NOT_AUTHENTICATED: ExitCode.NOT_AUTHENTICATED,
    ProblemCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ProblemCode.CONFLICT: ExitCode.CONFLICT,
    ProblemCode.UNAVAILABLE: ExitCode.UNAVAILABLE,
    ProblemCode.UNRESOLVED: ExitCode.UNRESOLVED,
    ProblemCode.FAULT: ExitCode.FAULT,
}


def fail(code: ExitCode, message: str) -> NoReturn:
    """Print a message to the standard error and exit with a code."""
    typer.echo(f"papayadyke: {message}", err=True)
    raise typer.Exit(int(code))


def fail_on_problem(problem: OperatorsProblem) -> NoReturn:
    """Exit with the message and the exit code of a daemon's problem."""
    fail(_EXIT_CODE_BY_PROBLEM[problem.code], problem.detail)
