"""Generation of identifiers that are unique in the cell."""

from __future__ import annotations

import itertools


class IdSource:
    """Generate identifiers from the VM's name, its incarnation and a counter.

    Parameters
    ----------
    vm : str
    incarnation : int
        Differs between two starts of the daemon on the same VM.
    """

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self._prefix = f"{vm}-{incarnation:x}-"
        self._counter = itertools.count(1)

    def make(self) -> str:
        """Return the next identifier."""
        return f"{self._prefix}{next(self._counter):x}"
