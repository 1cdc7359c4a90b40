"""Stored form of the learned run times, from which the next decider resumes."""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec

# Bytes of the hash of a name; names of queues have no bound, records have.
HASH_BYTES = 8
MAX_ROW_BYTES = 64  # of a queue or an upstream, with its name
UNIT = 1000  # values are stored as whole thousandths

_Count = Annotated[int, msgspec.Meta(ge=0, le=99_999)]
_Log = Annotated[int, msgspec.Meta(ge=-9_999, le=9_999)]
_Spread = Annotated[int, msgspec.Meta(ge=1, le=9_999)]
_Squares = Annotated[int, msgspec.Meta(ge=1, le=9_999_999)]
_Slope = Annotated[int, msgspec.Meta(ge=0, le=1_000)]


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """Learned run times of a queue; see `QueueTimes`.

    Counts are whole, all other values are in thousandths.
    """

    whole_count: _Count
    mean_log: _Log
    spread_log: _Spread
    whole_within_count: _Count
    within_spread_log: _Spread
    squares: _Squares
    slope: _Slope

    @classmethod
    def make(
        cls,
        *,
        count: float,
        mean: float,
        spread: float,
        within_count: float,
        within_spread: float,
        link_squares: float,
        link: float,
    ) -> QueueRow:
        """Return the row of the given values."""
        return cls(
            round(count),
            _clip(mean, -9_999, 9_999),
            _clip(spread, 1, 9_999),
            round(within_count),
            _clip(within_spread, 1, 9_999),
            _clip(link_squares, 1, 9_999_999),
            _clip(link, 0, 1_000),
        )

    @property
    def count(self) -> float:
        """Number of samples, with those that the estimates count for."""
        return max(float(self.whole_count), 1.0)

    @property
    def mean(self) -> float:
        """Mean logarithm of run time to estimate."""
        return self.mean_log / UNIT

    @property
    def spread(self) -> float:
        """Standard deviation between runs of different steps."""
        return self.spread_log / UNIT

    @property
    def within_count(self) -> float:
        """Number of samples about the mean of their step."""
        return max(float(self.whole_within_count), 1.0)

    @property
    def within_spread(self) -> float:
        """Standard deviation between runs of one step."""
        return self.within_spread_log / UNIT

    @property
    def link_squares(self) -> float:
        """Sum of squares of the regression between steps of a job."""
        return self.squares / UNIT

    @property
    def link(self) -> float:
        """Slope of the regression between steps of a job."""
        return self.slope / UNIT


class SpeedRow(msgspec.Struct, array_like=True, frozen=True):
    """Learned speed of an upstream: samples, and thousandths of the logarithm."""

    count: _Count
    speed_log: _Log
    spread_log: _Spread

    @classmethod
    def make(cls, *, count: int, log_speed: float, spread: float) -> SpeedRow:
        """Return the row of the given values."""
        return cls(
            min(count, 99_999),
            _clip(log_speed, -9_999, 9_999),
            _clip(spread, 1, 9_999),
        )

    @property
    def log_speed(self) -> float:
        """Logarithm of the speed."""
        return self.speed_log / UNIT

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm of the speed."""
        return self.spread_log / UNIT


class LearnedRecord(msgspec.Struct, frozen=True):
    """What a decider has learned of run times, by hashes of names.

    Parameters
    ----------
    queues : dict of str to QueueRow
    upstreams : dict of str to SpeedRow
    """

    queues: dict[str, QueueRow] = {}
    upstreams: dict[str, SpeedRow] = {}


def hash_name(name: str) -> str:
    """Return the name under which a queue or upstream is stored."""
    return hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).hexdigest()


def encode_learned(record: LearnedRecord) -> bytes:
    """Encode learned run times as a stored record."""
    return msgspec.json.encode(record)


def decode_learned(data: bytes) -> LearnedRecord:
    """Decode stored run times.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not such a record, or a value is out of its range.
    """
    return msgspec.json.decode(data, type=LearnedRecord)


def _clip(value: float, low: int, high: int) -> int:
    return min(max(round(value * UNIT), low), high)
