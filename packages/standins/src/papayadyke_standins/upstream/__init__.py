"""A stand-in of an upstream: runs tasks under sessions and leases."""

from papayadyke_standins.upstream._faults import Faults
from papayadyke_standins.upstream._server import UpstreamStandin
from papayadyke_standins.upstream._tasks import RunRecord, TaskBook, TaskState

__all__ = ["Faults", "RunRecord", "TaskBook", "TaskState", "UpstreamStandin"]
