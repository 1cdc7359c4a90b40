"""Route requests, keys and jobs to this VM, a peer or another zone."""

from papayadyke_daemon.routing._jobs import RoutedJobs
from papayadyke_daemon.routing._keys import RoutedKeys
from papayadyke_daemon.routing._messages import (
    ForwardRun,
    RefusalMessage,
    decode_refusal,
    encode_refusal,
)
from papayadyke_daemon.routing._partition_router import (
    PartitionRouter,
    Route,
    RouteKind,
)
from papayadyke_daemon.routing._picker import PeerPicker
from papayadyke_daemon.routing._runs import RoutedRuns, RoutingSettings

__all__ = [
    "ForwardRun",
    "PartitionRouter",
    "PeerPicker",
    "RefusalMessage",
    "Route",
    "RouteKind",
    "RoutedJobs",
    "RoutedKeys",
    "RoutedRuns",
    "RoutingSettings",
    "decode_refusal",
    "encode_refusal",
]
