"""Zone record: the VMs among which the upstreams of a zone are divided."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

MAX_WEIGHT = 1_000_000


class Owner(Struct, frozen=True, order=True):
    """A VM that owns upstreams, with its weight relative to the other VMs."""

    vm: str
    weight: int


class ZoneRecord(Struct, frozen=True):
    """Owners of the upstreams of a zone, as kept in the store.

    Parameters
    ----------
    epoch : int
        Increases by one with each change.
    owners : tuple of Owner
        Owners sorted by VM name.
    """

    epoch: int
    owners: tuple[Owner, ...]


@dataclass(frozen=True, slots=True)
class RecordError:
    """Reason for which a zone record is not valid."""

    detail: str


def encode_record(record: ZoneRecord) -> bytes:
    """Encode a zone record as JSON for the store."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Result[ZoneRecord, RecordError]:
    """Decode a zone record from JSON and validate it."""
    try:
        record = msgspec.json.decode(data, type=ZoneRecord)
    except msgspec.DecodeError as exc:
        return Err(RecordError(str(exc)))
    return check_record(record)


def check_record(record: ZoneRecord) -> Result[ZoneRecord, RecordError]:
    """Validate a zone record that came from the store or a peer."""
    names = [owner.vm for owner in record.owners]
    if record.epoch < 1:
        return Err(RecordError("epoch is below 1"))
    if names != sorted(set(names)):
        return Err(RecordError("owners are not sorted by VM name or not unique"))
    if not all(0 < owner.weight <= MAX_WEIGHT for owner in record.owners):
        return Err(RecordError("an owner weight is out of range"))
    return Ok(record)
