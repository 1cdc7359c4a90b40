"""How a VM follows the configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSyncSettings:
    """How a VM follows the configuration.

    Parameters
    ----------
    vm : str
        Name of this VM.
    watch_wait_s : float, default=10.0
        Longest wait of one watch.
    poll_s : float, default=60.0
        Time between two looks at the store on a VM that does not watch.
    ask_s, max_ask_s : float
        Bounds of the time between two requests to the peers.
    retry_min_s, retry_max_s : float
        Bounds of the waiting time after a failed call.
    """

    vm: str
    watch_wait_s: float = 10.0
    poll_s: float = 60.0
    ask_s: float = 0.5
    max_ask_s: float = 30.0
    retry_min_s: float = 0.2
    retry_max_s: float = 5.0
