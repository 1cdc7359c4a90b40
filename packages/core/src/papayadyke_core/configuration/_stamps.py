"""Who changed what, and when in the log."""

from __future__ import annotations

import msgspec

from papayadyke_core.configuration._changes import ItemKind


class Stamp(msgspec.Struct, frozen=True):
    """Who last changed an item, and when in the log; revision 0 for nobody."""

    revision: int = 0
    author: str = ""
    change_id: str = ""


NEVER = Stamp()


class RecentChange(msgspec.Struct, frozen=True):
    """An accepted change that a late author may still ask about."""

    stamp: Stamp
    kind: ItemKind
    name: str
