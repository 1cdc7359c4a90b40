"""Author and log revision of configuration changes."""

from __future__ import annotations

import msgspec

from papayadyke_core.configuration._changes import ItemKind


class ChangeStamp(msgspec.Struct, frozen=True):
    """Author, id and log revision of a change; revision 0 stands for no change."""

    revision: int = 0
    author: str = ""
    change_id: str = ""


NEVER_CHANGED = ChangeStamp()


class RecentChange(msgspec.Struct, frozen=True):
    """Accepted change, kept so that a delayed author can still learn its result."""

    stamp: ChangeStamp
    kind: ItemKind
    name: str
