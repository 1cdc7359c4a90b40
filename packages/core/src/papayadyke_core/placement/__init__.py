"""Placement of tasks: the upstreams of one owner and the reservations on them."""

from papayadyke_core.placement._fleet import Fleet, PlacementError
from papayadyke_core.placement._settings import PlacementSettings
from papayadyke_core.placement._spec import UpstreamSpec

__all__ = ["Fleet", "PlacementError", "PlacementSettings", "UpstreamSpec"]
