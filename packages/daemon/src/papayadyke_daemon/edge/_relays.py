"""Decide whether the decider's VM can store for a VM that does not reach the store."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._contact import NEVER_S

# Seconds after a heartbeat was sent for which its reply counts.
RELAY_VALIDITY_S = 1.0
# Seconds; a later call is not sent while an earlier one is unanswered for as long.
SLOW_RELAY_S = 0.15


class RelayGate:
    """What the heartbeats and relays of this VM tell of the decider's VM.

    Parameters
    ----------
    read_doubted_s : callable
        Returns the time since which this VM's own contact with the store is in doubt.
        A reply to an earlier heartbeat does not count: what this VM has lost, the
        decider's VM may have lost too, or the link between the two may be cut.
    """

    def __init__(self, read_doubted_s: Callable[[], float]) -> None:
        self._read_doubted_s = read_doubted_s
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._pending: dict[int, float] = {}
        self._heard_s = NEVER_S
        self._confirmed_s = NEVER_S

    @contextmanager
    def track(self) -> Iterator[float]:
        """Note a heartbeat or relay as unanswered; yield the time of sending."""
        number, sent_s = next(self._numbers), read_clock()
        with self._lock:
            self._pending[number] = sent_s
        try:
            yield sent_s
        finally:
            with self._lock:
                del self._pending[number]

    def record_reply(self, sent_s: float, *, reaches_store: bool) -> None:
        """Record the reply of the decider's VM to a heartbeat."""
        self._heard_s = sent_s
        self._confirmed_s = sent_s if reaches_store else NEVER_S

    def record_silence(self) -> None:
        """Record that the decider's VM did not reply, or no longer decides."""
        self._confirmed_s = NEVER_S

    def hears_decider(self) -> bool:
        """Return whether the decider's VM replied recently and no call is slow."""
        return self._is_recent(self._heard_s)

    def is_open(self) -> bool:
        """Return whether the decider's VM is known to store for other VMs."""
        confirmed_s = self._confirmed_s
        return confirmed_s >= self._read_doubted_s() and self._is_recent(confirmed_s)

    def _is_recent(self, sent_s: float) -> bool:
        now = read_clock()
        with self._lock:
            is_slow = any(now - sent > SLOW_RELAY_S for sent in self._pending.values())
        return now - sent_s < RELAY_VALIDITY_S and not is_slow
