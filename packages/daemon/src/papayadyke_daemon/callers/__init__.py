"""HTTP interface for callers."""

from papayadyke_daemon.callers._app import CallersApp, Readiness
from papayadyke_daemon.callers._jobs import JobOwner
from papayadyke_daemon.callers._problem import make_problem

__all__ = ["CallersApp", "JobOwner", "Readiness", "make_problem"]
