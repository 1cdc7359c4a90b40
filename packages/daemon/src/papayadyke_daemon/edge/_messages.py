"""Define the messages between the VMs."""

from __future__ import annotations

import math

import msgspec


class Message(msgspec.Struct, tag=True, array_like=True):
    """Base of all messages; the class name is sent as the tag."""


class Hello(Message):
    """Heartbeat of a VM to the decider.

    Parameters
    ----------
    vm, address : str
    has_lost_store : bool
        The store answered neither a call of the VM nor the probe that followed, and
        the VM is not becoming the decider.
    decider : int
        Fencing token of the decider that the VM follows.
    strength : float
        Capacity of the VM as a decider, in cores.
    version : int or None
        Version of its configuration, negative if it has none; None if not stated.
    job_bytes : int or None
        Memory that it may use for jobs as a decider; None if unlimited or not stated.
    """

    vm: str
    address: str
    has_lost_store: bool
    decider: int
    strength: float
    version: int | None = None
    job_bytes: int | None = None


class HelloReply(Message):
    """Reply to a heartbeat, with the decider that the receiver knows of.

    Parameters
    ----------
    is_decider, reaches_store : bool
        State of the VM that received the heartbeat.
    decider : int
        Fencing token of the known decider, 0 for none.
    vm, address : str
        Name and address of that decider's VM.
    peers : list of str
        Addresses of the VMs that the decider received heartbeats from recently.
    version : int or None
        Version of the receiver's configuration; None if it has none.
    catalog : bytes
        Encoded configuration if the sender of the heartbeat has none or an older
        one; otherwise empty. It contains digests of keys, and no keys.
    catalog_age_s : float
        Seconds since the store confirmed the configuration of the receiver.
    free_bytes, later_bytes : int or None
        Memory that further jobs may take on each VM, and those of them that are due at
        later times; None if unlimited or not stated.
    """

    is_decider: bool
    reaches_store: bool
    decider: int
    vm: str = ""
    address: str = ""
    peers: list[str] = []
    version: int | None = None
    catalog: bytes = b""
    catalog_age_s: float = math.inf
    free_bytes: int | None = None
    later_bytes: int | None = None


class Submitted(Message):
    """Notify the decider of jobs that were accepted and stored.

    Parameters
    ----------
    jobs : list of (bytes, int)
        Encoded jobs with the revision of each in the store, 0 if unknown.
    """

    jobs: list[tuple[bytes, int]]


class Cancelled(Message):
    """Notify the decider of jobs whose cancellation was stored."""

    job_ids: list[str]


class Ack(Message):
    """Acknowledge a message, and tell whether the VM that got it is the decider."""

    is_decider: bool


class AskState(Message):
    """Ask for the state of a job."""

    job_id: str


class StateReply(Message):
    """State of a job, empty if the job is unknown, and its team.

    The team is empty if the job belongs to none, and None if it is not stated.
    """

    is_decider: bool
    state: str = ""
    team: str | None = None


class AskPending(Message):
    """Ask how many jobs of a queue have not started."""

    queue: str


class PendingReply(Message):
    """Number of jobs of a queue that have not started."""

    is_decider: bool
    count: int = 0


class StoreJob(Message):
    """Store an accepted job for a VM that does not reach the store.

    Parameters
    ----------
    job : bytes
    checks_owner : bool
        Whether the id of another team's job is refused.
    """

    job: bytes
    checks_owner: bool = False


class StoreCancel(Message):
    """Store a cancellation for a VM that does not reach the store.

    Parameters
    ----------
    job_id : str
    team : str or None
        Team of the caller; None if the sender does not check owners.
    """

    job_id: str
    team: str | None = None


class StoreReply(Message):
    """Outcome of `StoreJob` or `StoreCancel`, as the value of an `IntakeOutcome`."""

    outcome: str


class AskAdvice(Message):
    """Ask a VM to call the advisory service, which serves each VM separately."""

    job_id: str
    occurrence: int
    step: int
    upstream_ids: list[str]


class AdviceReply(Message):
    """Answer of the advisory service, or the reason for its absence."""

    tickets: dict[str, str]
    valid_s: float
    error: str = ""


AnyMessage = (
    Hello
    | HelloReply
    | Submitted
    | Cancelled
    | Ack
    | AskState
    | StateReply
    | AskPending
    | PendingReply
    | StoreJob
    | StoreCancel
    | StoreReply
    | AskAdvice
    | AdviceReply
)

_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not one of the messages.
    """
    return _decoder.decode(data)
