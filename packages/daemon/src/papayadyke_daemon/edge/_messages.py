"""Messages between the VMs."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, tag=True, array_like=True):
    """Base of all messages."""


class Hello(Message):
    """A VM tells the decider that it is there.

    Parameters
    ----------
    vm, address : str
    has_lost_store : bool
        It tried, and the store did not answer.
    decider : int
        Fencing token of the decider that it follows.
    strength : float
        How many cores' worth of deciding it can carry.
    """

    vm: str
    address: str
    has_lost_store: bool
    decider: int
    strength: float


class HelloReply(Message):
    """What the one that was greeted knows of the decider.

    Parameters
    ----------
    is_decider, reaches_store : bool
        Of the one that was greeted.
    decider : int
        Fencing token of the decider that it knows; 0 for none.
    vm, address : str
        Of that decider.
    peers : list of str
        Addresses of the VMs that the decider heard of lately.
    """

    is_decider: bool
    reaches_store: bool
    decider: int
    vm: str = ""
    address: str = ""
    peers: list[str] = []


class Submitted(Message):
    """Jobs that were accepted and stored.

    Parameters
    ----------
    jobs : list of (bytes, int)
        Each with the revision at which it was stored, 0 where that is not known.
    """

    jobs: list[tuple[bytes, int]]


class Cancelled(Message):
    """Jobs whose cancellation was stored."""

    job_ids: list[str]


class Ack(Message):
    """A message was taken in, by the decider or not."""

    is_decider: bool


class AskState(Message):
    """Ask for the state of a job."""

    job_id: str


class StateReply(Message):
    """State of a job; empty where it is not known."""

    is_decider: bool
    state: str = ""


class AskPending(Message):
    """Ask how many jobs of a queue have not begun."""

    queue: str


class PendingReply(Message):
    """Jobs of a queue that have not begun."""

    is_decider: bool
    count: int = 0


class StoreJob(Message):
    """Store an accepted job for a VM that does not reach the store."""

    job: bytes


class StoreCancel(Message):
    """Store a cancellation for a VM that does not reach the store."""

    job_id: str


class StoreReply(Message):
    """What became of it; the text of an `IntakeOutcome`."""

    outcome: str


class AskAdvice(Message):
    """Ask the advisory service from this VM, which it serves by itself."""

    job_id: str
    occurrence: int
    step: int
    upstream_ids: list[str]


class AdviceReply(Message):
    """Answer of the advisory service, or the reason that there is none."""

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
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Read a message.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not one of the messages.
    """
    return _decoder.decode(data)
