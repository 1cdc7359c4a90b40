"""Stand-in for the platform's key-value service."""

from papayadyke_standins.store._faults import Counts, Faults
from papayadyke_standins.store._http import StoreStandin
from papayadyke_standins.store._memory import MemoryStore, StoreService
from papayadyke_standins.store._state import StoreState

__all__ = [
    "Counts",
    "Faults",
    "MemoryStore",
    "StoreService",
    "StoreStandin",
    "StoreState",
]
