"""Idempotency keys: the first request of each key, and its outcome."""

from papayadyke_core.idempotency._limits import (
    MAX_ANSWER_BYTES,
    body_digest,
    storable_answer,
)
from papayadyke_core.idempotency._table import (
    ClaimKind,
    ClaimResult,
    KeyTable,
    UnresolvedKey,
)

__all__ = [
    "MAX_ANSWER_BYTES",
    "ClaimKind",
    "ClaimResult",
    "KeyTable",
    "UnresolvedKey",
    "body_digest",
    "storable_answer",
]
