"""Poll one upstream and send it the orders of the decider."""

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
from papayadyke_daemon.edge._fence import IncarnationFence
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import EdgeSettings, FencedError, UpstreamClient

LOG = logging.getLogger(__name__)

# Seconds that a poll waits for a run to end; short, to detect a silent upstream soon.
POLL_WAIT_S = 1.0
POLL_RETRY_S = 0.3  # seconds between polls of an upstream that does not answer
# Seconds between polls while reported ends wait for their commit.
UNCOMMITTED_POLL_INTERVAL_S = 0.2
MAX_ORDER_AGE_S = 0.5  # seconds; an older start order expires and is placed anew


@dataclass(frozen=True, slots=True)
class AgentCallbacks:
    """Callbacks of an agent to the decider; any thread may call them.

    Parameters
    ----------
    may_issue_orders : callable
        Returns whether this VM is still the decider; called right before a send.
    on_report : callable
        Called with the id of the upstream and its report.
    on_contact_lost : callable
        Called with the id of the upstream and the reason.
    on_start_outcome : callable
        Called with a start order and its outcome.
    on_stop_acknowledged : callable
        Called with a stop order that the upstream has accepted.
    before_lease : callable
        Called with the id of the upstream and the time, before a lease is sent.
    poll_interval_s : callable
        Returns the least time between two polls, in seconds.
    on_fenced : callable
        Called with the id of an upstream that follows a later decider.
    """

    may_issue_orders: Callable[[], bool]
    on_report: Callable[[str, UpstreamReport], None]
    on_contact_lost: Callable[[str, str], None]
    on_start_outcome: Callable[[StartOrder, StartOutcome], None]
    on_stop_acknowledged: Callable[[StopOrder], None]
    before_lease: Callable[[str, float], None]
    poll_interval_s: Callable[[], float]
    on_fenced: Callable[[str], None]


