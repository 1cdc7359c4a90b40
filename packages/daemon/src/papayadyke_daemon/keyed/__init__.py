"""Synchronous requests that carry an idempotency key."""

from papayadyke_daemon.keyed._runs import KeyedRuns, Replayed
from papayadyke_daemon.keyed._types import KeyHome

__all__ = ["KeyHome", "KeyedRuns", "Replayed"]
