"""Keys and records of the daemon in the platform's store."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from papayadyke_core.dispatch import StagedJobSpec

ROOT = "papayadyke/"
DECIDER_KEY = ROOT + "decider"
ROSTER_KEY = ROOT + "roster"
INTAKE_PREFIX = ROOT + "in/"
JOB_PREFIX = INTAKE_PREFIX + "job/"
CANCEL_PREFIX = INTAKE_PREFIX + "cancel/"
PROGRESS_PREFIX = ROOT + "progress/"


class DeciderRecord(msgspec.Struct):
    """Who decides; the revision of the key is the fencing token."""

    vm: str
    address: str
    incarnation: str


class RosterRecord(msgspec.Struct):
    """What outlives a decider.

    Parameters
    ----------
    terms : int
        Deciders so far.
    upstreams : dict of str to str
        Address and service of each upstream that may run something, by its id;
        an upstream may run on after its entry in the registry is gone.
    """

    terms: int = 0
    upstreams: dict[str, tuple[str, str]] = {}


def encode_record(record: object) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(record)


def decode_job(data: bytes) -> StagedJobSpec:
    """Read a stored job.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a job.
    """
    return msgspec.json.decode(data, type=StagedJobSpec)


def decode_roster(data: bytes) -> RosterRecord:
    """Read a stored roster."""
    return msgspec.json.decode(data, type=RosterRecord)


def decode_decider(data: bytes) -> DeciderRecord:
    """Read a stored decider."""
    return msgspec.json.decode(data, type=DeciderRecord)


def read_decider_vm(read: Callable[[str], bytes | None]) -> str:
    """Return the name of the VM that decides, empty for none.

    Parameters
    ----------
    read : callable
        Returns the value of a key of the store.
    """
    data = read(DECIDER_KEY)
    return "" if data is None else decode_decider(data).vm
