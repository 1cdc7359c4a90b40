"""The decider, its agents and clients against stand-ins of upstreams, in virtual time.

`Decider`, `UpstreamAgent`, `UpstreamCalls` and the stand-ins are the real ones; the
client's connection calls the stand-in in the same thread. `Promises` judges what the
stand-ins observe.
"""

from __future__ import annotations

import logging
import threading
from collections import defaultdict
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec
from result import Err, Ok

from papayadyke_adapter import upstreams
from papayadyke_adapter.upstreams import UpstreamCalls, decode_entry
from papayadyke_adapter_standins import RunSeen, UpstreamServer
from papayadyke_clients.http import (
    CloseConnection,
    ExchangeError,
    HttpReply,
    HttpRequest,
)
from papayadyke_core.dispatch import Catalog, QueuePolicy, StagedJobSpec, StepSpec
from papayadyke_daemon.edge import Write, _agents, _committer, _decider, _roster
from papayadyke_daemon.edge._keys import (
    DECIDER_KEY,
    JOB_PREFIX,
    ROSTER_KEY,
    RosterRecord,
    encode_record,
)
from papayadyke_daemon.edge.tests.deciders import SERVICE, make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore
from papayadyke_daemon.edge.tests.history_world import InlineThread, VirtualEvent
from papayadyke_soak import JobRecord, Ledger, Promises
from papayadyke_soak._promises import Needs

START, STOP, POLL = "/api/run-start", "/api/run-stop", "/api/hold"
QUEUE = QueuePolicy("queue", "host", "/queue/", SERVICE, 0, 4, 2.0, 1.0)
WALL_ORIGIN_S = 1_700_000_000.0
STEP_S = 0.05  # seconds between two turns
AGE_S = 60.0  # seconds since the start of the first life of each upstream
CORES = 16
REGISTRY_PREFIX = "upstreams/"


class DirectExchange:
    """Connection of a client to a stand-in without a socket."""

    def __init__(self, world: LivesWorld, name: str) -> None:
        self._world = world
        self._name = name
        # Life that has answered on the open connection.
        self._answered_by: int | None = None

    def is_connected(self):
        return self._answered_by == self._world.servers[self._name].incarnation

    def send(
        self,
        method,
        path,
        *,
        body=b"",
        headers=None,
        timeout_s=0.0,
        reuses_connection=False,
    ):
        before = self._world.before_call.pop((self._name, path), None)
        if before is not None:
            before()
        fields = msgspec.json.decode(body)
        # A wait would take real time.
        fields.pop("wait_ms", None)
        names = {name.lower(): value for name, value in (headers or {}).items()}
        if reuses_connection and not self.is_connected():
            return Err(ExchangeError(False, "ConnectionClosed"))
        req = HttpRequest(method, path, "", names, msgspec.json.encode(fields))
        try:
            answer = self._world.servers[self._name].answer(req)
        except CloseConnection:
            self._answered_by = None
            return Err(ExchangeError(True, "closed without an answer"))
        self._answered_by = self._world.servers[self._name].incarnation
        after = self._world.after_call.pop((self._name, path), None)
        if after is not None:
            after()
        return Ok(HttpReply(answer.status, {}, answer.body))

    def drop_idle(self):
        self._answered_by = None


