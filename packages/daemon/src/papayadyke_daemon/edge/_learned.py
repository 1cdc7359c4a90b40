"""Store the learned run times, from which the next decider resumes."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

import msgspec
from result import Err, Result

from papayadyke_core.dispatch import (
    Dispatcher,
    LearnedRecord,
    decode_learned,
    encode_learned,
)
from papayadyke_daemon.edge._keys import DECIDER_KEY, LEARNED_KEY
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import (
    RecordStore,
    StoreError,
    StoreErrorKind,
    Write,
)

LOG = logging.getLogger(__name__)

WRITE_INTERVAL_S = 5.0  # least time between two writes
# Average of the writes; a VM may use 12 KB/s in all. Larger records are written less
# often: that of 18,000 upstreams, about 600 KB, every five minutes.
WRITE_BYTES_PER_S = 2_000
MAX_METRIC_QUEUES = 20
LOGGED_CHANGE = 4 / 3  # change of a queue's ratio from which it is logged: a third
FACTOR_METRIC = "papayadyke_estimate_factor"


class LearnedWriter:
    """Load the learned run times at the start of a term, and store them during it.

    All methods except `write` must be called on the decider's thread.

    Parameters
    ----------
    store : RecordStore
    dispatcher : Dispatcher
    token : int
        Fencing token of the decider.
    max_bytes : int
        Most bytes of a value in the store; a larger record is not stored.
    post : callable
        Schedules a function on the decider's thread.
    """

    def __init__(
        self,
        store: RecordStore,
        dispatcher: Dispatcher,
        *,
        token: int,
        max_bytes: int,
        post: Callable[[Callable[[], None]], None],
    ) -> None:
        self._store = store
        self._max_bytes = max_bytes
        self._dispatcher = dispatcher
        self._token = token
        self._post = post
        self._is_write_active = False
        self._next_s = 0.0
        self._seen_changes = 0
        self._logged_factors: dict[str, float] = {}
        self._metric_queues: set[str] = set()

    def load(self) -> None:
        """Read what earlier deciders learned; without it, begin with the estimates."""
        run_times = self._dispatcher.run_times
        if run_times is None:
            return
        stored = self._store.read(LEARNED_KEY)
        if isinstance(stored, Err):
            log_event(
                LOG, "decider: learned run times not read", why=stored.err_value.kind
            )
            return
        record = stored.ok_value
        if record is None or record.value is None:
            log_event(LOG, "decider: no learned run times are stored")
            return
        try:
            learned = decode_learned(record.value)
        except msgspec.DecodeError as exc:
            log_event(LOG, "decider: unreadable learned run times", why=str(exc))
            return
        run_times.restore(learned)
        log_event(
            LOG,
            "decider: learned run times loaded",
            queues=len(learned.queues),
            upstreams=len(learned.upstreams),
        )

    def update(self, now: float) -> None:
        """Report the ratios, and store what was learned in the background."""
        run_times = self._dispatcher.run_times
        if run_times is None or self._is_write_active or now < self._next_s:
            return
        self._next_s = now + WRITE_INTERVAL_S
        if run_times.changes == self._seen_changes:
            return
        self._seen_changes = run_times.changes
        queues = self._dispatcher.catalog.queues
        self._report_factors(list(queues))
        learned = run_times.make_record(queues, self._dispatcher.upstreams)
        self._is_write_active = True
        threading.Thread(
            target=self.write, args=(learned, now), name="learned", daemon=True
        ).start()

    def write(self, learned: LearnedRecord, now: float) -> None:
        """Store learned run times; the result is handled on the decider's thread."""
        stored: Result[int, StoreError] = Err(StoreError(StoreErrorKind.UNKNOWN))
        size = 0
        try:
            data = encode_learned(learned)
            size = len(data)
            if size > self._max_bytes:
                stored = Err(StoreError(StoreErrorKind.NOT_DONE, f"{size} bytes"))
                return
            stored = self._store.write(
                [Write(LEARNED_KEY, data)], expected=[(DECIDER_KEY, self._token)]
            )
        finally:
            self._post(lambda: self._handle_result(stored, now, size))

    def clear_metrics(self) -> None:
        """Withdraw the ratios, which another VM reports from now on."""
        for queue in self._metric_queues:
            METRICS.remove_gauge(FACTOR_METRIC, queue=queue)
        self._metric_queues.clear()

    def _handle_result(
        self, stored: Result[int, StoreError], now: float, size: int
    ) -> None:
        self._is_write_active = False
        self._next_s = max(self._next_s, now + size / WRITE_BYTES_PER_S)
        if isinstance(stored, Err):
            error = stored.err_value
            log_event(
                LOG,
                "decider: learned run times not stored",
                why=error.kind,
                detail=error.detail,
            )
            self._seen_changes = -1

    def _report_factors(self, queues: list[str]) -> None:
        """Set the metric of the queues with most samples, and log large changes."""
        run_times = self._dispatcher.run_times
        assert run_times is not None
        by_samples = sorted(queues, key=run_times.count_samples, reverse=True)
        reported = set(by_samples[:MAX_METRIC_QUEUES])
        for queue in self._metric_queues - reported:
            METRICS.remove_gauge(FACTOR_METRIC, queue=queue)
        self._metric_queues = reported
        for queue in queues:
            factor = run_times.get_factor(queue)
            if queue in reported:
                METRICS.set_gauge(FACTOR_METRIC, factor, queue=queue)
            earlier = self._logged_factors.get(queue, 1.0)
            if not 1 / LOGGED_CHANGE <= factor / earlier <= LOGGED_CHANGE:
                self._logged_factors[queue] = factor
                log_event(
                    LOG,
                    "decider: run times changed",
                    queue=queue,
                    factor=round(factor, 3),
                    earlier=round(earlier, 3),
                )
        for queue in self._logged_factors.keys() - set(queues):
            del self._logged_factors[queue]
