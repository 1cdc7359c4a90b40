"""In-memory simulation of a zone, for tests of upstream ownership under faults."""

from papayadyke_standins.ownership_world._store import RecordStore, StoreMode
from papayadyke_standins.ownership_world._upstream import WorldUpstream
from papayadyke_standins.ownership_world._vm import Fate, WorldVm
from papayadyke_standins.ownership_world._world import (
    HANDOVER_WITHIN_S,
    OWNED_WITHIN_S,
    NoOwnerError,
    World,
)

__all__ = [
    "HANDOVER_WITHIN_S",
    "OWNED_WITHIN_S",
    "Fate",
    "NoOwnerError",
    "RecordStore",
    "StoreMode",
    "World",
    "WorldUpstream",
    "WorldVm",
]
