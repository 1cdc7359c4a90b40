"""Messages and client of the upstream protocol."""

from papayadyke_clients.upstream._client import (
    Answered,
    CallResult,
    Failed,
    Lost,
    NotStarted,
    Running,
    Stopped,
    TaskCall,
    UpstreamClient,
)
from papayadyke_clients.upstream._messages import (
    OUTCOME_HEADER,
    START_HEADER,
    EndsReport,
    OpenMessage,
    RunningTaskMessage,
    SessionRefused,
    SessionReport,
    SpecMessage,
    StartMessage,
    TaskEnd,
    read_demand,
)

__all__ = [
    "OUTCOME_HEADER",
    "START_HEADER",
    "Answered",
    "CallResult",
    "EndsReport",
    "Failed",
    "Lost",
    "NotStarted",
    "OpenMessage",
    "Running",
    "RunningTaskMessage",
    "SessionRefused",
    "SessionReport",
    "SpecMessage",
    "StartMessage",
    "Stopped",
    "TaskCall",
    "TaskEnd",
    "UpstreamClient",
    "read_demand",
]
