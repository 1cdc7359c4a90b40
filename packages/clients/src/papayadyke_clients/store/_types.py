"""Interface of the key-value service, with its entries, events and errors."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result

MAX_VALUE_BYTES = 1_000_000


class ErrorKind(StrEnum):
    """Kind of a failed call; see `StoreError`."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StoreError:
    """Cause of a failed call, and whether a write may have taken effect.

    Parameters
    ----------
    kind : ErrorKind
        `CONFLICT`: the key was not in the expected state; nothing was changed.
        `UNAVAILABLE`: the service did not accept the call, or the answer to a read
        was lost; nothing was changed.
        `UNKNOWN`: the answer to a write was lost; it may have taken effect.
        `INVALID`: the call itself is malformed; nothing was changed.
    detail : str
    """

    kind: ErrorKind
    detail: str


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and the revision of its last write."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Event:
    """Write or deletion reported by a watch; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Store(Protocol):
    """Key-value service whose revisions span all keys and only grow."""

    def revision(self) -> Result[int, StoreError]:
        """Return the revision of the last write, from which a watch can start."""

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of a key, or None if the key does not exist."""

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return up to `limit` entries in key order, starting after the key `after`."""

    def create(
        self, key: str, value: bytes, *, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Create a key that must not exist, and return its revision."""

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Overwrite a key whose revision must be `expected`; return the new one."""

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key whose revision must be `expected`."""

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease; its keys are deleted when it expires."""

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Extend a lease by its time to live."""

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return events newer than the revision `after`, waiting for the first."""
