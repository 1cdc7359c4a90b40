"""Amounts of processors, memory and accelerators, in whole units."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of the resources that upstreams provide and tasks need.

    Amounts are integers because rounding errors of floating-point sums accumulate
    and could let reservations exceed the capacity of an upstream.

    Parameters
    ----------
    cpu_millis : int
        Processors, in thousandths of a core.
    memory_mb : int
        Memory, in mebibytes.
    accelerators : int
        Accelerators, in whole devices.

    Examples
    --------
    >>> Resources(cpu_millis=500, memory_mb=256).fits_in(Resources(1000, 512))
    True
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> Resources:
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits_in(self, other: Resources) -> bool:
        """Return whether no dimension exceeds that of `other`."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def is_non_negative(self) -> bool:
        """Return whether no dimension is negative."""
        return min(self.cpu_millis, self.memory_mb, self.accelerators) >= 0

    def dominant_share(self, total: Resources) -> float:
        """Return the largest fraction of `total` over the dimensions.

        Parameters
        ----------
        total : Resources
            Amounts that the fractions refer to. Dimensions of zero are skipped.

        Returns
        -------
        share : float
            Dominant share, between 0 and 1 if the amount fits in `total`.
        """
        pairs = (
            (self.cpu_millis, total.cpu_millis),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        )
        return max(
            (amount / capacity for amount, capacity in pairs if capacity > 0),
            default=0.0,
        )


ZERO_RESOURCES = Resources()
