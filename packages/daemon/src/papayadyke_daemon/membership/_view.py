"""What the other parts of the daemon are told."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.membership import Snapshot
from papayadyke_core.ownership import ZoneRecord


@dataclass(frozen=True, slots=True)
class View:
    """The members and the zone record, as known at one moment.

    Parameters
    ----------
    snapshot : Snapshot
    record : ZoneRecord or None
        None until one is known.
    """

    snapshot: Snapshot
    record: ZoneRecord | None
