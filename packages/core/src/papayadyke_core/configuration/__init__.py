"""Replicated log of configuration changes, without I/O."""

from papayadyke_core.configuration._changes import (
    MAX_CHANGE_BYTES,
    AnyChange,
    Change,
    DeleteItem,
    ItemKind,
    LogEntry,
    PutPreset,
    PutTeam,
    PutWorkload,
    ReplaceConfig,
    SwitchPreset,
    UnknownChange,
    decode_change,
    decode_entry,
    decode_model,
    encode_change,
    encode_entry,
    encode_model,
)
from papayadyke_core.configuration._diff import Difference, diff_presets
from papayadyke_core.configuration._errors import (
    ChangeError,
    Conflict,
    InvalidChange,
    ValidationProblem,
    problems_from_error,
)
from papayadyke_core.configuration._log import ConfigLog
from papayadyke_core.configuration._rules import apply_entry, check_change
from papayadyke_core.configuration._snapshot import (
    MAX_CHUNKS,
    SnapshotHead,
    decode_head,
    encode_head,
    make_snapshot,
    read_snapshot,
)
from papayadyke_core.configuration._stamps import ChangeStamp, RecentChange
from papayadyke_core.configuration._state import ConfigState, Item

__all__ = [
    "MAX_CHANGE_BYTES",
    "MAX_CHUNKS",
    "AnyChange",
    "Change",
    "ChangeError",
    "ChangeStamp",
    "ConfigLog",
    "ConfigState",
    "Conflict",
    "DeleteItem",
    "Difference",
    "InvalidChange",
    "Item",
    "ItemKind",
    "LogEntry",
    "PutPreset",
    "PutTeam",
    "PutWorkload",
    "RecentChange",
    "ReplaceConfig",
    "SnapshotHead",
    "SwitchPreset",
    "UnknownChange",
    "ValidationProblem",
    "apply_entry",
    "check_change",
    "decode_change",
    "decode_entry",
    "decode_head",
    "decode_model",
    "diff_presets",
    "encode_change",
    "encode_entry",
    "encode_head",
    "encode_model",
    "make_snapshot",
    "problems_from_error",
    "read_snapshot",
]
