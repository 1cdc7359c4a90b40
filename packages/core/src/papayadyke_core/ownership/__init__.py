"""Assignment of upstreams to VMs, and sessions that allow one owner at a time."""

from papayadyke_core.ownership._gate import (
    OpenRefusal,
    SessionGate,
    SessionGrant,
    SessionRefusal,
    StartRefusal,
)
from papayadyke_core.ownership._plan import (
    OwnershipPlan,
    Planner,
    assign_upstreams,
    plan_ownership,
    rank_owners,
)
from papayadyke_core.ownership._proposal import (
    ProposalSettings,
    RecordProposer,
    available_owners,
    unreached_upstreams,
)
from papayadyke_core.ownership._reach import ReachabilitySettings, ReachabilityTracker
from papayadyke_core.ownership._record import (
    Owner,
    RecordError,
    ZoneRecord,
    check_record,
    decode_record,
    encode_record,
)
from papayadyke_core.ownership._session import Session
from papayadyke_core.ownership._session_types import (
    OpenRequest,
    ReleaseRequest,
    RenewRequest,
    SessionRequest,
    SessionSettings,
    SessionState,
    StartPermit,
)

__all__ = [
    "OpenRefusal",
    "OpenRequest",
    "Owner",
    "OwnershipPlan",
    "Planner",
    "ProposalSettings",
    "ReachabilitySettings",
    "ReachabilityTracker",
    "RecordError",
    "RecordProposer",
    "ReleaseRequest",
    "RenewRequest",
    "Session",
    "SessionGate",
    "SessionGrant",
    "SessionRefusal",
    "SessionRequest",
    "SessionSettings",
    "SessionState",
    "StartPermit",
    "StartRefusal",
    "ZoneRecord",
    "assign_upstreams",
    "available_owners",
    "check_record",
    "decode_record",
    "encode_record",
    "plan_ownership",
    "rank_owners",
    "unreached_upstreams",
]
