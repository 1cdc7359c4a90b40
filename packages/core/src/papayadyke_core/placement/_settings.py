"""Settings of placement."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How upstreams are compared; all weights are relative to one another.

    Parameters
    ----------
    rack_weight : float, default=1.0
        How strongly a service keeps away from racks that already run it.
    speed_weight : float, default=0.5
        How strongly a service prefers fast upstreams over idle ones.
    accelerator_weight : float, default=4.0
        How strongly work without accelerators keeps away from upstreams with
        free ones.
    slow_weight : float, default=2.0
        How strongly batch work keeps away from upstreams under `slow_ratio`.
    slow_ratio : float, default=0.5
        Fraction of the fastest upstream's speed under which one counts as slow
        for batch work, which is otherwise packed without regard to speed.
    """

    rack_weight: float = 1.0
    speed_weight: float = 0.5
    accelerator_weight: float = 4.0
    slow_weight: float = 2.0
    slow_ratio: float = 0.5


DEFAULT_SETTINGS = PlacementSettings()
