"""Settings that control placement."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Weights of the terms in the placement scores.

    Only the ratios between the weights matter.

    Parameters
    ----------
    rack_weight : float, default=1.0
        Penalty on placing a service in racks that already run its tasks.
    speed_weight : float, default=0.5
        Preference of services for fast upstreams over idle ones.
    accelerator_weight : float, default=4.0
        Penalty on placing tasks that need no accelerators on upstreams that have
        free ones.
    slow_weight : float, default=2.0
        Penalty on placing batch tasks on upstreams below `slow_ratio`.
    slow_ratio : float, default=0.5
        Fraction of the fastest candidate's speed below which an upstream counts as
        slow for batch tasks. Above it they are packed without regard to speed.
    """

    rack_weight: float = 1.0
    speed_weight: float = 0.5
    accelerator_weight: float = 4.0
    slow_weight: float = 2.0
    slow_ratio: float = 0.5


DEFAULT_SETTINGS = PlacementSettings()
