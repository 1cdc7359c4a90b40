"""Settings for calls between daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Set the listening address and the limits of calls between daemons.

    Parameters
    ----------
    host : str, default="127.0.0.1"
        IP number to listen on.
    port : int, default=0
        Port to listen on; 0 picks any free port.
    max_message_bytes : int, default=2_000_000
        Larger messages are neither sent nor received.
    connect_timeout_s : float, default=0.3
        Time in seconds that a call waits for a connection.
    reconnect_after_s : float, default=3.0
        Age in seconds at which a connection attempt is abandoned for a new one.
    max_silent_calls : int, default=2
        Consecutive calls without a reply after which a connection is replaced.
    max_slow_calls : int, default=64
        Most concurrent calls of slow handlers; further ones are refused.
    queue : int, default=64
        Most posted messages queued per peer; beyond it the oldest are dropped.
    """

    host: str = "127.0.0.1"
    port: int = 0
    max_message_bytes: int = 2_000_000
    connect_timeout_s: float = 0.3
    reconnect_after_s: float = 3.0
    max_silent_calls: int = 2
    max_slow_calls: int = 64
    queue: int = 64
