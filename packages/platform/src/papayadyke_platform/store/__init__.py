"""The platform's key-value service, as the daemon sees it."""

from papayadyke_platform.store._types import (
    Entry,
    ErrorKind,
    Event,
    Store,
    StoreError,
)

__all__ = ["Entry", "ErrorKind", "Event", "Store", "StoreError"]
