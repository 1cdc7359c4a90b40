"""Synchronous requests that carry an idempotency key."""

from papayadyke_daemon.keyed._runs import KeyedRunner, ReplayedAnswer
from papayadyke_daemon.keyed._types import KeyOwner

__all__ = ["KeyOwner", "KeyedRunner", "ReplayedAnswer"]
