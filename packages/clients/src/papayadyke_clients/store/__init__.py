"""Interface and clients of the platform's key-value service."""

from papayadyke_clients.store._http import HttpStore, StoreSettings
from papayadyke_clients.store._none import NoStore
from papayadyke_clients.store._types import (
    MAX_VALUE_BYTES,
    Entry,
    ErrorKind,
    Event,
    Store,
    StoreError,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "Entry",
    "ErrorKind",
    "Event",
    "HttpStore",
    "NoStore",
    "Store",
    "StoreError",
    "StoreSettings",
]
