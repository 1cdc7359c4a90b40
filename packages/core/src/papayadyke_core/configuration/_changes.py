"""Configuration changes and their encoding in the configuration log."""

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
    """Kind of configuration item that a change modifies."""

    WORKLOAD = "workload"
    TEAM = "team"
    PRESET = "preset"
    IN_FORCE = "in_force"
    CONFIG = "config"


class Change(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Fields common to all configuration changes.

    Parameters
    ----------
    id : str
        Unique; a second change with the same id is a retry of the first.
    author : str
        Identity of the submitter.
    expected : int or None, default=None
        Configuration revision of the item's last change, as the author last read
        it; 0 for an item that was never created. None accepts whichever revision
        the item has when the change is received.
    """

    id: str
    author: str
    expected: int | None = None

    @property
    def kind(self) -> ItemKind:
        """Kind of the changed item."""
        raise NotImplementedError

    @property
    def name(self) -> str:
        """Name of the changed item."""
        raise NotImplementedError


class PutWorkload(Change, tag="put_workload", frozen=True, kw_only=True):
    """Create or replace a workload."""

    workload: WorkloadModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the changed item."""
        return ItemKind.WORKLOAD

    @property
    def name(self) -> str:
        """Name of the changed item."""
        return self.workload.name


class PutTeam(Change, tag="put_team", frozen=True, kw_only=True):
    """Create or replace a team."""

    team: TeamModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the changed item."""
        return ItemKind.TEAM

    @property
    def name(self) -> str:
        """Name of the changed item."""
        return self.team.name


class PutPreset(Change, tag="put_preset", frozen=True, kw_only=True):
    """Create or replace a preset."""

    preset: PresetModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the changed item."""
        return ItemKind.PRESET

    @property
    def name(self) -> str:
        """Name of the changed item."""
        return self.preset.name


class DeleteItem(Change, tag="delete", frozen=True, kw_only=True):
    """Delete a workload, a team or a preset."""

    item: ItemKind
    item_name: str

    @property
    def kind(self) -> ItemKind:
        """Kind of the changed item."""
        return self.item

    @property
    def name(self) -> str:
        """Name of the changed item."""
        return self.item_name


class SwitchPreset(Change, tag="switch_preset", frozen=True, kw_only=True):
    """Make another preset the one in force."""

    preset: str

    @property
    def kind(self) -> ItemKind:
        """Kind of the changed item."""
        return ItemKind.IN_FORCE

    @property
    def name(self) -> str:
        """Empty, because exactly one preset is in force."""
        return ""


class ReplaceConfig(Change, tag="replace_config", frozen=True, kw_only=True):
    """Replace the whole configuration; `expected` is the revision to replace."""

    config: ConfigModel

    @property
    def kind(self) -> ItemKind:
        """Kind of the changed item."""
        return ItemKind.CONFIG

    @property
    def name(self) -> str:
        """Empty, because there is a single configuration."""
        return ""


class UnknownChange(Change, tag="unknown", frozen=True, kw_only=True):
    """Log entry written by a newer version that this version cannot decode."""

    @property
    def kind(self) -> ItemKind:
        """Whole configuration, because the changed item is not known."""
        return ItemKind.CONFIG

    @property
    def name(self) -> str:
        """Empty, because the changed item is not known."""
        return ""


AnyChange = (
    PutWorkload | PutTeam | PutPreset | DeleteItem | SwitchPreset | ReplaceConfig
)


class LogEntry(msgspec.Struct, frozen=True):
    """Accepted change at its position in the log.

    Parameters
    ----------
    revision : int
        Configuration revision that this change produces; the first is 1.
    previous_id : str
        Id of the preceding change; empty for the first entry.
    change : AnyChange
    """

    revision: int
    previous_id: str
    change: AnyChange | UnknownChange


class _ChangeHeader(msgspec.Struct, frozen=True):
    id: str
    author: str


class _EntryHeader(msgspec.Struct, frozen=True):
    revision: int
    previous_id: str
    change: _ChangeHeader


def encode_model(value: Any) -> Any:
    """Convert a pydantic model to builtin types, as an msgspec encoding hook."""
    if isinstance(value, BaseModel):
        return value.model_dump(mode="json")
    raise NotImplementedError(type(value).__name__)


def decode_model(model_class: type, value: Any) -> Any:
    """Validate builtin types as a pydantic model, as an msgspec decoding hook."""
    if issubclass(model_class, BaseModel):
        return model_class.model_validate(value)
    raise NotImplementedError(model_class.__name__)


_encoder = msgspec.msgpack.Encoder(enc_hook=encode_model)
_entry_decoder = msgspec.msgpack.Decoder(LogEntry, dec_hook=decode_model)
_entry_header_decoder = msgspec.msgpack.Decoder(_EntryHeader)
_change_decoder = msgspec.json.Decoder(AnyChange, dec_hook=decode_model)
_change_encoder = msgspec.json.Encoder(enc_hook=encode_model)


def encode_entry(entry: LogEntry) -> bytes:
    """Encode a log entry for the store and for peers."""
    return _encoder.encode(entry)


def decode_entry(data: bytes) -> LogEntry:
    """Decode a log entry; a change of a newer version becomes `UnknownChange`.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        If the data is not a valid entry.
    """
    try:
        return _entry_decoder.decode(data)
    except msgspec.ValidationError:
        header = _entry_header_decoder.decode(data)
    change = UnknownChange(id=header.change.id, author=header.change.author)
    return LogEntry(header.revision, header.previous_id, change)


def encode_change(change: AnyChange) -> bytes:
    """Encode a change as JSON."""
    return _change_encoder.encode(change)


def decode_change(data: bytes) -> AnyChange:
    """Decode a change from JSON.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        If the data is not a valid change.
    """
    return _change_decoder.decode(data)
