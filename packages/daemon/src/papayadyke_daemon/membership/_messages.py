"""Messages between daemons about the zone record."""

from __future__ import annotations

from msgspec import Struct

from papayadyke_core.ownership import ZoneRecord


class RecordUpdate(Struct, tag="record_news", frozen=True, array_like=True):
    """Latest zone record that the sender knows.

    Parameters
    ----------
    availability_zone : str
    record : ZoneRecord or None
        None if the sender knows no record, or none newer than the requested epoch.
    """

    availability_zone: str
    record: ZoneRecord | None


class RecordPull(Struct, tag="record_pull", frozen=True, array_like=True):
    """Request the zone record if it is newer than the given epoch."""

    availability_zone: str
    epoch: int
