"""Admission: request queues, deadlines, rate estimates and overload detection."""

from papayadyke_core.admission._arrivals import ArrivalRate
from papayadyke_core.admission._deadlines import DeadlineQueue
from papayadyke_core.admission._flood import FloodDetector
from papayadyke_core.admission._queue import QueuedRequest, WorkloadQueue
from papayadyke_core.admission._run_times import RunTimeEstimator
from papayadyke_core.admission._service_rate import ServiceRate
from papayadyke_core.admission._settings import AdmissionSettings

__all__ = [
    "AdmissionSettings",
    "ArrivalRate",
    "DeadlineQueue",
    "FloodDetector",
    "QueuedRequest",
    "RunTimeEstimator",
    "ServiceRate",
    "WorkloadQueue",
]
