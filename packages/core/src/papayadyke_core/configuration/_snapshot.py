"""Configuration snapshots, split into chunks that fit the store's value limit."""

from __future__ import annotations

import hashlib
import zlib

import msgspec
from result import Err, Ok, Result

from papayadyke_core.configuration._changes import decode_model, encode_model
from papayadyke_core.configuration._stamps import ChangeStamp, RecentChange
from papayadyke_core.configuration._state import (
    ConfigState,
    Item,
    make_preset_item,
    make_team_item,
    make_workload_item,
)
from papayadyke_core.workloads import PresetModel, TeamModel, WorkloadModel

# Below the limit of the store, 1 000 000 bytes per value.
CHUNK_BYTES = 900_000
MAX_CHUNKS = 64
MAX_SNAPSHOT_BYTES = 128 * 1024 * 1024


class SnapshotHead(msgspec.Struct, frozen=True):
    """Reference to the newest snapshot, with a checksum to verify it.

    Parameters
    ----------
    revision : int
        Configuration revision of the snapshot.
    chunks : int
        Number of chunks that the snapshot is split into.
    digest : str
        SHA-256 of the concatenated chunks, in hexadecimal.
    """

    revision: int
    chunks: int
    digest: str


class _Workload(msgspec.Struct, frozen=True):
    stamp: ChangeStamp
    model: WorkloadModel


class _Team(msgspec.Struct, frozen=True):
    stamp: ChangeStamp
    model: TeamModel


class _Preset(msgspec.Struct, frozen=True):
    stamp: ChangeStamp
    model: PresetModel


class _Snapshot(msgspec.Struct, frozen=True):
    revision: int
    last_id: str
    workloads: list[_Workload]
    teams: list[_Team]
    presets: list[_Preset]
    in_force: str
    in_force_stamp: ChangeStamp
    recent: list[RecentChange]


_encoder = msgspec.msgpack.Encoder(enc_hook=encode_model)
_decoder = msgspec.msgpack.Decoder(_Snapshot, dec_hook=decode_model)
_head_decoder = msgspec.msgpack.Decoder(SnapshotHead)


def encode_head(head: SnapshotHead) -> bytes:
    """Encode a snapshot head."""
    return _encoder.encode(head)


def decode_head(data: bytes) -> SnapshotHead:
    """Decode a snapshot head.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        If the data is not a valid head.
    """
    return _head_decoder.decode(data)


def make_snapshot(state: ConfigState) -> tuple[SnapshotHead, list[bytes]]:
    """Return the head of a state's snapshot and its chunks in order."""
    data = zlib.compress(_encoder.encode(_pack(state)))
    chunks = [data[i : i + CHUNK_BYTES] for i in range(0, len(data), CHUNK_BYTES)]
    digest = hashlib.sha256(data).hexdigest()
    return SnapshotHead(state.revision, len(chunks), digest), chunks


def read_snapshot(head: SnapshotHead, chunks: list[bytes]) -> Result[ConfigState, str]:
    """Restore the state from a snapshot, or return why it is invalid.

    Parameters
    ----------
    head : SnapshotHead
    chunks : list of bytes
        All chunks in order.

    Returns
    -------
    result : Result of ConfigState, str
    """
    data = b"".join(chunks)
    if hashlib.sha256(data).hexdigest() != head.digest:
        return Err("the chunks are not those of the head")
    try:
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
        state = _unpack(_decoder.decode(decompressed))
    except (zlib.error, msgspec.DecodeError, AssertionError) as exc:
        return Err(f"the snapshot cannot be read: {exc}")
    if state.revision != head.revision:
        return Err("the snapshot is of another revision than its head")
    return Ok(state)


def _pack(state: ConfigState) -> _Snapshot:
    return _Snapshot(
        revision=state.revision,
        last_id=state.last_id,
        workloads=[
            _Workload(item.stamp, item.model) for item in state.workloads.values()
        ],
        teams=[_Team(item.stamp, item.model) for item in state.teams.values()],
        presets=[_Preset(item.stamp, item.model) for item in state.presets.values()],
        in_force=state.in_force,
        in_force_stamp=state.in_force_stamp,
        recent=list(state.recent.values()),
    )


def _unpack(snapshot: _Snapshot) -> ConfigState:
    workloads = [
        make_workload_item(record.model, record.stamp) for record in snapshot.workloads
    ]
    teams = [make_team_item(record.model, record.stamp) for record in snapshot.teams]
    presets = [
        make_preset_item(record.model, record.stamp) for record in snapshot.presets
    ]
    return ConfigState(
        revision=snapshot.revision,
        last_id=snapshot.last_id,
        workloads=_by_name(workloads),
        teams=_by_name(teams),
        presets=_by_name(presets),
        in_force=snapshot.in_force,
        in_force_stamp=snapshot.in_force_stamp,
        recent={change.stamp.change_id: change for change in snapshot.recent},
    )


def _by_name(items: list[Item]) -> dict[str, Item]:
    return {item.value.name: item for item in items}
