"""The threads that speak to one upstream for the decider."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from papayadyke_core.dispatch import (
    StartOrder,
    StartOutcome,
    StopOrder,
    UpstreamReport,
)
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import EdgeSettings, FencedError, UpstreamClient

LOG = logging.getLogger(__name__)

LOOK_WAIT_S = 1.0  # seconds a look waits for an end; short, to notice silence
RETRY_S = 0.3  # seconds between looks at an upstream that does not answer
REPEATED_LOOK_S = 0.2  # seconds between looks while ends wait to be stored
MAX_ORDER_AGE_S = 0.5  # seconds; an older start is decided anew


@dataclass(frozen=True, slots=True)
class AgentCalls:
    """What an agent asks of and tells the decider; any thread may call these.

    Parameters
    ----------
    may_order : callable
        Tells at the last moment whether this VM still decides.
    look_gap_s : callable
        Returns the least time between two looks, in seconds.
    report, lose_contact, start_answered, stop_answered, note_lease, fenced : callable
    """

    may_order: Callable[[], bool]
    report: Callable[[str, UpstreamReport], None]
    lose_contact: Callable[[str, str], None]
    start_answered: Callable[[StartOrder, StartOutcome], None]
    stop_answered: Callable[[StopOrder], None]
    note_lease: Callable[[str, float], None]
    look_gap_s: Callable[[], float]
    fenced: Callable[[str], None]


class UpstreamAgent:
    """Owns the connections to one upstream.

    Parameters
    ----------
    upstream_id, address : str
    client : UpstreamClient
    token : int
        Fencing token of the decider.
    cfg : EdgeSettings
    calls : AgentCalls
    """

    def __init__(
        self,
        upstream_id: str,
        *,
        address: str,
        client: UpstreamClient,
        token: int,
        cfg: EdgeSettings,
        calls: AgentCalls,
    ) -> None:
        self.upstream_id = upstream_id
        self.address = address
        self.noted_end = 0
        self._client = client
        self._token = token
        self._cfg = cfg
        self._calls = calls
        self._orders: queue.SimpleQueue[StartOrder | StopOrder | None]
        self._orders = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._is_reached = False
        self._life: int | None = None
        # An upstream's new life and what may be forgotten there change together.
        self._noting = threading.Lock()

    def start(self) -> None:
        """Start the threads."""
        for name, run in (("look", self._look_on), ("order", self._order_on)):
            threading.Thread(
                target=run, name=f"{name}-{self.upstream_id}", daemon=True
            ).start()

    def stop(self) -> None:
        """End the threads after the calls that are under way."""
        self._stopped.set()
        self._orders.put(None)
        self._client.close()

    def note_ends(self, life: int, number: int) -> None:
        """Let an upstream forget its ends up to a number."""
        with self._noting:
            if life == self._life:
                self.noted_end = number

    def send(self, order: StartOrder | StopOrder) -> None:
        """Queue an order."""
        self._orders.put(order)

    def _look_on(self) -> None:
        last_end = 0
        while not self._stopped.is_set():
            if not self._calls.may_order():
                self._stopped.wait(RETRY_S)
                continue
            # An upstream that does not answer gets no new lease: what runs there
            # must come to its end before it may run elsewhere.
            grants = self._is_reached
            if grants:
                self._calls.note_lease(self.upstream_id, read_clock())
            try:
                found = self._client.look(
                    token=self._token,
                    noted_end=self.noted_end,
                    lease_s=self._cfg.lease_s if grants else None,
                    wait_s=LOOK_WAIT_S if grants else 0.0,
                )
            except FencedError:
                self._calls.fenced(self.upstream_id)
                self._stopped.wait(RETRY_S)
                continue
            if isinstance(found, Err):
                self._lose(found.err_value)
                continue
            report = found.ok_value
            self._is_reached = True
            if self._life != report.life:
                # Its numbers of ends begin anew, and its clock must be read first.
                last_end = 0
                with self._noting:
                    self.noted_end, self._life = 0, report.life
            self._calls.report(self.upstream_id, report)
            newest = max((row.number for row in report.ended), default=0)
            pause_s = self._calls.look_gap_s()
            if newest and newest <= last_end:
                pause_s = REPEATED_LOOK_S
            last_end = max(last_end, newest)
            self._stopped.wait(pause_s)

    def _lose(self, detail: str) -> None:
        if self._is_reached:
            log_event(
                LOG, "upstreams: contact lost", upstream=self.upstream_id, why=detail
            )
        self._is_reached = False
        self._calls.lose_contact(self.upstream_id, detail)
        self._stopped.wait(RETRY_S)

    def _order_on(self) -> None:
        while (order := self._orders.get()) is not None:
            if self._stopped.is_set():
                return
            if isinstance(order, StartOrder):
                outcome = self._start(order)
                METRICS.count("papayadyke_starts", outcome=outcome)
                if outcome is not StartOutcome.STARTED:
                    log_event(
                        LOG,
                        "upstreams: start refused",
                        request=order.task.job_id,
                        task=order.task,
                        attempt=order.attempt,
                        upstream=self.upstream_id,
                        outcome=outcome,
                    )
                self._calls.start_answered(order, outcome)
            elif self._calls.may_order() and self._client.stop(
                order, token=self._token
            ):
                self._calls.stop_answered(order)

    def _start(self, order: StartOrder) -> StartOutcome:
        now = read_clock()
        if now - order.ordered_s > MAX_ORDER_AGE_S or not self._calls.may_order():
            return StartOutcome.EXPIRED
        self._calls.note_lease(self.upstream_id, now)
        return self._client.start(order, token=self._token, lease_s=self._cfg.lease_s)
