"""A store that is always unavailable, for daemons configured without a store."""

from __future__ import annotations

from result import Err, Result

from papayadyke_clients.store._types import Entry, ErrorKind, Event, StoreError

_UNAVAILABLE = Err(StoreError(ErrorKind.UNAVAILABLE, "the settings name no store"))


class NoStore:
    """Fail each call with `UNAVAILABLE`; implements `Store`."""

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def create(
        self, key: str, value: bytes, *, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE

    def revision(self) -> Result[int, StoreError]:
        """Return an `UNAVAILABLE` error."""
        return _UNAVAILABLE
