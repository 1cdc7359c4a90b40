"""Threads that maintain the membership and the zone record of a VM."""

from papayadyke_daemon.membership._records import RecordSync, RecordSyncSettings
from papayadyke_daemon.membership._service import (
    MembershipService,
    MembershipServiceSettings,
)
from papayadyke_daemon.membership._view import View

__all__ = [
    "MembershipService",
    "MembershipServiceSettings",
    "RecordSync",
    "RecordSyncSettings",
    "View",
]
