"""Messages to and from the key-value service, and its interface."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result

MAX_VALUE_BYTES = 1_000_000


class ErrorKind(StrEnum):
    """What is known of a call that brought no answer of the kind asked for."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StoreError:
    """Why a call failed, and whether it may have taken effect.

    Parameters
    ----------
    kind : ErrorKind
        `CONFLICT`: the key was not as expected, and nothing was changed.
        `UNAVAILABLE`: the service took no call, and nothing was changed.
        `UNKNOWN`: the answer was lost, and a write may have taken effect.
        `INVALID`: the call itself is wrong, and nothing was changed.
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
    """One write or deletion seen by a watch; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Store(Protocol):
    """The key-value service. Revisions are of the whole store and only grow."""

    def revision(self) -> Result[int, StoreError]:
        """Return the revision of the last write, as a start for a watch."""

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of a key, or None."""

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return entries in order of their keys, from behind the key `after`."""

    def create(
        self, key: str, value: bytes, *, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Write a key that must not exist; return its revision."""

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Write a key that must stand at the revision `expected`."""

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key that must stand at the revision `expected`."""

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease; its keys go when it lapses."""

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Keep a lease for another time to live."""

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return events past the revision `after`, waiting for the first."""
