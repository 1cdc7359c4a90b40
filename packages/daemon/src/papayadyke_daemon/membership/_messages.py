"""Messages between daemons about the zone record."""

from __future__ import annotations

from msgspec import Struct

from papayadyke_core.ownership import ZoneRecord


class RecordNews(Struct, tag="record_news", frozen=True, array_like=True):
    """The latest zone record that the sender knows.

    Parameters
    ----------
    availability_zone : str
    record : ZoneRecord or None
        Also None in answer to a peer that knows it.
    """

    availability_zone: str
    record: ZoneRecord | None


class RecordPull(Struct, tag="record_pull", frozen=True, array_like=True):
    """Ask for the zone record, if it is newer than an epoch."""

    availability_zone: str
    epoch: int
