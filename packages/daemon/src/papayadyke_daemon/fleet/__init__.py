"""Sessions at upstreams, and the tasks that run under them."""

from papayadyke_daemon.fleet._agent import Holder, UpstreamAgent
from papayadyke_daemon.fleet._fleet import Fleet
from papayadyke_daemon.fleet._owner import FleetOwner, OwnerSettings

__all__ = ["Fleet", "FleetOwner", "Holder", "OwnerSettings", "UpstreamAgent"]
