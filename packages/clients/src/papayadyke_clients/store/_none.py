"""A store that is never there, for a daemon without one in its settings."""

from __future__ import annotations

from result import Err, Result

from papayadyke_clients.store._types import Entry, ErrorKind, Event, StoreError

_AWAY = Err(StoreError(ErrorKind.UNAVAILABLE, "the settings name no store"))


class NoStore:
    """Takes no call; satisfies `Store`."""

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return that the store is away."""
        return _AWAY

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return that the store is away."""
        return _AWAY

    def create(
        self, key: str, value: bytes, *, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Return that the store is away."""
        return _AWAY

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Return that the store is away."""
        return _AWAY

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Return that the store is away."""
        return _AWAY

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return that the store is away."""
        return _AWAY

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Return that the store is away."""
        return _AWAY

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return that the store is away."""
        return _AWAY

    def revision(self) -> Result[int, StoreError]:
        """Return that the store is away."""
        return _AWAY
