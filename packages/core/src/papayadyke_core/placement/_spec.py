"""What an upstream declares of itself."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.resources import Resources

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """What an upstream holds and where it stands.

    Parameters
    ----------
    name : str
        Unique in the cell.
    availability_zone, rack : str
        The failure domains it is in.
    capacity : Resources
        What the tasks on it may hold together, at any moment.
    slots : int, default=8
        Tasks that may run at once.
    connections : int, default=64
        Connections that may be open at once, probes included.
    speed : float, default=1.0
        Declared speed relative to an ordinary upstream.
    """

    name: str
    availability_zone: str
    rack: str
    capacity: Resources
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    speed: float = 1.0
