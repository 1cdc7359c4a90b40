"""Configuration file as written, of which some entries may be invalid."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ValidationError

from papayadyke_core.workloads import PresetModel, TeamModel, WorkloadModel

M = TypeVar("M", bound=BaseModel)

_COLLECTIONS = ("workloads", "teams", "presets")


class _JsonObject(dict[str, Any]):
    """JSON object that keeps the names that it contains more than once."""

    repeated: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Entry(Generic[M]):
    """Workload, team or preset of a file; the model is None if it is invalid."""

    path: str
    name: str | None
    model: M | None


@dataclass(frozen=True, slots=True)
class Draft:
    """Entries of a configuration file, each validated by itself.

    Parameters
    ----------
    body : Any
        Decoded JSON.
    workloads, teams, presets : tuple of Entry
    """

    body: Any
    workloads: tuple[Entry[WorkloadModel], ...]
    teams: tuple[Entry[TeamModel], ...]
    presets: tuple[Entry[PresetModel], ...]

    def has_list(self, collection: str) -> bool:
        """Return whether a collection is a list, as given or by default."""
        return isinstance(self.body, dict) and isinstance(
            self.body.get(collection, []), list
        )

    def format_path(self, loc: tuple[int | str, ...]) -> str:
        """Return the path of a field, with entries by name where the name is unique."""
        if len(loc) > 1 and loc[0] in _COLLECTIONS and isinstance(loc[1], int):
            entry = getattr(self, str(loc[0]))[loc[1]]
            return ".".join((entry.path, *map(str, loc[2:])))
        return ".".join(map(str, loc))


def read_draft(data: bytes) -> Draft:
    """Decode a configuration file.

    Raises
    ------
    ValueError
        If the file is not JSON.
    """
    body = json.loads(data.decode(), object_pairs_hook=_make_object)
    return Draft(
        body=body,
        workloads=_read_entries(body, "workloads", WorkloadModel),
        teams=_read_entries(body, "teams", TeamModel),
        presets=_read_entries(body, "presets", PresetModel),
    )


def find_repeated_names(
    body: Any, loc: tuple[int | str, ...] = ()
) -> Iterator[tuple[int | str, ...]]:
    """Yield the location of each name that a JSON object contains more than once."""
    if isinstance(body, _JsonObject):
        yield from ((*loc, name) for name in body.repeated)
        for name, value in body.items():
            yield from find_repeated_names(value, (*loc, name))
    elif isinstance(body, list):
        for index, value in enumerate(body):
            yield from find_repeated_names(value, (*loc, index))


def _make_object(pairs: list[tuple[str, Any]]) -> _JsonObject:
    value = _JsonObject(pairs)
    counts = Counter(name for name, _ in pairs)
    value.repeated = tuple(name for name, count in counts.items() if count > 1)
    return value


def _read_entries(
    body: Any, collection: str, model_class: type[M]
) -> tuple[Entry[M], ...]:
    entries = _list_entries(body, collection)
    counts = Counter(map(_name_of, entries))
    result: list[Entry[M]] = []
    for index, value in enumerate(entries):
        name = _name_of(value)
        segment = name if name and counts[name] == 1 else index
        result.append(
            Entry(f"{collection}.{segment}", name, _validate(model_class, value))
        )
    return tuple(result)


def _list_entries(body: Any, collection: str) -> list[Any]:
    default = [{"name": "ordinary"}] if collection == "presets" else []
    entries = body.get(collection, default) if isinstance(body, dict) else []
    return entries if isinstance(entries, list) else []


def _name_of(value: Any) -> str | None:
    name = value.get("name") if isinstance(value, dict) else None
    return name if isinstance(name, str) else None


def _validate(model_class: type[M], value: Any) -> M | None:
    try:
        return model_class.model_validate(value)
    except ValidationError:
        # The validation of the whole file reports the fields.
        return None