class UpstreamAgent:
    """Poll one upstream and send it orders, on one thread each.

    Parameters
    ----------
    upstream_id, address : str
    client : UpstreamClient
    fence : IncarnationFence
        Fencing token of the term for the upstream.
    cfg : EdgeSettings
    callbacks : AgentCallbacks
    """

    def __init__(
        self,
        upstream_id: str,
        *,
        address: str,
        client: UpstreamClient,
        fence: IncarnationFence,
        cfg: EdgeSettings,
        callbacks: AgentCallbacks,
    ) -> None:
        self.upstream_id = upstream_id
        self.address = address
        self.acknowledged_end = 0
        self._client = client
        self._fence = fence
        self._cfg = cfg
        self._callbacks = callbacks
        self._orders: queue.SimpleQueue[StartOrder | StopOrder | None]
        self._orders = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._is_reached = False
        self._was_unfenced = False
        self._last_end = 0
        # Last end whose acknowledgement the upstream has answered.
        self._confirmed_end = 0
        # Guards the acknowledged end, which belongs to the incarnation of the fence.
        self._acknowledgement_lock = threading.Lock()

    def start(self) -> None:
        """Start the threads."""
        for name, run in (("poll", self._poll_loop), ("order", self._order_loop)):
            threading.Thread(
                target=run, name=f"{name}-{self.upstream_id}", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop the threads once their current calls have returned.

        Start orders that wait are not sent, and their outcome says so.
        """
        self._stopped.set()
        self._orders.put(None)
        self._client.close()

    def acknowledge_ends(self, incarnation: int, number: int) -> None:
        """Acknowledge ends of runs up to a number, once they are stored.

        Parameters
        ----------
        incarnation : int
            Incarnation of the upstream that numbered the ends.
        number : int
        """
        with self._acknowledgement_lock:
            if incarnation == self._fence.incarnation:
                self.acknowledged_end = number

    def send(self, order: StartOrder | StopOrder) -> None:
        """Queue an order."""
        self._orders.put(order)

    def poll_once(self) -> None:
        """Poll the upstream, and wait until the next poll may follow."""
        checked_s = read_clock()
        if not self._callbacks.may_issue_orders():
            self._stopped.wait(POLL_RETRY_S)
            return
        # An unreachable upstream gets no new lease: its runs must lapse before
        # they may be started elsewhere. Nor does the first poll grant one: a lease
        # is sent as a time on the upstream's clock, which the reply to that poll
        # contains. It acknowledges nothing either, as the upstream may have restarted
        # and numbered its ends anew. The same holds on a new connection.
        is_known = self._is_reached and self._client.is_connected()
        acknowledged_end = self.acknowledged_end
        if not is_known or acknowledged_end == self._confirmed_end:
            acknowledged_end = 0
        if is_known:
            self._callbacks.before_lease(self.upstream_id, checked_s)
        try:
            reply = self._client.poll(
                token=self._fence.token,
                acknowledged_end=acknowledged_end,
                lease_until_s=checked_s + self._cfg.lease_s if is_known else None,
                wait_s=POLL_WAIT_S if is_known else 0.0,
            )
            if self._stopped.is_set():
                # Another agent may call the upstream by now, at another address.
                return
            if isinstance(reply, Err):
                self._handle_failed_poll(reply.err_value)
                return
            is_fenced = self._meet(reply.ok_value.incarnation)
        except FencedError:
            if not self._stopped.is_set():
                self._callbacks.on_fenced(self.upstream_id)
            self._stopped.wait(POLL_RETRY_S)
            return
        if not is_fenced and self._was_unfenced:
            # Restarts in a row must not make a loop without a pause.
            self._stopped.wait(POLL_RETRY_S)
        self._was_unfenced = not is_fenced
        if is_fenced:
            self._confirmed_end = max(self._confirmed_end, acknowledged_end)
            self._stopped.wait(self._process_report(reply.ok_value))

    def has_orders(self) -> bool:
        """Return whether an order waits to be sent."""
        return not self._orders.empty()

    def _meet(self, incarnation: int) -> bool:
        """Record which incarnation answered; return whether its report is final.

        Until an incarnation has seen a raised token, calls that were meant for the
        former one may still start runs there, extend leases and remove ends.
        """
        former = self._fence.incarnation
        if former == incarnation:
            return True
        if former is not None:
            METRICS.count("papayadyke_upstream_restarts")
            log_event(
                LOG,
                "upstreams: restarted",
                upstream=self.upstream_id,
                incarnation=incarnation,
                former=former,
            )
        # First contact or a restart: the ends are numbered anew.
        self._last_end = self._confirmed_end = 0
        with self._acknowledgement_lock:
            is_fenced = self._fence.meet(incarnation)
            self.acknowledged_end = 0
        self._is_reached = False
        if not is_fenced:
            # Orders for the former incarnation are not sent from here on.
            self._callbacks.on_contact_lost(self.upstream_id, "restarted")
        return is_fenced

    def _process_report(self, report: UpstreamReport) -> float:
        """Pass on a report; return the seconds until the next poll."""
        self._is_reached = True
        self._callbacks.on_report(self.upstream_id, report)
        newest_end = max((run.number for run in report.ended), default=0)
        pause_s = self._callbacks.poll_interval_s()
        if newest_end and newest_end <= self._last_end:
            pause_s = UNCOMMITTED_POLL_INTERVAL_S
        self._last_end = max(self._last_end, newest_end)
        return pause_s

    def _handle_failed_poll(self, detail: str) -> None:
        if self._is_reached:
            log_event(
                LOG, "upstreams: contact lost", upstream=self.upstream_id, why=detail
            )
        self._is_reached = False
        self._callbacks.on_contact_lost(self.upstream_id, detail)
        self._stopped.wait(POLL_RETRY_S)

    def send_next(self) -> bool:
        """Wait for an order and send it; return False once the agent has stopped."""
        order = self._orders.get()
        if order is None:
            return False
        if self._stopped.is_set():
            if isinstance(order, StartOrder):
                self._report_start(order, StartOutcome.EXPIRED)
            return True
        if isinstance(order, StartOrder):
            self._report_start(order, self._start(order))
            return True
        try:
            is_accepted = self._callbacks.may_issue_orders() and self._client.stop(
                order, token=self._fence.token
            )
        except Exception:
            # The dispatcher repeats a stop that is not acknowledged.
            LOG.exception("upstreams: a stop at %s failed", self.upstream_id)
            return True
        if is_accepted:
            self._callbacks.on_stop_acknowledged(order)
        return True

    def _report_start(self, order: StartOrder, outcome: StartOutcome) -> None:
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
        self._callbacks.on_start_outcome(order, outcome)

    def _start(self, order: StartOrder) -> StartOutcome:
        # The lease counts from here: if the process is paused after the check, the
        # order arrives after its lease and the upstream refuses it.
        checked_s = read_clock()
        if (
            checked_s - order.ordered_s > MAX_ORDER_AGE_S
            or not self._callbacks.may_issue_orders()
        ):
            return StartOutcome.EXPIRED
        token = self._fence.find_token(order.incarnation)
        if token is None:
            return StartOutcome.EXPIRED
        self._callbacks.before_lease(self.upstream_id, checked_s)
        try:
            outcome = self._client.start(
                order, token=token, lease_until_s=checked_s + self._cfg.lease_s
            )
        except Exception:
            LOG.exception("upstreams: a start at %s failed", self.upstream_id)
            outcome = StartOutcome.UNKNOWN
        if outcome is StartOutcome.UNKNOWN:
            # The upstream may have restarted; the next poll finds out.
            self._is_reached = False
        if outcome is StartOutcome.FENCED and token != self._fence.token:
            # It was meant for a former incarnation.
            return StartOutcome.STALE
        return outcome

    def _poll_loop(self) -> None:
        while not self._stopped.is_set():
            try:
                self.poll_once()
            except Exception:
                LOG.exception("upstreams: a poll of %s failed", self.upstream_id)
                self._handle_failed_poll("unexpected error")

    def _order_loop(self) -> None:
        while self.send_next():
            pass
