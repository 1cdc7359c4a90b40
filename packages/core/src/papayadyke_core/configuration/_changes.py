"""Changes of the configuration, as they stand in its log."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
from pydantic import BaseModel

from papayadyke_core.workloads import (
    ConfigModel,
    PresetModel,
    TeamModel,
    WorkloadModel,
)

MAX_CHANGE_BYTES = 900_000
MAX_ID_CHARS = 64
MAX_AUTHOR_CHARS = 128


class ItemKind(StrEnum):
    """What a change is about."""

    WORKLOAD = "workload"
    TEAM = "team"
    PRESET = "preset"
    IN_FORCE = "in_force"
    CONFIG = "config"


class Change(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What every change carries.

    Parameters
    ----------
    id : str
        Unique; the same id again is the same change, sent again.
    author : str
    expected : int or None, default=None
        Revision of the configuration that last changed the item, as the author
        saw it; 0 for an item that was never put. None stands for the item as
        it is when the change comes in.
    """

    id: str
    author: str
    expected: int | None = None

    @property
    def kind(self) -> ItemKind:
        """Kind of the item that is changed."""
        raise NotImplementedError

    @property
    def name(self) -> str:
        """Name of the item that is changed."""
        raise NotImplementedError


class PutWorkload(Change, tag="put_workload", frozen=True, kw_only=True):
    """Create or replace a workload."""

    workload: WorkloadModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the item that is changed."""
        return ItemKind.WORKLOAD

    @property
    def name(self) -> str:
        """Name of the item that is changed."""
        return self.workload.name


class PutTeam(Change, tag="put_team", frozen=True, kw_only=True):
    """Create or replace a team."""

    team: TeamModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the item that is changed."""
        return ItemKind.TEAM

    @property
    def name(self) -> str:
        """Name of the item that is changed."""
        return self.team.name


class PutPreset(Change, tag="put_preset", frozen=True, kw_only=True):
    """Create or replace a preset."""

    preset: PresetModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the item that is changed."""
        return ItemKind.PRESET

    @property
    def name(self) -> str:
        """Name of the item that is changed."""
        return self.preset.name


class DeleteItem(Change, tag="delete", frozen=True, kw_only=True):
    """Delete a workload, a team or a preset."""

    item: ItemKind
    item_name: str

    @property
    def kind(self) -> ItemKind:
        """Kind of the item that is changed."""
        return self.item

    @property
    def name(self) -> str:
        """Name of the item that is changed."""
        return self.item_name


class SwitchPreset(Change, tag="switch_preset", frozen=True, kw_only=True):
    """Put a preset in force in place of the one that is."""

    preset: str

    @property
    def kind(self) -> ItemKind:
        """Kind of the item that is changed."""
        return ItemKind.IN_FORCE

    @property
    def name(self) -> str:
        """Empty: there is one preset in force."""
        return ""


class ReplaceConfig(Change, tag="replace_config", frozen=True, kw_only=True):
    """Replace the whole configuration; `expected` is its revision."""

    config: ConfigModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the item that is changed."""
        return ItemKind.CONFIG

    @property
    def name(self) -> str:
        """Empty: there is one configuration."""
        return ""


class UnknownChange(Change, tag="unknown", frozen=True, kw_only=True):
    """A change in the log that a newer version wrote and this one can't read."""

    @property
    def kind(self) -> ItemKind:
        """What it changed is not known, so it may be anything."""
        return ItemKind.CONFIG

    @property
    def name(self) -> str:
        """Empty: not known."""
        return ""


AnyChange = (
    PutWorkload | PutTeam | PutPreset | DeleteItem | SwitchPreset | ReplaceConfig
)


class LogEntry(msgspec.Struct, frozen=True):
    """One accepted change at its place in the log.

    Parameters
    ----------
    revision : int
        Of the configuration with this change; the first is 1.
    previous_id : str
        Id of the change before it; empty for the first.
    change : AnyChange
    """

    revision: int
    previous_id: str
    change: AnyChange | UnknownChange


class _Author(msgspec.Struct, frozen=True):
    id: str
    author: str


class _Frame(msgspec.Struct, frozen=True):
    revision: int
    previous_id: str
    change: _Author


def encode_model(value: Any) -> Any:
    """Turn a pydantic model into plain data, for msgspec."""
    if isinstance(value, BaseModel):
        return value.model_dump(mode="json")
    raise NotImplementedError(type(value).__name__)


def decode_model(kind: type, value: Any) -> Any:
    """Validate plain data by a pydantic model, for msgspec."""
    if issubclass(kind, BaseModel):
        return kind.model_validate(value)
    raise NotImplementedError(kind.__name__)


_encoder = msgspec.msgpack.Encoder(enc_hook=encode_model)
_entry_decoder = msgspec.msgpack.Decoder(LogEntry, dec_hook=decode_model)
_frame_decoder = msgspec.msgpack.Decoder(_Frame)
_change_decoder = msgspec.json.Decoder(AnyChange, dec_hook=decode_model)
_change_encoder = msgspec.json.Encoder(enc_hook=encode_model)


def encode_entry(entry: LogEntry) -> bytes:
    """Return the bytes of an entry for the store and for peers."""
    return _encoder.encode(entry)


def decode_entry(data: bytes) -> LogEntry:
    """Return the entry of some bytes; a change of a newer version is unknown.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        Where the bytes hold no valid entry.
    """
    try:
        return _entry_decoder.decode(data)
    except msgspec.ValidationError:
        frame = _frame_decoder.decode(data)
    change = UnknownChange(id=frame.change.id, author=frame.change.author)
    return LogEntry(frame.revision, frame.previous_id, change)


def encode_change(change: AnyChange) -> bytes:
    """Return a change as JSON."""
    return _change_encoder.encode(change)


def decode_change(data: bytes) -> AnyChange:
    """Return the change of some JSON.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        Where the bytes hold no valid change.
    """
    return _change_decoder.decode(data)
