"""Authenticated calls between the daemons of a cell."""

from papayadyke_daemon.peers._endpoint import PeerEndpoint
from papayadyke_daemon.peers._messages import Ack, CallError, Handler
from papayadyke_daemon.peers._settings import PeerSettings
from papayadyke_daemon.peers._stats import PeerStats

__all__ = [
    "Ack",
    "CallError",
    "Handler",
    "PeerEndpoint",
    "PeerSettings",
    "PeerStats",
]
