"""Track whether the store answers this VM, from every call to it."""

from __future__ import annotations

import itertools
import logging
import threading
import time
from collections.abc import Callable, Sequence
from typing import TypeVar

from result import Err, Ok, Result

from papayadyke_daemon.edge._answer_time import AnswerTime
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._keys import DECIDER_KEY
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import (
    Page,
    Record,
    RecordStore,
    StoreError,
    StoreErrorKind,
    Write,
)

LOG = logging.getLogger(__name__)

PROBE_INTERVAL_S = 0.2  # seconds between the starts of two probes while in doubt
# Seconds for a probe or a call for a caller. A store that is 60 times slower than usual
# answers in 0.25 s. The timeout grows with the time that answers take, up to a maximum
# that leaves the caller time for another attempt.
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.4, 0.8
# Seconds without an answered call after which a probe is sent. Calls to the store are
# counted and all VMs share its rate, so a VM that has nothing to store probes rarely;
# the decider's VM asks it to as soon as it loses the store itself.
CHECK_INTERVAL_S = 1.5
# Seconds after which an unanswered call holds back later writes; a call usually takes
# a few milliseconds, and a slow store its usual time.
MIN_SLOW_CALL_S, MAX_SLOW_CALL_S = 0.15, 0.5
# Seconds in which a probe is answered by a store that has lost a single answer.
RECOVERY_WAIT_S = 0.1
SLOW_POLL_S = 0.02  # seconds between two looks at a slow call
# Seconds for which a store that answers reads is in doubt after its second consecutive
# failed write; doubled for each further one, up to the maximum.
WRITE_DOUBT_S = 0.5
MAX_WRITE_DOUBT_S = 2.0
NEVER_S = float("-inf")
# Failures with which the store has answered the call.
ANSWERS = frozenset(
    {
        StoreErrorKind.CONFLICT,
        StoreErrorKind.REJECTED,
        StoreErrorKind.NO_LEASE,
        StoreErrorKind.COMPACTED,
    }
)
T = TypeVar("T")


