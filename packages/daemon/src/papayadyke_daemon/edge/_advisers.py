"""Distribute advisory calls over the VMs; the service handles one per VM at a time."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from papayadyke_core.dispatch import Advice, AdviceRequest
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._messages import AdviceReply, AskAdvice
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._ports import EdgePorts

LOG = logging.getLogger(__name__)

REPLY_MARGIN_S = 0.8  # seconds added to the expected duration of an advisory call
FAILED_VM_PAUSE_S = 1.0  # seconds without calls through a VM after a failed one


class AdvisoryPool:
    """Run one thread for each VM that can call the advisory service.

    Parameters
    ----------
    ports : EdgePorts
    clients : PeerClients
    on_answer : callable
        Called with each request and its answer.
    """

    def __init__(
        self,
        ports: EdgePorts,
        clients: PeerClients,
        on_answer: Callable[[AdviceRequest, Result[Advice, str]], None],
    ) -> None:
        self._ports = ports
        self._clients = clients
        self._on_answer = on_answer
        self._requests: queue.SimpleQueue[AdviceRequest | None] = queue.SimpleQueue()
        self._stop_events: dict[str, threading.Event] = {}
        # An empty address stands for this VM.
        self._stop_events[""] = threading.Event()

    def start(self) -> None:
        """Start the thread of this VM; those of other VMs follow their heartbeats."""
        self._start_worker("")

    @property
    def slots(self) -> int:
        """Number of calls that can be in progress at a time."""
        return len(self._stop_events)

    def set_vms(self, addresses: set[str]) -> None:
        """Set the other VMs that are used besides this one."""
        for address in addresses - self._stop_events.keys():
            self._start_worker(address)
        for address in self._stop_events.keys() - addresses - {""}:
            self._stop_events.pop(address).set()

    def submit(self, request: AdviceRequest) -> None:
        """Queue a request for the next free VM."""
        self._requests.put(request)

    def stop(self) -> None:
        """Stop the threads after their current calls."""
        for stopped in self._stop_events.values():
            stopped.set()
        for _ in self._stop_events:
            self._requests.put(None)

    def _start_worker(self, address: str) -> None:
        stopped = self._stop_events.setdefault(address, threading.Event())
        threading.Thread(
            target=self._serve, args=(address, stopped), name="adviser", daemon=True
        ).start()

    def _serve(self, address: str, stopped: threading.Event) -> None:
        while not stopped.is_set():
            request = self._requests.get()
            if request is None:
                return
            if stopped.is_set():
                self._requests.put(request)
                return
            try:
                answer = self._call(address, request)
            except Exception as exc:
                LOG.exception("advice: a call through %r failed", address)
                answer = Err(repr(exc))
            self._on_answer(request, answer)
            if isinstance(answer, Err):
                stopped.wait(FAILED_VM_PAUSE_S if address else 0.1)

    def _call(self, address: str, request: AdviceRequest) -> Result[Advice, str]:
        if not address:
            return self._ports.request_advice(request.step, request.upstream_ids)
        reply = self._clients.call(
            address,
            AskAdvice(*request.step, list(request.upstream_ids)),
            timeout_s=request.expected_s + REPLY_MARGIN_S,
        )
        if isinstance(reply, Err):
            return Err(reply.err_value.detail)
        advice_reply = reply.ok_value
        if not isinstance(advice_reply, AdviceReply) or advice_reply.error:
            return Err(getattr(advice_reply, "error", "unexpected reply"))
        return Ok(
            Advice(
                request.step,
                request.upstream_ids,
                advice_reply.tickets,
                advice_reply.valid_s,
                read_clock(),
            )
        )
