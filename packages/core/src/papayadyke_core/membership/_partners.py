"""The choice of whom to exchange heartbeats with."""

from __future__ import annotations

import random

from papayadyke_core.membership._table import MemberTable
from papayadyke_core.membership._types import MembershipSettings, MemberState


class PartnerRing:
    """Goes round the members in a shuffled order, so that none waits for long.

    Parameters
    ----------
    settings : MembershipSettings
    """

    def __init__(self, *, settings: MembershipSettings) -> None:
        self.settings = settings
        self._ring: list[str] = []
        self._round = 0

    def choose(
        self,
        table: MemberTable,
        states: dict[str, MemberState],
        rng: random.Random,
    ) -> dict[str, str]:
        """Return the members to call in this round, with their addresses."""
        heard = {vm for vm in table.peers if states[vm] != MemberState.DEAD}
        chosen = {vm: table.address(vm) for vm in self._next(heard, rng)}
        self._round += 1
        if self._round % self.settings.retry_every == 1 or not heard:
            chosen.update(_choose_unheard(table, heard, rng))
        return chosen

    def _next(self, heard: set[str], rng: random.Random) -> list[str]:
        self._ring = [vm for vm in self._ring if vm in heard]
        count = min(self.settings.partners, len(heard))
        chosen: list[str] = []
        while len(chosen) < count:
            if not self._ring:
                self._ring = sorted(heard.difference(chosen))
                rng.shuffle(self._ring)
            chosen.append(self._ring.pop())
        return chosen


def _choose_unheard(
    table: MemberTable, heard: set[str], rng: random.Random
) -> dict[str, str]:
    """Return one member that is dead or only listed, to heal a partition."""
    zone = table.identity.availability_zone
    unheard = {vm: table.address(vm) for vm in table.peers if vm not in heard}
    for vm, entry in table.listed.items():
        is_other = vm != table.identity.vm and vm not in heard
        if is_other and entry.availability_zone == zone:
            unheard[vm] = entry.address
    if not unheard:
        return {}
    vm = rng.choice(sorted(unheard))
    return {vm: unheard[vm]}
