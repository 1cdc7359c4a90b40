"""Advisory calls, spread over the VMs because each is served one at a time."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from papayadyke_core.dispatch import Advice, AdviceRequest
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._messages import AdviceReply, AskAdvice
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._ports import EdgePorts

REPLY_MARGIN_S = 0.8  # seconds past the expected duration of an advisory call
SILENT_VM_PAUSE_S = 1.0  # seconds without calls through a VM that did not answer


class Advisers:
    """One thread for each VM that can call the advisory service.

    Parameters
    ----------
    ports : EdgePorts
    clients : PeerClients
    answered : callable
        Takes the request and its answer.
    """

    def __init__(
        self,
        ports: EdgePorts,
        clients: PeerClients,
        answered: Callable[[AdviceRequest, Result[Advice, str]], None],
    ) -> None:
        self._ports = ports
        self._clients = clients
        self._answered = answered
        self._requests: queue.SimpleQueue[AdviceRequest | None] = queue.SimpleQueue()
        self._vms: dict[str, threading.Event] = {}
        self._add("")

    @property
    def slots(self) -> int:
        """Calls that can be under way at a time."""
        return len(self._vms)

    def set_vms(self, addresses: set[str]) -> None:
        """Use these other VMs, and this one."""
        for address in addresses - self._vms.keys():
            self._add(address)
        for address in self._vms.keys() - addresses - {""}:
            self._vms.pop(address).set()

    def ask(self, request: AdviceRequest) -> None:
        """Have a request served by the next free VM."""
        self._requests.put(request)

    def stop(self) -> None:
        """End the threads."""
        for stopped in self._vms.values():
            stopped.set()
        for _ in self._vms:
            self._requests.put(None)

    def _add(self, address: str) -> None:
        stopped = self._vms[address] = threading.Event()
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
            answer = self._call(address, request)
            self._answered(request, answer)
            if isinstance(answer, Err):
                stopped.wait(SILENT_VM_PAUSE_S if address else 0.1)

    def _call(self, address: str, request: AdviceRequest) -> Result[Advice, str]:
        if not address:
            return self._ports.advise(request.step, request.upstream_ids)
        reply = self._clients.call(
            address,
            AskAdvice(*request.step, list(request.upstream_ids)),
            timeout_s=request.expected_s + REPLY_MARGIN_S,
        )
        if isinstance(reply, Err):
            return reply
        found = reply.ok_value
        if not isinstance(found, AdviceReply) or found.error:
            return Err(getattr(found, "error", "unexpected reply"))
        return Ok(
            Advice(
                request.step,
                request.upstream_ids,
                found.tickets,
                found.valid_s,
                read_clock(),
            )
        )
