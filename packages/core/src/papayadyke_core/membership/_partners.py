"""Selection of the members to exchange heartbeats with."""

from __future__ import annotations

import random

from papayadyke_core.membership._table import MemberTable
from papayadyke_core.membership._types import MembershipSettings, MemberState


class PartnerSelector:
    """Selector that cycles through the members in shuffled order.

    A full cycle visits every member once, which bounds the time between two exchanges
    with the same member.

    Parameters
    ----------
    settings : MembershipSettings
    """

    def __init__(self, *, settings: MembershipSettings) -> None:
        self.settings = settings
        self._remaining: list[str] = []
        self._round_count = 0

    def choose(
        self,
        table: MemberTable,
        states: dict[str, MemberState],
        rng: random.Random,
    ) -> dict[str, str]:
        """Return the members to contact in this round, with their addresses."""
        active = {vm for vm in table.peers if states[vm] != MemberState.DEAD}
        chosen = {vm: table.address(vm) for vm in self._next_partners(active, rng)}
        self._round_count += 1
        if self._round_count % self.settings.retry_every_rounds == 1 or not active:
            chosen.update(_choose_inactive(table, active, rng))
        return chosen

    def _next_partners(self, active: set[str], rng: random.Random) -> list[str]:
        self._remaining = [vm for vm in self._remaining if vm in active]
        count = min(self.settings.partners, len(active))
        chosen: list[str] = []
        while len(chosen) < count:
            if not self._remaining:
                self._remaining = sorted(active.difference(chosen))
                rng.shuffle(self._remaining)
            chosen.append(self._remaining.pop())
        return chosen


def _choose_inactive(
    table: MemberTable, active: set[str], rng: random.Random
) -> dict[str, str]:
    """Choose a dead or merely listed VM, so that a partition can heal."""
    zone = table.identity.availability_zone
    inactive = {vm: table.address(vm) for vm in table.peers if vm not in active}
    for vm, listed_vm in table.listed.items():
        is_other = vm != table.identity.vm and vm not in active
        if is_other and listed_vm.availability_zone == zone:
            inactive[vm] = listed_vm.address
    if not inactive:
        return {}
    vm = rng.choice(sorted(inactive))
    return {vm: inactive[vm]}
