"""Settings of the configuration sync."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSyncSettings:
    """Set the intervals at which a VM follows the configuration.

    Parameters
    ----------
    vm : str
        Name of this VM.
    watch_wait_s : float, default=10.0
        Longest time in seconds that one watch call waits for events.
    poll_s : float, default=60.0
        Longest interval in seconds between two reads of the store on a VM that
        does not watch it.
    request_min_s, request_max_s : float
        Bounds in seconds of the interval between two requests to the peers.
    retry_min_s, retry_max_s : float
        Bounds in seconds of the delay after a failed store call.
    """

    vm: str
    watch_wait_s: float = 10.0
    poll_s: float = 60.0
    request_min_s: float = 0.5
    request_max_s: float = 30.0
    retry_min_s: float = 0.2
    retry_max_s: float = 5.0
