"""What a stand-in upstream does with a payload: it adds up the items."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

MAX_WORK_S = 3600.0


class Item(msgspec.Struct, frozen=True):
    """One line of a quote, an order or a tally."""

    quantity: float = 1.0
    unit_price: float = 0.0
    name: str = ""


class Payload(msgspec.Struct, frozen=True):
    """The parts of a payload that the stand-in reads; others are passed over."""

    items: tuple[Item, ...] = ()
    work_seconds: float | None = None
    status: int = 200


class WorkAnswer(msgspec.Struct, frozen=True):
    """What goes back to the caller."""

    request_id: str
    upstream: str
    total: float
    payload_sha256: str


@dataclass(frozen=True, slots=True)
class Work:
    """How long a payload takes, and its answer."""

    seconds: float
    status: int
    answer: bytes


def plan_work(
    body: bytes, *, request_id: str, upstream: str, default_s: float = 0.0
) -> Work:
    """Return the work of a payload; a payload of another form takes no time."""
    try:
        payload = msgspec.json.decode(body, type=Payload)
    except msgspec.DecodeError:
        payload = Payload()
    total = sum(item.quantity * item.unit_price for item in payload.items)
    seconds = default_s if payload.work_seconds is None else payload.work_seconds
    answer = WorkAnswer(
        request_id=request_id,
        upstream=upstream,
        total=round(total, 2),
        payload_sha256=hashlib.sha256(body).hexdigest(),
    )
    return Work(
        seconds=min(max(seconds, 0.0), MAX_WORK_S),
        status=payload.status,
        answer=msgspec.json.encode(answer),
    )
