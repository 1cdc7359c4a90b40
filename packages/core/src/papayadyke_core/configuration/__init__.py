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
    Invalid,
    Problem,
    problems_of,
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
from papayadyke_core.configuration._stamps import RecentChange, Stamp
from papayadyke_core.configuration._state import ConfigState, Item

__all__ = [
    "MAX_CHANGE_BYTES",
    "MAX_CHUNKS",
    "AnyChange",
    "Change",
    "ChangeError",
    "ConfigLog",
    "ConfigState",
    "Conflict",
    "DeleteItem",
    "Difference",
    "Invalid",
    "Item",
    "ItemKind",
    "LogEntry",
    "Problem",
    "PutPreset",
    "PutTeam",
    "PutWorkload",
    "RecentChange",
    "ReplaceConfig",
    "SnapshotHead",
    "Stamp",
    "SwitchPreset",
    "UnknownChange",
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
    "problems_of",
    "read_snapshot",
]
