"""Load of synchronous requests, with a check of every answer."""

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
ANSWER_MARGIN_S = 5.0
PAUSE_AFTER_FAILURE_S = 0.02
READINESS_CHECK_PERIOD_S = 0.2
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
    """Address to which requests are sent."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Mix:
    """Kind of request in a load.

    Parameters
    ----------
    workload : str
    work_s : float, default=0.0
        Run time in seconds that the payload specifies.
    timeout_s : float, default=10.0
        Timeout of each request, in seconds.
    clients : int, default=4
        Number of clients, each of which sends its requests sequentially.
    """

    workload: str
    work_s: float = 0.0
    timeout_s: float = 10.0
    clients: int = 4


@dataclass(frozen=True, slots=True)
class Sent:
    """Outcome of one request as observed by its caller.

    Parameters
    ----------
    request_id, workload : str
    outcome : str
        "answered", "not_run", "may_have_run", "refused_connection" if the request
        was certainly not sent, or "cut" if the connection ended without an answer.
    reason : str
        Reason given with a refusal or failure, else empty.
    latency_s : float
    at_s : float
        Monotonic time at which the request ended.
    """

    request_id: str
    workload: str
    outcome: str
    reason: str
    latency_s: float
    at_s: float


@dataclass(slots=True)
class Ledger:
    """Outcomes observed by the clients of a load."""

    sent: list[Sent] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    def count(self) -> Counter[str]:
        """Return the number of requests by outcome."""
        return Counter(request.outcome for request in self.sent)

    def list_unanswered(self) -> list[Sent]:
        """Return the requests without a complete answer."""
        return [request for request in self.sent if request.outcome != "answered"]

    def find_lies(self, records: Mapping[str, Sequence[RunRecord]]) -> list[str]:
        """Return the answers to callers that contradict the upstreams' records.

        Parameters
        ----------
        records : mapping of str to sequence of RunRecord
            Run records of every upstream of the cell.
        """
        runs: dict[str, list[RunRecord]] = {}
        for upstream_records in records.values():
            for record in upstream_records:
                runs.setdefault(record.request_id, []).append(record)
        mismatches = list(self.wrong)
        for request in self.sent:
            request_runs = runs.get(request.request_id, [])
            answered = [r for r in request_runs if r.state is TaskState.ANSWERED]
            if request.outcome in ("not_run", "refused_connection") and request_runs:
                mismatches.append(f"{request.request_id} got {request.outcome} but ran")
            if request.outcome == "answered" and not answered:
                mismatches.append(f"{request.request_id} was answered but did not run")
        return mismatches + _find_overlaps(runs)

    def find_repeats(
        self, records: Mapping[str, Sequence[RunRecord]], workload: str
    ) -> list[str]:
        """Return the requests of a non-idempotent workload that ran more than once."""
        runs = Counter(
            record.request_id
            for upstream_records in records.values()
            for record in upstream_records
        )
        return [
            request.request_id
            for request in self.sent
            if request.workload == workload and runs[request.request_id] > 1
        ]


class Load:
    """Clients that send requests to the daemons of a cell until stopped.

    As behind a load balancer, a daemon that fails its readiness check gets no new
    requests after the next check.

    Parameters
    ----------
    targets : sequence of Target
    mixes : sequence of Mix
    seed : int
        Seed of the choice of a target for each request.
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
        self._threads = [threading.Thread(target=self._run_health_checks, daemon=True)]
        self._threads[0].start()
        numbers = itertools.count()
        for mix in self.mixes:
            for _ in range(mix.clients):
                client = next(numbers)
                thread = threading.Thread(
                    target=self._run_client, args=(mix, client), daemon=True
                )
                self._threads.append(thread)
                thread.start()

    def stop(self) -> None:
        """Stop the clients after their current requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run_health_checks(self) -> None:
        """Track the ready daemons, as the health checks of a load balancer do."""
        while not self._stopping.wait(READINESS_CHECK_PERIOD_S):
            self._ready = [target for target in self.targets if _is_ready(target)]

    def _run_client(self, mix: Mix, client: int) -> None:
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
                time.sleep(PAUSE_AFTER_FAILURE_S)
                continue
            exchange = exchanges[rng.choice(ready)]
            request_id = f"s{self.seed}c{client}n{number}"
            request = self._send(exchange, mix, request_id)
            with self._lock:
                self.ledger.sent.append(request)
            if request.outcome != "answered":
                time.sleep(PAUSE_AFTER_FAILURE_S)

    def _send(self, exchange: HttpExchange, mix: Mix, request_id: str) -> Sent:
        body = msgspec.json.encode(
            {"work_seconds": mix.work_s, "items": [{"name": request_id}]}
        )
        started_at_s = time.monotonic()
        result = exchange.send(
            "POST",
            f"/v1/run/{mix.workload}",
            body=body,
            headers={
                "Request-Id": request_id,
                "Request-Timeout": f"{mix.timeout_s:g}",
                "Content-Type": "application/json",
            },
            timeout_s=mix.timeout_s + ANSWER_MARGIN_S,
        )
        ended_s = time.monotonic()
        outcome, reason = "cut", ""
        if result.is_ok():
            reply = result.unwrap()
            outcome, reason = self._check_answer(
                reply.status, reply.body, body, request_id
            )
        elif not result.unwrap_err().was_sent:
            outcome = "refused_connection"
        return Sent(
            request_id, mix.workload, outcome, reason, ended_s - started_at_s, ended_s
        )

    def _check_answer(
        self, status: int, body: bytes, sent: bytes, request_id: str
    ) -> tuple[str, str]:
        if status != HTTP_OK:
            problem = msgspec.json.decode(body, type=_Problem)
            return problem.verdict, problem.reason
        answer = msgspec.json.decode(body, type=_Answer)
        expected_sha256 = hashlib.sha256(sent).hexdigest()
        if (answer.request_id, answer.payload_sha256) != (request_id, expected_sha256):
            self.ledger.wrong.append(f"{request_id} got the answer of another request")
        return "answered", ""


def _is_ready(target: Target) -> bool:
    """Return whether a daemon reports in time that it is ready."""
    exchange = HttpExchange(
        target.host, target.port, kept=0, connect_timeout_s=CONNECT_TIMEOUT_S
    )
    result = exchange.send("GET", "/readyz", timeout_s=CONNECT_TIMEOUT_S)
    return result.is_ok() and result.unwrap().status == HTTP_OK


def _find_overlaps(runs: Mapping[str, Sequence[RunRecord]]) -> list[str]:
    """Return the requests that ran on two upstreams at the same time.

    The run times are comparable because all stand-ins of a cell run on one machine
    and share its monotonic clock.
    """
    overlaps = []
    for request_id, request_runs in runs.items():
        ordered = sorted(request_runs, key=lambda record: record.started_s)
        for earlier, later in itertools.pairwise(ordered):
            if later.started_s < earlier.ended_s:
                overlaps.append(f"{request_id} ran on two upstreams at the same time")
    return overlaps
