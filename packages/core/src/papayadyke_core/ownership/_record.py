"""The zone record: the VMs among which the upstreams of a zone are shared out."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

MAX_WEIGHT = 1_000_000


class Owner(Struct, frozen=True, order=True):
    """A VM that owns upstreams, and its share relative to others."""

    vm: str
    weight: int


class ZoneRecord(Struct, frozen=True):
    """What the store holds for a zone.

    Parameters
    ----------
    epoch : int
        Grows by one with each change.
    owners : tuple of Owner
        In order of their names.
    """

    epoch: int
    owners: tuple[Owner, ...]


@dataclass(frozen=True, slots=True)
class RecordError:
    """Why bytes are no zone record."""

    detail: str


def encode_record(record: ZoneRecord) -> bytes:
    """Return the JSON form that the store holds."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Result[ZoneRecord, RecordError]:
    """Read and check the JSON form."""
    try:
        record = msgspec.json.decode(data, type=ZoneRecord)
    except msgspec.DecodeError as exc:
        return Err(RecordError(str(exc)))
    return check_record(record)


def check_record(record: ZoneRecord) -> Result[ZoneRecord, RecordError]:
    """Check the values of a record that came from the store or a peer."""
    names = [owner.vm for owner in record.owners]
    if record.epoch < 1:
        return Err(RecordError("epoch is below 1"))
    if names != sorted(set(names)):
        return Err(RecordError("owners are not in order or not unique"))
    if not all(0 < owner.weight <= MAX_WEIGHT for owner in record.owners):
        return Err(RecordError("a weight is out of bounds"))
    return Ok(record)
