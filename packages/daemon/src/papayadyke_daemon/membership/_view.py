"""View of the membership that is published to the rest of the daemon."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.membership import Snapshot
from papayadyke_core.ownership import ZoneRecord


@dataclass(frozen=True, slots=True)
class View:
    """Members and zone record that this VM knows at one point in time.

    Parameters
    ----------
    snapshot : Snapshot
    record : ZoneRecord or None
        None until a record is known.
    """

    snapshot: Snapshot
    record: ZoneRecord | None
