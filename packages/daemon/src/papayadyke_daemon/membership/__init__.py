"""Keeps this VM in touch with the other VMs, and the zone record up to date."""

from papayadyke_daemon.membership._records import RecordKeeper, RecordKeeperSettings
from papayadyke_daemon.membership._service import (
    MembershipService,
    MembershipServiceSettings,
)
from papayadyke_daemon.membership._view import View

__all__ = [
    "MembershipService",
    "MembershipServiceSettings",
    "RecordKeeper",
    "RecordKeeperSettings",
    "View",
]