class StoreContact:
    """State of the contact with the store, updated by every call of this VM.

    A call that is rejected or not answered puts the store in doubt. A probe then
    follows at once, and every `PROBE_INTERVAL_S` until one is answered. The store
    counts as lost if a probe has failed as well; until one is answered, all other
    calls except those for leases fail without being sent.

    Parameters
    ----------
    store : RecordStore
    on_change : callable
        Called on any thread when the store is in doubt, lost or reached.
    """

    def __init__(
        self, store: RecordStore, on_change: Callable[[], object] = lambda: None
    ) -> None:
        self.store = ContactStore(store, self)
        self.is_lost = False
        self._inner = store
        self._on_change = on_change
        self._lock = threading.Lock()
        self._call_numbers = itertools.count()
        # Calls that are usually answered in milliseconds: time of sending, and whether
        # it is a write.
        self._pending: dict[int, tuple[float, bool]] = {}
        self._has_answered = False
        self._doubted_s: float | None = None
        self._recovered_s = NEVER_S
        # Times of sending of the latest call and of the latest write with an answer.
        self._answered_s = NEVER_S
        self._written_s = NEVER_S
        self._probed_s = NEVER_S
        self._failed_writes = 0
        self._answer_time = AnswerTime()
        self._reached = threading.Event()
        self._wake = threading.Event()
        self._is_stopped = False
        self._is_probe_requested = False

    @property
    def is_reached(self) -> bool:
        """Whether the store has answered and is not in doubt."""
        return self._has_answered and self._doubted_s is None

    @property
    def doubted_s(self) -> float:
        """Time since which the store is in doubt; minus infinity if it is not."""
        doubted_s = self._doubted_s
        return NEVER_S if doubted_s is None else doubted_s

    @property
    def timeout_s(self) -> float:
        """Seconds to wait for an answer; more while answers take long."""
        return self._answer_time.find_timeout_s(MIN_TIMEOUT_S, MAX_TIMEOUT_S)

    def start(self) -> None:
        """Start the thread that probes the store."""
        threading.Thread(target=self._run, name="store-contact", daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self._is_stopped = True
        self._wake.set()

    def is_slow(self, now: float) -> bool:
        """Return whether a call waits longer than answers usually take.

        Calls of which a later one of the same kind was answered do not count.
        """
        slow_call_s = self._answer_time.find_timeout_s(MIN_SLOW_CALL_S, MAX_SLOW_CALL_S)
        with self._lock:
            return any(
                self._get_answered_s(is_write=is_write) <= sent_s <= now - slow_call_s
                for sent_s, is_write in self._pending.values()
            )

    def wait_while_slow(self, timeout_s: float) -> bool:
        """Wait while a call is slow; return whether the store is reached."""
        end_s = read_clock() + timeout_s
        while self.is_reached and self.is_slow(read_clock()):
            if read_clock() >= end_s:
                break
            time.sleep(SLOW_POLL_S)
            if not self.is_reached:
                # The slow call has failed; the probe that follows may be answered.
                return self.wait_until_reached(RECOVERY_WAIT_S)
        return self.is_reached

    def wait_until_reached(self, timeout_s: float) -> bool:
        """Wait until the store is no longer in doubt; return whether it is reached."""
        return self.is_reached or self._reached.wait(timeout_s)

    def check(self) -> None:
        """Probe the store if a probe is due."""
        now = read_clock()
        if now >= self._next_probe_s():
            self._probed_s = now
            self._is_probe_requested = False
            call = self._begin(is_tracked=True, is_write=False)
            self._end(
                call,
                self._inner.read(DECIDER_KEY, timeout_s=self.timeout_s),
                is_probe=True,
            )

    def request_probe(self) -> None:
        """Have the store probed at once, unless a probe has just been sent."""
        if self.is_reached and read_clock() >= self._probed_s + PROBE_INTERVAL_S:
            self._is_probe_requested = True
            self._wake.set()

    def call(
        self,
        send: Callable[[], Result[T, StoreError]],
        *,
        is_write: bool = False,
        is_tracked: bool = True,
        is_gated: bool = True,
    ) -> Result[T, StoreError]:
        """Make a call to the store, and learn from its outcome.

        Parameters
        ----------
        send : callable
        is_write : bool, default=False
        is_tracked : bool, default=True
            Whether the call is usually answered in milliseconds.
        is_gated : bool, default=True
            Whether the call fails without being sent while the store is lost.
        """
        if is_gated and self.is_lost:
            return Err(StoreError(StoreErrorKind.NOT_DONE, "the store is in doubt"))
        call = self._begin(is_tracked=is_tracked, is_write=is_write)
        return self._end(call, send(), is_write=is_write)

    # Implementation

    def _run(self) -> None:
        while not self._is_stopped:
            self._wake.wait(max(0.0, self._next_probe_s() - read_clock()))
            self._wake.clear()
            try:
                self.check()
            except Exception:
                LOG.exception("store: a probe failed unexpectedly")
                self._wake.wait(PROBE_INTERVAL_S)

    def _next_probe_s(self) -> float:
        if not self.is_reached or self._is_probe_requested:
            return self._probed_s + PROBE_INTERVAL_S
        return max(self._probed_s, self._answered_s) + CHECK_INTERVAL_S

    def _get_answered_s(self, *, is_write: bool) -> float:
        """Return the time of sending of the latest call of a kind with an answer."""
        return self._written_s if is_write else self._answered_s

    def _begin(self, *, is_tracked: bool, is_write: bool) -> tuple[int, float]:
        number, sent_s = next(self._call_numbers), read_clock()
        if is_tracked:
            with self._lock:
                self._pending[number] = sent_s, is_write
        return number, sent_s

    def _end(
        self,
        call: tuple[int, float],
        reply: Result[T, StoreError],
        *,
        is_write: bool = False,
        is_probe: bool = False,
    ) -> Result[T, StoreError]:
        number, sent_s = call
        now = read_clock()
        error = None if isinstance(reply, Ok) else reply.err_value
        with self._lock:
            is_tracked = self._pending.pop(number, None) is not None
            before = self.is_reached, self.is_lost
            if error is None or error.kind in ANSWERS:
                if is_tracked:
                    self._answer_time.record(now - sent_s)
                self._record_answer(sent_s, now, is_write=is_write)
            else:
                self._record_failure(sent_s, now, is_write=is_write, is_probe=is_probe)
            after = self.is_reached, self.is_lost
            if self.is_reached:
                self._reached.set()
            else:
                self._reached.clear()
        if after != before:
            was_reached, _ = before
            if was_reached and error is not None:
                METRICS.count("papayadyke_store_doubts", kind=error.kind)
            self._wake.set()
            self._announce(error, is_write=is_write)
        return reply

    def _record_answer(self, sent_s: float, now: float, *, is_write: bool) -> None:
        self._has_answered = True
        self._answered_s = max(self._answered_s, sent_s)
        if is_write:
            self._written_s = max(self._written_s, sent_s)
            self._failed_writes = 0
        # An answer to an earlier call does not show that the store answers now.
        if self._doubted_s is None or sent_s < self._doubted_s:
            return
        self.is_lost = False
        if now >= self._doubted_s + self._get_write_doubt_s():
            self._doubted_s = None
            self._recovered_s = now

    def _record_failure(
        self, sent_s: float, now: float, *, is_write: bool, is_probe: bool
    ) -> None:
        answered_s = self._get_answered_s(is_write=is_write)
        if sent_s < max(self._recovered_s, answered_s):
            # A later call has been answered.
            return
        if self._doubted_s is None:
            self._doubted_s = now
            # A probe is due at once.
            self._probed_s = now if is_probe else NEVER_S
            self._failed_writes += is_write
        self.is_lost = self.is_lost or is_probe

    def _get_write_doubt_s(self) -> float:
        """Return for how long answers to reads do not end the doubt, in seconds."""
        if self._failed_writes <= 1:
            return 0.0
        return min(MAX_WRITE_DOUBT_S, WRITE_DOUBT_S * 2 ** (self._failed_writes - 2))

    def _announce(self, error: StoreError | None, *, is_write: bool) -> None:
        log_event(
            LOG,
            "store: contact changed",
            reached=self.is_reached,
            lost=self.is_lost,
            write=is_write,
            why="" if error is None else error.detail or error.kind,
        )
        self._on_change()


class ContactStore:
    """Client of the store that reports each outcome to a `StoreContact`."""

    def __init__(self, store: RecordStore, contact: StoreContact) -> None:
        self._store = store
        self._contact = contact

    def read(
        self, key: str, *, timeout_s: float | None = None
    ) -> Result[Record | None, StoreError]:
        """Return the record of a key, or None if there is none."""
        return self._contact.call(lambda: self._store.read(key, timeout_s=timeout_s))

    def read_prefix(self, prefix: str, *, after: str = "") -> Result[Page, StoreError]:
        """Return a page of the records of a prefix whose keys follow `after`."""
        return self._contact.call(
            lambda: self._store.read_prefix(prefix, after=after), is_tracked=False
        )

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[Page, StoreError]:
        """Return changes of a prefix after a revision; wait for the first if none."""
        return self._contact.call(
            lambda: self._store.watch(prefix, after=after, wait_s=wait_s),
            is_tracked=False,
        )

    def write(
        self,
        writes: Sequence[Write],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
        timeout_s: float | None = None,
    ) -> Result[int, StoreError]:
        """Apply all changes atomically if the expected revisions match."""
        return self._contact.call(
            lambda: self._store.write(
                writes, expected=expected, removed=removed, timeout_s=timeout_s
            ),
            is_write=True,
        )

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease."""
        return self._contact.call(lambda: self._store.grant_lease(ttl_s))

    def renew_lease(
        self, lease: int, *, timeout_s: float | None = None
    ) -> Result[None, StoreError]:
        """Extend a lease by its time to live, also while the store is in doubt."""
        return self._contact.call(
            lambda: self._store.renew_lease(lease, timeout_s=timeout_s), is_gated=False
        )

    def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease, also while the store is in doubt; its keys are removed."""
        return self._contact.call(lambda: self._store.end_lease(lease), is_gated=False)
