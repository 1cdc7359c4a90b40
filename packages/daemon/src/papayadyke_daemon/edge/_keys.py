"""Keys and records of the daemon in the platform's store."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from papayadyke_core.dispatch import StagedJobSpec

ROOT = "papayadyke/"
DECIDER_KEY = ROOT + "decider"
ROSTER_KEY = ROOT + "roster"
LEARNED_KEY = ROOT + "learned"
INTAKE_PREFIX = ROOT + "in/"
JOB_PREFIX = INTAKE_PREFIX + "job/"
CANCEL_PREFIX = INTAKE_PREFIX + "cancel/"
PROGRESS_PREFIX = ROOT + "progress/"


class DeciderRecord(msgspec.Struct):
    """Identity of the decider; the revision of its key is the fencing token."""

    vm: str
    address: str
    incarnation: str


class RosterRecord(msgspec.Struct):
    """State that a decider hands to the next one.

    Parameters
    ----------
    terms : int
        Number of terms so far.
    upstreams : dict of str to (str, str)
        Address and service of each upstream that may have runs, by its id. An
        upstream may keep running after its registry entry has been removed.
    by_service : dict of str to (dict of str to str)
        Addresses by service and id, in place of `upstreams` where these are many.
    """

    terms: int = 0
    upstreams: dict[str, tuple[str, str]] = {}
    by_service: dict[str, dict[str, str]] = {}


def encode_record(record: object) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_job(data: bytes) -> StagedJobSpec:
    """Decode a stored job.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a job.
    """
    return msgspec.json.decode(data, type=StagedJobSpec)


def encode_roster(record: RosterRecord, max_bytes: int) -> bytes:
    """Encode a roster for the store, in at most `max_bytes` if it can be.

    Services are named once if the roster is too large otherwise. Earlier builds do not
    read that form.
    """
    data = encode_record(record)
    if len(data) <= max_bytes:
        return data
    by_service: dict[str, dict[str, str]] = {}
    for upstream_id, (address, service) in record.upstreams.items():
        by_service.setdefault(service, {})[upstream_id] = address
    return encode_record(RosterRecord(record.terms, {}, by_service))


def decode_roster(data: bytes) -> RosterRecord:
    """Decode a stored roster."""
    record = msgspec.json.decode(data, type=RosterRecord)
    for service, addresses in record.by_service.items():
        for upstream_id, address in addresses.items():
            record.upstreams[upstream_id] = address, service
    return RosterRecord(record.terms, record.upstreams)


def decode_decider(data: bytes) -> DeciderRecord:
    """Decode a stored decider record."""
    return msgspec.json.decode(data, type=DeciderRecord)


def read_decider_vm(read: Callable[[str], bytes | None]) -> str:
    """Return the name of the decider's VM, or an empty string if there is none.

    Parameters
    ----------
    read : callable
        Returns the value of a key of the store.
    """
    data = read(DECIDER_KEY)
    return "" if data is None else decode_decider(data).vm
