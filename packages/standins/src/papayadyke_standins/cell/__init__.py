"""Cell of processes on the loopback interface, for failure tests and benchmarks."""

from papayadyke_standins.cell._cell import Cell, CellPlan, DaemonProcess, ZonePlan
from papayadyke_standins.cell._load import Ledger, Load, Mix, Sent, Target
from papayadyke_standins.cell._process import ManagedProcess

__all__ = [
    "Cell",
    "CellPlan",
    "DaemonProcess",
    "Ledger",
    "Load",
    "ManagedProcess",
    "Mix",
    "Sent",
    "Target",
    "ZonePlan",
]
