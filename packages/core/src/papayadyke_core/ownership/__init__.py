"""Which VM owns which upstream, and what keeps two owners apart."""

from papayadyke_core.ownership._gate import (
    Granted,
    OpenRefusal,
    Refused,
    SessionGate,
    StartRefusal,
)
from papayadyke_core.ownership._session import (
    OpenRequest,
    ReleaseRequest,
    RenewRequest,
    Session,
    SessionRequest,
    SessionSettings,
    SessionState,
    StartPermit,
)

__all__ = [
    "Granted",
    "OpenRefusal",
    "OpenRequest",
    "Refused",
    "ReleaseRequest",
    "RenewRequest",
    "Session",
    "SessionGate",
    "SessionRequest",
    "SessionSettings",
    "SessionState",
    "StartPermit",
    "StartRefusal",
]
