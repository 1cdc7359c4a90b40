"""The callers' HTTP interface."""

from papayadyke_daemon.callers._app import CallersApp, Readiness
from papayadyke_daemon.callers._problem import make_problem

__all__ = ["CallersApp", "Readiness", "make_problem"]
