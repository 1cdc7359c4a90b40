"""Declared properties of an upstream."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.resources import Resources

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Declared capacity and location of an upstream.

    Parameters
    ----------
    name : str
        Name, unique in the cell.
    availability_zone, rack : str
        Failure domains that contain the upstream.
    capacity : Resources
        Maximum resources of all tasks that run on it at the same time.
    slots : int, default=8
        Maximum number of concurrent tasks.
    connections : int, default=64
        Maximum number of open connections, including probes.
    speed : float, default=1.0
        Declared speed as a multiple of that of an ordinary upstream.
    """

    name: str
    availability_zone: str
    rack: str
    capacity: Resources
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    speed: float = 1.0
