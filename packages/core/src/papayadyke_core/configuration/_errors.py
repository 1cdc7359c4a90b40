"""Why a change is not accepted."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import ValidationError

from papayadyke_core.configuration._changes import ItemKind
from papayadyke_core.configuration._stamps import Stamp


@dataclass(frozen=True, slots=True)
class Conflict:
    """Somebody else changed the item first; nothing was changed.

    Parameters
    ----------
    kind : ItemKind
    name : str
    expected : int
        Revision that the author expected the item at.
    winner : Stamp
        The change that stands.
    """

    kind: ItemKind
    name: str
    expected: int
    winner: Stamp

    @property
    def detail(self) -> str:
        """One sentence for the author."""
        what = f"{self.kind.value} {self.name}".strip().replace("_", " ")
        if self.winner.revision == 0:
            return f"{what} is not at revision {self.expected}: nobody has put it"
        return (
            f"{what} was changed first by {self.winner.author or 'nobody'} at "
            f"revision {self.winner.revision} (change {self.winner.change_id}); "
            f"expected revision {self.expected}"
        )


@dataclass(frozen=True, slots=True)
class Problem:
    """One field that is wrong."""

    path: str
    message: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration would not be valid; nothing was changed."""

    problems: tuple[Problem, ...]

    @property
    def detail(self) -> str:
        """One sentence for the author."""
        return "; ".join(
            f"{item.path}: {item.message}" if item.path else item.message
            for item in self.problems
        )


ChangeError = Conflict | Invalid


def problems_of(error: ValidationError) -> tuple[Problem, ...]:
    """Return the wrong fields of a pydantic error, each with its path."""
    return tuple(
        Problem(
            ".".join(str(part) for part in item["loc"]),
            item["msg"].removeprefix("Value error, "),
        )
        for item in error.errors(include_input=False, include_url=False)
    )
