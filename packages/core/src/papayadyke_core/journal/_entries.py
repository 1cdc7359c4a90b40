"""Entries of a partition's log, and the segments that carry them.

Entries are encoded as tagged arrays, so a later version may append fields with a
default value and still decode the segments of an earlier version.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from papayadyke_core.verdicts import Refusal


class TaskState(StrEnum):
    """State of a task of a job; the last five are final."""

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
    """Base class of the stored records."""


class Answer(_Record, frozen=True):
    """Complete answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    content_type : str, default=""
    body : bytes, default=b""
    kept : bool, default=True
        False if the body was too large to keep or its retention time has passed.
    """

    status: int
    content_type: str = ""
    body: bytes = b""
    kept: bool = True

    def without_body(self) -> Answer:
        """Return a copy of the answer with the body removed."""
        return Answer(self.status, self.content_type, b"", False)


class Takeover(_Record, frozen=True, tag="takeover"):
    """Change of ownership: the VM owns the partition from this segment on."""

    vm: str
    incarnation: str


class KeyClaimed(_Record, frozen=True, tag="claim"):
    """Claim of an idempotency key by the first request that uses it.

    Parameters
    ----------
    key : str
    workload : str
    digest : bytes
        Digest of the workload and the request body.
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
    """Placement of a key's request on an upstream."""

    key: str
    request_id: str
    upstream: str


class KeyRecorded(_Record, frozen=True, tag="record"):
    """Outcome of a key's request: an answer or a refusal."""

    key: str
    request_id: str
    answer: Answer | None = None
    refusal: Refusal | None = None


class KeyReleased(_Record, frozen=True, tag="release"):
    """Release of a key whose request did not run; it may be claimed again."""

    key: str
    request_id: str


class JobAccepted(_Record, frozen=True, tag="job"):
    """Acceptance of a job.

    Parameters
    ----------
    job_id : str
    workload : str
    payloads : tuple of bytes
        One payload per task.
    gang : bool
        Whether the tasks are started, attempted and ended together.
    deadline_s : float
        Seconds from acceptance within which the last task must have started.
    idempotent : bool
        Whether a task may run more than once.
    max_attempts : int
        Failed attempts after which an idempotent task fails.
    epoch : int, default=0
        Number of the segment with which the accepting VM took over the partition.
    key : str, default=""
        Idempotency key; empty if the caller gave none.
    digest : bytes, default=b""
        Digest of the workload and the request body.
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
        """Return a copy with empty payloads, for a job that has ended."""
        empty = (b"",) * len(self.payloads)
        return msgspec.structs.replace(self, payloads=empty)


class TaskIntended(_Record, frozen=True, tag="intent"):
    """Intent to start an attempt: it may run on the upstream from now on.

    Parameters
    ----------
    job_id : str
    index : int
    attempt : int
    upstream : str
    boot_id : str, default=""
        Boot id of the upstream in the session of the start; empty if it is unknown.
    """

    job_id: str
    index: int
    attempt: int
    upstream: str
    boot_id: str = ""


class TaskEnded(_Record, frozen=True, tag="end"):
    """Final outcome of a task.

    Parameters
    ----------
    job_id : str
    index : int
    attempt : int
    state : TaskState
        A final state.
    had_run : bool
        Whether any attempt may have run, partly or completely.
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
    """Cancellation of a job by its caller; no further attempt is started."""

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
    """Entry with the log time in seconds at which it was appended."""

    at_s: float
    entry: Entry


class Segment(_Record, frozen=True):
    """Entries that one append writes to the log.

    Parameters
    ----------
    id : str
        Unique; lets a writer recognise its own segment after a lost answer.
    vm, incarnation : str
        VM and incarnation of the writer.
    at_s : float
        Log time: total seconds for which the partition has been owned. It never
        decreases and does not advance while the partition has no owner, so a
        retention time measured in log time is never shorter than stated, whatever
        the clocks of the VMs show.
    entries : tuple of Entry
    """

    id: str
    vm: str
    incarnation: str
    at_s: float
    entries: tuple[Entry, ...]


_segment_decoder = msgspec.msgpack.Decoder(Segment)
_encoder = msgspec.msgpack.Encoder()


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment for the store."""
    return _encoder.encode(segment)


def decode_segment(data: bytes) -> Segment:
    """Decode a segment from its stored form.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a valid segment.
    """
    return _segment_decoder.decode(data)


def entry_size(entry: Entry) -> int:
    """Return the encoded size of an entry in bytes."""
    return len(_encoder.encode(entry))
