"""Daemon of an edge VM, which keeps its state in the platform's store."""

from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._daemon import EdgeDaemon
from papayadyke_daemon.edge._early_cancels import EARLY_CANCEL_RETENTION_S
from papayadyke_daemon.edge._intake import Intake
from papayadyke_daemon.edge._keys import read_decider_vm
from papayadyke_daemon.edge._logs import configure_logging, log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._outcomes import IntakeOutcome
from papayadyke_daemon.edge._ports import (
    EdgePorts,
    EdgeSettings,
    FencedError,
    Page,
    Record,
    RecordStore,
    StoreError,
    StoreErrorKind,
    UpstreamClient,
    Write,
    measure_strength,
)

__all__ = [
    "EARLY_CANCEL_RETENTION_S",
    "METRICS",
    "EdgeDaemon",
    "EdgePorts",
    "EdgeSettings",
    "FencedError",
    "Intake",
    "IntakeOutcome",
    "Page",
    "Record",
    "RecordStore",
    "StoreError",
    "StoreErrorKind",
    "UpstreamClient",
    "Write",
    "configure_logging",
    "log_event",
    "measure_strength",
    "read_clock",
    "read_decider_vm",
]