class LivesWorld:
    """One decider at a time, and upstreams that crash and are cut off.

    Attributes
    ----------
    delays : dict of (str, str) to list of float
        By upstream and path, the delays of the next calls in seconds.
    before_call, after_call : dict of (str, str) to callable
        By upstream and path, what happens just before the next call arrives, and just
        after the next answer was given.
    unpolled : set of str
        Upstreams whose polls are slow and do not arrive.
    cores : dict of str to int
        Cores that the entry of an upstream tells; `CORES` by default.
    """

    def __init__(self) -> None:
        self.begun_s = self.now = 1000.0
        self.servers: dict[str, UpstreamServer] = {}
        self.delays: dict[tuple[str, str], list[float]] = defaultdict(list)
        self.before_call: dict[tuple[str, str], Callable[[], object]] = {}
        self.after_call: dict[tuple[str, str], Callable[[], object]] = {}
        self.unpolled: set[str] = set()
        self.cores: dict[str, int] = {}
        self.starts: list[tuple[str, float]] = []
        self.events: list[str] = []
        self.ledger = Ledger()
        self.promises = Promises(
            self.ledger,
            read_capacity=lambda name: CORES * 1000,
            max_attempts=QUEUE.max_attempts,
            list_running=self.list_running,
        )
        self.store = FakeStore()
        self._lock = threading.RLock()
        self._terms = 0
        self._patches = self._patch()
        for patch in self._patches:
            patch.start()

    def close(self) -> None:
        """Restore what the world has replaced."""
        for patch in self._patches:
            patch.stop()
        logging.disable(logging.NOTSET)

    # Upstreams

    def add_upstream(self, name: str) -> UpstreamServer:
        """Start and register an upstream whose clock shows `AGE_S`."""
        at_s, self.now = self.now, self.now - AGE_S
        server = UpstreamServer(
            name,
            observer=self,
            lock=self._lock,
            fleet=self.servers,
            on_return=lambda server: self.list_upstream(name),
            choose_delay_s=lambda path: self._take_delay_s(name, path),
            needs_tickets=False,
            clock=self.read_clock,
            wall_clock=self.read_wall,
        )
        self.now = at_s
        self.servers[name] = server
        self.list_upstream(name)
        return server

    def list_upstream(self, name: str) -> None:
        """Write the entry of an upstream as it tells it in its present life."""
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{1 + list(self.servers).index(name)}",
            "zone": "zone",
            "state": "ready",
            "capacity": {
                "cpu": self.cores.get(name, CORES) * 1000,
                "mem_mb": 100_000,
                "gpu": 0,
            },
            "labels": ["a", "rack"],
            "born": self.servers[name].incarnation,
        }
        self.store.write([Write(REGISTRY_PREFIX + name, msgspec.json.encode(entry))])

    def restart(self, name: str) -> None:
        """Crash an upstream, which is back at once under its id."""
        self.servers[name].crash()
        self.list_upstream(name)

    def list_running(self) -> list[RunSeen]:
        """Return what runs on all upstreams that are up."""
        return [run for s in self.servers.values() for run in s.list_running()]

    # Events of upstreams, passed on to the promises

    def started(self, run):
        self.starts.append((run.upstream_id, self.now))
        late = " late" if run.is_late else ""
        self._record(f"{run.upstream_id} starts attempt {run.attempt}{late}")
        self.promises.started(run)

    def ended(self, run, end):
        self._record(f"{run.upstream_id} ends attempt {run.attempt} {end}")
        self.promises.ended(run, end)

    def noted(self, upstream_id, run):
        self._record(f"{upstream_id} forgets end {run.number}")
        self.promises.noted(upstream_id, run)

    def crashed(self, running, unnoted):
        self._record(f"crash with {len(running)} runs")
        self.promises.crashed(running, unnoted)

    def behavior_of(self, payload):
        return self.promises.behavior_of(payload)

    # Deciders and jobs

    def take_over(self) -> None:
        """Begin the term of another decider; the present one has been killed."""
        rows = {
            name: (f"127.0.0.1:{1 + number}", SERVICE)
            for number, name in enumerate(self.servers)
        }
        roster = RosterRecord(self._terms, rows)
        self.store.write(
            [Write(DECIDER_KEY, b"{}"), Write(ROSTER_KEY, encode_record(roster))]
        )
        self._terms += 1
        self.decider = make_decider(
            self.store,
            roster=roster,
            connect=UpstreamCalls,
            decode=decode_entry,
        )
        assert self.decider.load(Catalog(1, {QUEUE.key: QUEUE}))

    def submit(self, job_id: str, run_s: float, count: int = 1) -> None:
        """Store an accepted job of tasks that each need a core."""
        payload = msgspec.json.encode(Needs(run_s, 1000)).decode()
        steps = (StepSpec(count, cpu_millis=1000, memory_mb=100, estimate_s=run_s),)
        spec = StagedJobSpec(job_id, QUEUE.key, payload, steps, self.read_wall())
        self.ledger.add(JobRecord(spec, True, tries=1))
        self.store.write([Write(JOB_PREFIX + job_id, encode_record(spec))])

    def read_state(self, job_id: str):
        """Return the state that the decider shows."""
        status = self.decider.get_status(job_id)
        return None if status is None else status.state

    # Time

    def read_clock(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return WALL_ORIGIN_S + self.now

    def run(self, seconds: float) -> None:
        """Let time pass; the decider and its agents have a turn in each step."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for server in self.servers.values():
                server.advance()
            self._take_turn()

    def run_until(self, holds: Callable[[], bool], most_s: float = 30.0) -> None:
        """Let time pass until a condition holds."""
        until_s = self.now + most_s
        while not holds():
            assert self.now < until_s, "the condition did not hold in time"
            self.run(STEP_S)

    def _record(self, event: str) -> None:
        self.events.append(f"{self.now - self.begun_s:.2f} s: {event}")

    def _take_turn(self) -> None:
        decider = self.decider
        for watch in decider._watches:
            watch.call_once()
        decider._mailbox.pump()
        for name, agent in list(decider._agents.items()):
            while agent.has_orders():
                agent.send_next()
            decider._mailbox.pump()
            if name not in self.unpolled:
                agent.poll_once()
            decider._mailbox.pump()
        while decider._committer.has_commit():
            decider._committer.write_next()
        decider._mailbox.pump()

    def _take_delay_s(self, name: str, path: str) -> float | None:
        delays = self.delays[name, path]
        return delays.pop(0) if delays else None

    def _connect(
        self, address: str, *, kept: int, resets_on_close: bool
    ) -> DirectExchange:
        number = int(address.rpartition(":")[2])
        return DirectExchange(self, list(self.servers)[number - 1])

    def _patch(self):
        threads: Any = SimpleNamespace(
            Thread=InlineThread, Event=VirtualEvent, Lock=threading.Lock
        )
        wall: Any = SimpleNamespace(time=self.read_wall, sleep=lambda seconds: None)
        patches: list[Any] = [
            mock.patch.object(module, "read_clock", self.read_clock)
            for module in (_agents, _committer, _decider, _roster, upstreams)
        ]
        patches += [
            mock.patch.object(module, "threading", new=threads)
            for module in (_agents, _decider, _roster)
        ]
        patches += [
            mock.patch.object(_decider, "time", new=wall),
            mock.patch.object(upstreams, "connect", self._connect),
        ]
        return patches
