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
    """

    terms: int = 0
    upstreams: dict[str, tuple[str, str]] = {}


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


def decode_roster(data: bytes) -> RosterRecord:
    """Decode a stored roster."""
    return msgspec.json.decode(data, type=RosterRecord)


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
