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
    RESPOND_ASYNC,
    EndsReport,
    OpenMessage,
    RunningTaskMessage,
    SessionRefused,
    SessionReport,
    SpecMessage,
    TaskEnd,
)

__all__ = [
    "PROTOCOL_HEADERS",
    "RESPOND_ASYNC",
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
    "Stopped",
    "TaskCall",
    "TaskEnd",
    "UpstreamClient",
]
