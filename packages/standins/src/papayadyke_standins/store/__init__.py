"""Stand-in of the platform's key-value service."""

from papayadyke_standins.store._faults import Counts, Faults
from papayadyke_standins.store._http import StoreStandin
from papayadyke_standins.store._memory import MemoryStore, StoreService

__all__ = ["Counts", "Faults", "MemoryStore", "StoreService", "StoreStandin"]
