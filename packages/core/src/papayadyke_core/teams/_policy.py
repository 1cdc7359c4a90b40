"""Configuration of a team."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.resources import ZERO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class TeamPolicy:
    """Configuration of a team of callers.

    Parameters
    ----------
    name : str
    weight : float
        Share of the capacity, relative to the weights of the other teams.
    limit : Resources
        Most that the team may have running over all upstreams; a resource of 0 has
        no limit.
    """

    name: str
    weight: float = 1.0
    limit: Resources = ZERO_RESOURCES
