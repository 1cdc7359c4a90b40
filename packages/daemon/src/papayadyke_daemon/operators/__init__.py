"""HTTP interface for operators."""

from papayadyke_daemon.operators._app import (
    OPERATORS_LIMITS,
    OperatorsApp,
    OperatorsBackend,
)

__all__ = ["OPERATORS_LIMITS", "OperatorsApp", "OperatorsBackend"]
