"""The members of the cell, and who owns which upstream of the zone."""

from papayadyke_daemon.membership._owners import OwnersSettings, OwnersThread
from papayadyke_daemon.membership._service import MembershipService

__all__ = ["MembershipService", "OwnersSettings", "OwnersThread"]
