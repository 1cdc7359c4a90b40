"""A store that holds the zone record, and fails."""

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
    """How the store behaves."""

    UP = "up"
    DOWN = "down"
    LOSES_ANSWERS = "loses_answers"
    STALE = "stale"


class RecordStore:
    """Keeps every record that was written, and shows the latest or an older one.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.mode = StoreMode.UP
        self.history: list[bytes] = []

    def read(self) -> tuple[bool, ZoneRecord | None]:
        """Return whether an answer came, and the record."""
        if self.mode == StoreMode.DOWN:
            return False, None
        last = len(self.history)
        if self.mode == StoreMode.STALE:
            last = self.rng.randint(0, last)
        if last == 0:
            return True, None
        return True, decode_record(self.history[last - 1]).unwrap()

    def replace(self, record: ZoneRecord) -> bool:
        """Write the record of the next epoch; False where that is not known."""
        if self.mode == StoreMode.DOWN:
            return False
        if record.epoch != len(self.history) + 1:
            return False
        self.history.append(encode_record(check_record(record).unwrap()))
        return self.mode != StoreMode.LOSES_ANSWERS or self.rng.random() < 0.5
