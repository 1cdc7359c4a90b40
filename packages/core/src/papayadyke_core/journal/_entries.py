"""Entries of a partition's log, and the segments that carry them.

Entries are encoded as arrays with a tag, so a later version may append fields
that have a default and still read the segments of an earlier one.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from papayadyke_core.verdicts import Refusal


class TaskState(StrEnum):
    """Where a task of a job stands; the last five are final."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"
    MAY_HAVE_RUN = "may_have_run"
    REFUSED = "refused"

    @property
    def is_final(self) -> bool:
        """Whether a task in this state never changes again."""
        return self not in (TaskState.QUEUED, TaskState.STARTING, TaskState.RUNNING)


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """Base of what is stored."""


class Answer(_Record, frozen=True):
    """The whole answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    content_type : str
    body : bytes
    kept : bool, default=True
        False where the body was too large to keep, or has been dropped.
    """

    status: int
    content_type: str = ""
    body: bytes = b""
    kept: bool = True

    def without_body(self) -> Answer:
        """Return the answer with the body dropped."""
        return Answer(self.status, self.content_type, b"", False)


class Takeover(_Record, frozen=True, tag="takeover"):
    """A VM owns the partition from this segment on."""

    vm: str
    incarnation: str


class KeyClaimed(_Record, frozen=True, tag="claim"):
    """A request is the first with its idempotency key.

    Parameters
    ----------
    key : str
    workload : str
    digest : bytes
        Of the request's body.
    request_id : str
    holder : str
        The VM that runs the request.
    """

    key: str
    workload: str
    digest: bytes
    request_id: str
    holder: str = ""


class KeyPlaced(_Record, frozen=True, tag="place"):
    """The request of a key was sent to an upstream."""

    key: str
    request_id: str
    upstream: str


class KeyRecorded(_Record, frozen=True, tag="record"):
    """What the request of a key ended with: an answer or a refusal."""

    key: str
    request_id: str
    answer: Answer | None = None
    refusal: Refusal | None = None


class KeyReleased(_Record, frozen=True, tag="release"):
    """The request of a key did not run; the key may be claimed again."""

    key: str
    request_id: str


class JobAccepted(_Record, frozen=True, tag="job"):
    """A job was accepted.

    Parameters
    ----------
    job_id : str
    workload : str
    payloads : tuple of bytes
        One for each task.
    gang : bool
    deadline_s : float
        Seconds after acceptance by which the last task has to have started.
    idempotent : bool
    max_attempts : int
    epoch : int, default=0
        Number of the segment by which the accepting VM took the partition over.
    key : str, default=""
        Idempotency key; empty where the caller gave none.
    digest : bytes, default=b""
    """

    job_id: str
    workload: str
    payloads: tuple[bytes, ...]
    gang: bool
    deadline_s: float
    idempotent: bool
    max_attempts: int
    epoch: int = 0
    key: str = ""
    digest: bytes = b""

    def without_payloads(self) -> JobAccepted:
        """Return the record of a job that needs its payloads no longer."""
        empty = (b"",) * len(self.payloads)
        return msgspec.structs.replace(self, payloads=empty)


class TaskIntended(_Record, frozen=True, tag="intent"):
    """An attempt of a task may run on an upstream from now on."""

    job_id: str
    index: int
    attempt: int
    upstream: str


class TaskEnded(_Record, frozen=True, tag="end"):
    """The final outcome of a task.

    Parameters
    ----------
    job_id : str
    index : int
    attempt : int
    state : TaskState
        A final one.
    had_run : bool
        Whether any attempt may have run, in part or in whole.
    answer : Answer or None
    refusal : Refusal or None
    """

    job_id: str
    index: int
    attempt: int
    state: TaskState
    had_run: bool
    answer: Answer | None = None
    refusal: Refusal | None = None


class JobCancelled(_Record, frozen=True, tag="cancel"):
    """The caller cancelled a job; no further attempt is started."""

    job_id: str


Entry = (
    Takeover
    | KeyClaimed
    | KeyPlaced
    | KeyRecorded
    | KeyReleased
    | JobAccepted
    | TaskIntended
    | TaskEnded
    | JobCancelled
)


class TimedEntry(_Record, frozen=True):
    """An entry with the log time at which it was appended."""

    at_s: float
    entry: Entry


class Segment(_Record, frozen=True):
    """What one append writes.

    Parameters
    ----------
    id : str
        Unique, so that a writer knows its own segment after a lost answer.
    vm, incarnation : str
        The writer.
    at_s : float
        Log time: seconds for which the partition has been owned. It only grows,
        and stands still while nobody owns the partition, so a retention time
        counted on it is never shorter than stated, whatever the VMs' clocks say.
    entries : tuple of Entry
    """

    id: str
    vm: str
    incarnation: str
    at_s: float
    entries: tuple[Entry, ...]


_segments = msgspec.msgpack.Decoder(Segment)
_encoder = msgspec.msgpack.Encoder()


def encode_segment(segment: Segment) -> bytes:
    """Return the stored form of a segment."""
    return _encoder.encode(segment)


def decode_segment(data: bytes) -> Segment:
    """Return a segment from its stored form.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are no segment.
    """
    return _segments.decode(data)


def entry_size(entry: Entry) -> int:
    """Return the stored size of an entry in bytes."""
    return len(_encoder.encode(entry))
