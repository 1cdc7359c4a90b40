"""A load of synchronous requests whose every answer is checked."""

from __future__ import annotations

import hashlib
import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from papayadyke_clients.http import HttpExchange
from papayadyke_standins.upstream import RunRecord, TaskState

CONNECT_TIMEOUT_S = 1.0
REPLY_MARGIN_S = 5.0
PAUSE_AFTER_FAULT_S = 0.02
CHECK_PERIOD_S = 0.2
HTTP_OK = 200


class _Answer(msgspec.Struct, frozen=True):
    request_id: str
    payload_sha256: str


class _Problem(msgspec.Struct, frozen=True):
    verdict: str
    reason: str
    request_id: str


@dataclass(frozen=True, slots=True)
class Target:
    """Where requests are sent."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Mix:
    """One kind of request of a load.

    Parameters
    ----------
    workload : str
    work_s : float, default=0.0
        Run time that the payload asks for.
    timeout_s : float, default=10.0
    clients : int, default=4
        Clients that each send one request after the other.
    """

    workload: str
    work_s: float = 0.0
    timeout_s: float = 10.0
    clients: int = 4


@dataclass(frozen=True, slots=True)
class Sent:
    """What became of one request in the eyes of its caller.

    Parameters
    ----------
    request_id, workload : str
    outcome : str
        "answered", "not_run", "may_have_run", "refused_connection", where the
        request certainly never left, or "cut", where the connection ended
        without an answer.
    reason : str
    latency_s : float
    at_s : float
        Monotonic time of the end.
    """

    request_id: str
    workload: str
    outcome: str
    reason: str
    latency_s: float
    at_s: float


@dataclass(slots=True)
class Ledger:
    """Everything that the clients of a load have seen."""

    sent: list[Sent] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    def count(self) -> Counter[str]:
        """Return the number of requests by outcome."""
        return Counter(item.outcome for item in self.sent)

    def list_unanswered(self) -> list[Sent]:
        """Return the requests that got no whole answer."""
        return [item for item in self.sent if item.outcome != "answered"]

    def find_lies(self, records: Mapping[str, Sequence[RunRecord]]) -> list[str]:
        """Return what callers were told that the upstreams' records deny.

        Parameters
        ----------
        records : mapping of str to sequence of RunRecord
            What every upstream of the cell has run.
        """
        runs: dict[str, list[RunRecord]] = {}
        for found in records.values():
            for record in found:
                runs.setdefault(record.request_id, []).append(record)
        lies = list(self.wrong)
        for item in self.sent:
            ran = runs.get(item.request_id, [])
            answered = [r for r in ran if r.state is TaskState.ANSWERED]
            if item.outcome in ("not_run", "refused_connection") and ran:
                lies.append(f"{item.request_id} was told {item.outcome} and ran")
            if item.outcome == "answered" and not answered:
                lies.append(f"{item.request_id} was answered and did not run")
        return lies + _find_overlaps(runs)

    def find_repeats(
        self, records: Mapping[str, Sequence[RunRecord]], workload: str
    ) -> list[str]:
        """Return the requests of a non-idempotent workload that ran twice."""
        runs = Counter(
            record.request_id for found in records.values() for record in found
        )
        return [
            item.request_id
            for item in self.sent
            if item.workload == workload and runs[item.request_id] > 1
        ]


class Load:
    """Clients that send requests to the daemons of a cell until stopped.

    As behind a balancer, a daemon that does not say that it is ready gets no
    new requests a short time later.

    Parameters
    ----------
    targets : sequence of Target
    mixes : sequence of Mix
    seed : int
        Chooses the target of each request.
    """

    def __init__(
        self, targets: Sequence[Target], mixes: Sequence[Mix], *, seed: int
    ) -> None:
        self.targets = list(targets)
        self.mixes = list(mixes)
        self.seed = seed
        self.ledger = Ledger()
        self._ready = list(targets)
        self._stopping = threading.Event()
        self._lock = threading.Lock()

    def __enter__(self) -> Load:
        self.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start every client."""
        self._threads = [threading.Thread(target=self._balance, daemon=True)]
        self._threads[0].start()
        numbers = itertools.count()
        for mix in self.mixes:
            for _ in range(mix.clients):
                client = next(numbers)
                thread = threading.Thread(
                    target=self._run, args=(mix, client), daemon=True
                )
                self._threads.append(thread)
                thread.start()

    def stop(self) -> None:
        """Let each client finish its request, and end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _balance(self) -> None:
        """Follow which daemons are ready, as a balancer's health checks do."""
        while not self._stopping.wait(CHECK_PERIOD_S):
            self._ready = [target for target in self.targets if _is_ready(target)]

    def _run(self, mix: Mix, client: int) -> None:
        rng = random.Random(f"{self.seed}/{client}")
        exchanges = {
            target: HttpExchange(
                target.host, target.port, kept=1, connect_timeout_s=CONNECT_TIMEOUT_S
            )
            for target in self.targets
        }
        for number in itertools.count():
            if self._stopping.is_set():
                return
            ready = self._ready
            if not ready:
                time.sleep(PAUSE_AFTER_FAULT_S)
                continue
            exchange = exchanges[rng.choice(ready)]
            request_id = f"s{self.seed}c{client}n{number}"
            item = self._send(exchange, mix, request_id)
            with self._lock:
                self.ledger.sent.append(item)
            if item.outcome != "answered":
                time.sleep(PAUSE_AFTER_FAULT_S)

    def _send(self, exchange: HttpExchange, mix: Mix, request_id: str) -> Sent:
        body = msgspec.json.encode(
            {"work_seconds": mix.work_s, "items": [{"name": request_id}]}
        )
        begun_s = time.monotonic()
        result = exchange.send(
            "POST",
            f"/v1/run/{mix.workload}",
            body=body,
            headers={
                "Request-Id": request_id,
                "Request-Timeout": f"{mix.timeout_s:g}",
                "Content-Type": "application/json",
            },
            timeout_s=mix.timeout_s + REPLY_MARGIN_S,
        )
        ended_s = time.monotonic()
        outcome, reason = "cut", ""
        if result.is_ok():
            reply = result.unwrap()
            outcome, reason = self._read(reply.status, reply.body, body, request_id)
        elif not result.unwrap_err().was_sent:
            outcome = "refused_connection"
        return Sent(
            request_id, mix.workload, outcome, reason, ended_s - begun_s, ended_s
        )

    def _read(
        self, status: int, body: bytes, sent: bytes, request_id: str
    ) -> tuple[str, str]:
        if status != HTTP_OK:
            problem = msgspec.json.decode(body, type=_Problem)
            return problem.verdict, problem.reason
        answer = msgspec.json.decode(body, type=_Answer)
        whole = hashlib.sha256(sent).hexdigest()
        if (answer.request_id, answer.payload_sha256) != (request_id, whole):
            self.ledger.wrong.append(f"{request_id} got an answer of another")
        return "answered", ""


def _is_ready(target: Target) -> bool:
    """Tell whether a daemon says in time that it is ready."""
    exchange = HttpExchange(
        target.host, target.port, kept=0, connect_timeout_s=CONNECT_TIMEOUT_S
    )
    result = exchange.send("GET", "/readyz", timeout_s=CONNECT_TIMEOUT_S)
    return result.is_ok() and result.unwrap().status == HTTP_OK


def _find_overlaps(runs: Mapping[str, Sequence[RunRecord]]) -> list[str]:
    """Return requests that ran in two places at once.

    Stand-ins on one machine share one monotonic clock.
    """
    overlaps = []
    for request_id, found in runs.items():
        ordered = sorted(found, key=lambda record: record.started_s)
        for one, two in itertools.pairwise(ordered):
            if two.started_s < one.ended_s:
                overlaps.append(f"{request_id} ran in two places at once")
    return overlaps
