"""Errors that reject a configuration change."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import ValidationError

from papayadyke_core.configuration._changes import ItemKind
from papayadyke_core.configuration._stamps import ChangeStamp


@dataclass(frozen=True, slots=True)
class Conflict:
    """Rejection of a change because another one modified the item first.

    The rejected change has no effect.

    Parameters
    ----------
    kind : ItemKind
    name : str
        Name of the item.
    expected : int
        Item revision that the author expected.
    winner : ChangeStamp
        Earlier change, which remains in effect.
    """

    kind: ItemKind
    name: str
    expected: int
    winner: ChangeStamp

    @property
    def detail(self) -> str:
        """One-sentence explanation for the author of the change."""
        item_label = f"{self.kind.value} {self.name}".strip().replace("_", " ")
        if self.winner.revision == 0:
            return f"{item_label} is not at revision {self.expected}: nobody has put it"
        return (
            f"{item_label} was changed first by {self.winner.author or 'nobody'} at "
            f"revision {self.winner.revision} (change {self.winner.change_id}); "
            f"expected revision {self.expected}"
        )


@dataclass(frozen=True, slots=True)
class ValidationProblem:
    """Invalid field and the reason; an empty path stands for the whole input."""

    path: str
    message: str


@dataclass(frozen=True, slots=True)
class InvalidChange:
    """Rejection, without effect, of a change that violates a validation rule."""

    problems: tuple[ValidationProblem, ...]

    @property
    def detail(self) -> str:
        """One-sentence explanation for the author of the change."""
        return "; ".join(
            f"{problem.path}: {problem.message}" if problem.path else problem.message
            for problem in self.problems
        )


ChangeError = Conflict | InvalidChange


def problems_from_error(error: ValidationError) -> tuple[ValidationProblem, ...]:
    """Return the problems in a pydantic error, each with the path of its field."""
    return tuple(
        ValidationProblem(
            ".".join(str(segment) for segment in error_details["loc"]),
            error_details["msg"].removeprefix("Value error, "),
        )
        for error_details in error.errors(include_input=False, include_url=False)
    )
