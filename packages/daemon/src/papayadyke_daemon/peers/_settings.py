"""Settings of the calls between daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Where a daemon listens for its peers, and the limits of its calls.

    Parameters
    ----------
    host : str, default="127.0.0.1"
        IP number to listen on.
    port : int, default=0
        0 for any free port.
    max_message_bytes : int, default=2_000_000
        Larger messages are neither sent nor received.
    connect_timeout_s : float, default=0.3
        Time that a call waits for a connection.
    redial_s : float, default=3.0
        Age at which an attempt to connect is given up for a new one.
    silent_calls : int, default=2
        Calls in a row without any answer after which a connection is replaced.
    slow_calls : int, default=64
        Calls of slow handlers that are served at a time; more are refused.
    queue : int, default=64
        Messages that wait for one peer; of more, the oldest are dropped.
    """

    host: str = "127.0.0.1"
    port: int = 0
    max_message_bytes: int = 2_000_000
    connect_timeout_s: float = 0.3
    redial_s: float = 3.0
    silent_calls: int = 2
    slow_calls: int = 64
    queue: int = 64
