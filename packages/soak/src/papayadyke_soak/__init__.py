"""Real processes on loopback under random faults, and the promises they must keep."""

from papayadyke_soak._faults import Fault, FaultKind, draw_faults
from papayadyke_soak._ledger import JobRecord, Ledger
from papayadyke_soak._promises import Promises, Violation
from papayadyke_soak._proxy import LinkMode, Proxy, ProxyLoop
from papayadyke_soak._soak import SoakReport, SoakSettings, run_soak

__all__ = [
    "Fault",
    "FaultKind",
    "JobRecord",
    "Ledger",
    "LinkMode",
    "Promises",
    "Proxy",
    "ProxyLoop",
    "SoakReport",
    "SoakSettings",
    "Violation",
    "draw_faults",
    "run_soak",
]
