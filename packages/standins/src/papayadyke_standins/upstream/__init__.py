"""Stand-in for an upstream that runs tasks under sessions and leases."""

from papayadyke_standins.upstream._faults import Faults
from papayadyke_standins.upstream._server import UpstreamStandin
from papayadyke_standins.upstream._tasks import RunRecord, TaskRegistry, TaskState

__all__ = ["Faults", "RunRecord", "TaskRegistry", "TaskState", "UpstreamStandin"]
