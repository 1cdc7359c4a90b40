"""The protocol of an upstream, and its client."""

from papayadyke_platform.upstream._client import (
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
from papayadyke_platform.upstream._messages import (
    PROTOCOL_HEADERS,
    OpenRefused,
    OpenRequest,
    RunningTaskMessage,
    SessionState,
    SpecMessage,
    TaskEnd,
)

__all__ = [
    "PROTOCOL_HEADERS",
    "Answered",
    "CallResult",
    "Failed",
    "Lost",
    "NotStarted",
    "OpenRefused",
    "OpenRequest",
    "Running",
    "RunningTaskMessage",
    "SessionState",
    "SpecMessage",
    "Stopped",
    "TaskCall",
    "TaskEnd",
    "UpstreamClient",
]
