"""VMs whose store and links fail, in virtual time; upstreams are left out.

Contact, leadership, intake and heartbeats of each VM are the real ones, on their own
threads.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok

from papayadyke_core.dispatch import Catalog, JobState, StagedJobSpec, StepSpec
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge import (
    EdgeDaemon,
    IntakeOutcome,
    StoreError,
    StoreErrorKind,
    _contact,
    _daemon,
    _intake,
    _job_store,
    _leadership,
    _relays,
)
from papayadyke_daemon.edge._catalog_state import CatalogSource
from papayadyke_daemon.edge._job_owner import JobStatus
from papayadyke_daemon.edge._peers import SERVING_THREADS
from papayadyke_daemon.edge.tests.deciders import make_settings
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports
from papayadyke_daemon.edge.tests.virtual_store import VirtualStore
from papayadyke_daemon.edge.tests.virtual_time import VirtualSemaphore, VirtualTime
from papayadyke_daemon.peers._messages import CallError

LATENCY_S = 0.003  # of a call to the store or to a VM
SLOW_LATENCY_S = 0.25
DEFAULT_TIMEOUT_S = 0.8  # of a call to the store
SAMPLE_S = 0.01
SUBMIT_INTERVAL_S = 0.02
MODULES = (_contact, _daemon, _intake, _job_store, _leadership, _relays)


@dataclass
class Answer:
    """Outcome of a submission, with the times of arrival and answer."""

    vm: str
    arrived_s: float
    answered_s: float
    outcome: IntakeOutcome


class StoreLink:
    """The store as one VM reaches it; `mode` is ok, silent, busy or slow."""

    def __init__(self, world):
        self.mode = "ok"
        self.writes_mode = ""  # mode of writes only, if it differs
        self._world = world

    def read(self, key, *, timeout_s=None):
        return self._call(lambda: self._world.store.read(key), timeout_s)

    def read_prefix(self, prefix, *, after=""):
        return self._call(lambda: self._world.store.read_prefix(prefix, after))

    def watch(self, prefix, *, after, wait_s):
        store, time = self._world.store, self._world.time
        if self.mode == "busy":
            return self._call(lambda: None)
        # A busy store goes on with the watches that it has.
        time.wait(wait_s, lambda: bool(store.watch(prefix, after).ok_value.records))
        return self._call(lambda: store.watch(prefix, after))

    def write(self, writes, *, expected=(), removed=(), timeout_s=None):
        return self._call(
            lambda: self._world.store.write(writes, list(expected), list(removed)),
            timeout_s,
            mode=self.writes_mode,
        )

    def grant_lease(self, ttl_s):
        return self._call(lambda: self._world.store.grant_lease(ttl_s))

    def renew_lease(self, lease, *, timeout_s=None):
        return self._call(lambda: self._world.store.renew_lease(lease), timeout_s)

    def end_lease(self, lease):
        return self._call(lambda: self._world.store.end_lease(lease))

    def _call(self, call, timeout_s=None, *, mode=""):
        mode, time = mode or self.mode, self._world.time
        if mode == "silent":
            time.sleep(timeout_s or DEFAULT_TIMEOUT_S)
            return Err(StoreError(StoreErrorKind.UNKNOWN))
        latency_s = self._world.slow_latency_s if mode == "slow" else LATENCY_S
        if timeout_s is not None and latency_s > timeout_s:
            time.sleep(timeout_s)
            call()
            return Err(StoreError(StoreErrorKind.UNKNOWN))
        time.sleep(latency_s)
        if mode == "busy":
            return Err(StoreError(StoreErrorKind.NOT_DONE))
        return call()


class StubDecider:
    """Decider that knows one running and one ended job."""

    def __init__(self, world, term):
        self.term = term
        self.states = {"running": JobState.ACTIVE, "ended": JobState.COMPLETE}
        self._world = world

    def record_heartbeat(self, address, *, job_bytes=None):
        pass

    def find_job_room(self):
        return None

    def list_vms(self):
        return [f"{name}:0" for name in self._world.vms]

    def get_status(self, job_id):
        state = self.states.get(job_id)
        return None if state is None else JobStatus(state, "")

    def stop(self):
        pass


class Vm(EdgeDaemon):
    """VM whose decider is a stub, and whose calls go through the world."""

    def __init__(self, world, name):
        self.world: Any = world
        self.link = StoreLink(world)
        self.threads = VirtualSemaphore(world.time, SERVING_THREADS)
        ports = replace(make_ports(FakeStore()), store=self.link)
        cfg = make_settings(vm=name, host=name, strength=2.0)
        super().__init__(cfg, ports, lambda *_: None)  # type: ignore[arg-type]
        self._clients = self.intake._clients = Calls(world, self)  # type: ignore
        self._catalog_state.adopt(Catalog(1), 0.0, source=CatalogSource.STORE)
        self._contact.start()
        self._leadership.start()
        world.time.spawn(self._heartbeat_loop)

    def is_ready(self):
        return self._answer_readiness(None).status == 200  # type: ignore[arg-type]

    def acts(self):
        return self._decider is not None and self._leadership.may_issue_orders()

    def _start_decider(self, term):
        self._decider = StubDecider(self.world, term)  # type: ignore[assignment]
        return True


class Calls:
    """Calls of one VM to the others."""

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm

    def call(self, address, message, *, timeout_s=0.4):
        time = self._world.time
        target = self._world.vms[address.partition(":")[0]]
        replies: list[Any] = []
        if not self._world.is_cut(self._vm, target):
            time.spawn(self._answer, target, message, replies)
        if time.wait(timeout_s, lambda: bool(replies)):
            return Ok(replies[0])
        return Err(CallError(Verdict.MAY_HAVE_RUN, "no reply in time"))

    def _answer(self, target, message, replies):
        self._world.time.sleep(LATENCY_S)
        if not target.threads.acquire(timeout=5.0):
            return
        reply = target._answer_peer(message)
        target.threads.release()
        if not self._world.is_cut(self._vm, target):
            replies.append(reply)


class OutageWorld:
    """VMs of two zones with one store.

    Parameters
    ----------
    vms : int
        VMs with an even number are in zone 0, the others in zone 1.
    """

    def __init__(self, vms=6):
        logging.disable(logging.CRITICAL)
        self.time = VirtualTime()
        self.patches = self.time.patch(*MODULES)
        self.store = VirtualStore(lambda *_: None, now=self.time.now)
        self.slow_latency_s = SLOW_LATENCY_S
        self.is_zone_cut = False
        self.answers: list[Answer] = []
        self.acting: list[tuple[float, list[str]]] = []
        self.vms: dict[str, Vm] = {}
        for number in range(vms):
            self.vms[f"vm{number}"] = Vm(self, f"vm{number}")
        self.time.spawn(self._sample)
        self.run(3.0)

    def close(self):
        self.patches.close()
        logging.disable(logging.NOTSET)

    def run(self, seconds):
        self.time.run_until(self.time.now + seconds)

    @property
    def decider(self):
        return next(vm for vm in self.vms.values() if vm._decider is not None)

    def zone(self, number):
        return [vm for name, vm in self.vms.items() if int(name[2:]) % 2 == number]

    def is_cut(self, one, other):
        zone = self.zone(1)
        return self.is_zone_cut and (one in zone) != (other in zone)

    def cut_zone(self, is_cut=True):
        """Cut the zone 1 off from the store and the other zone, or heal it."""
        self.is_zone_cut = is_cut
        for vm in self.zone(1):
            vm.link.mode = "silent" if is_cut else "ok"

    def set_mode(self, mode, vms=None):
        for vm in self.vms.values() if vms is None else vms:
            vm.link.mode = mode

    def start_callers(self):
        """Submit jobs at all VMs in turn until the end."""
        self.time.spawn(self._submit_jobs)

    def do(self, call: Callable[[], Any], seconds=2.0):
        """Make a call on a thread; return its result and how long it took."""
        done: list[Any] = []
        began_s = self.time.now
        self.time.spawn(lambda: done.append((call(), self.time.now - began_s)))
        self.run(seconds)
        return done[0]

    def list_answers(self, outcome, *, since_s=0.0):
        return [
            answer
            for answer in self.answers
            if answer.outcome is outcome and answer.answered_s >= since_s
        ]

    def longest_pause_s(self, since_s):
        """Return the longest time in which no VM could issue orders."""
        longest_s, last_s = 0.0, since_s
        for at_s, names in self.acting:
            if at_s >= since_s and names:
                longest_s = max(longest_s, at_s - last_s)
                last_s = at_s
        return max(longest_s, self.time.now - last_s)

    def _submit_jobs(self):
        number = 0
        while True:
            vm = list(self.vms.values())[number % len(self.vms)]
            self.time.spawn(self._submit, vm, f"{number:016x}")
            number += 1
            self.time.sleep(SUBMIT_INTERVAL_S)

    def _submit(self, vm, job_id):
        arrived_s = self.time.now
        outcome = vm.intake.accept(StagedJobSpec(job_id, "q", "", (StepSpec(1),)))
        self.answers.append(Answer(vm.cfg.vm, arrived_s, self.time.now, outcome))

    def _sample(self):
        while True:
            self.store.advance(self.time.now)
            names = [name for name, vm in self.vms.items() if vm.acts()]
            assert len(names) < 2, f"{names} act at once"
            self.acting.append((self.time.now, names))
            self.time.sleep(SAMPLE_S)
