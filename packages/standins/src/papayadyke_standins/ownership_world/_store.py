"""Simulated store of the zone record, with fault modes."""

from __future__ import annotations

import random
from enum import StrEnum

from papayadyke_core.ownership import (
    ZoneRecord,
    check_record,
    decode_record,
    encode_record,
)


class StoreMode(StrEnum):
    """Fault mode of the store."""

    UP = "up"
    DOWN = "down"
    LOSES_ANSWERS = "loses_answers"
    STALE = "stale"


class RecordStore:
    """Store that keeps all written records and returns the latest or a stale one.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.mode = StoreMode.UP
        self.history: list[bytes] = []

    def read(self) -> tuple[bool, ZoneRecord | None]:
        """Return whether the store answered, and the record if there is one."""
        if self.mode == StoreMode.DOWN:
            return False, None
        revision = len(self.history)
        if self.mode == StoreMode.STALE:
            revision = self.rng.randint(0, revision)
        if revision == 0:
            return True, None
        return True, decode_record(self.history[revision - 1]).unwrap()

    def replace(self, record: ZoneRecord) -> bool:
        """Write the record of the next epoch; return whether success is confirmed."""
        if self.mode == StoreMode.DOWN:
            return False
        if record.epoch != len(self.history) + 1:
            return False
        self.history.append(encode_record(check_record(record).unwrap()))
        return self.mode != StoreMode.LOSES_ANSWERS or self.rng.random() < 0.5
