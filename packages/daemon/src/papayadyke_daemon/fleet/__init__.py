"""Sessions at upstreams, and tracking of the tasks that run under them."""

from papayadyke_daemon.fleet._agent import Holder, UpstreamAgent
from papayadyke_daemon.fleet._fleet import Fleet
from papayadyke_daemon.fleet._owner import FleetOwner, FleetOwnerSettings

__all__ = ["Fleet", "FleetOwner", "FleetOwnerSettings", "Holder", "UpstreamAgent"]
