"""Work of a stand-in upstream: it sums the prices of the items of a payload."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

MAX_WORK_S = 3600.0


class Item(msgspec.Struct, frozen=True):
    """Line of a quote, an order or a tally."""

    quantity: float = 1.0
    unit_price: float = 0.0
    name: str = ""


class Payload(msgspec.Struct, frozen=True):
    """Fields of a payload that the stand-in reads; other fields are ignored."""

    items: tuple[Item, ...] = ()
    work_seconds: float | None = None
    status: int = 200


class WorkAnswer(msgspec.Struct, frozen=True):
    """Body of the answer to the caller."""

    request_id: str
    upstream: str
    total: float
    payload_sha256: str


@dataclass(frozen=True, slots=True)
class Work:
    """Run time in seconds, status and answer for one payload."""

    seconds: float
    status: int
    answer: bytes


def plan_work(
    body: bytes, *, request_id: str, upstream: str, default_s: float = 0.0
) -> Work:
    """Return the work of a payload; use default values for one that is malformed."""
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
