"""One run: real processes, load, faults, and the final checks."""

from __future__ import annotations

import itertools
import logging
import os
import random
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from papayadyke_adapter_standins import (
    AdvisoryServer,
    CallerClient,
    StoreServer,
    VmPlan,
    write_catalog,
)
from papayadyke_daemon.edge import read_clock, read_decider_vm
from papayadyke_soak._faults import ALL_KINDS, LENGTH_S, FaultKind, draw_faults
from papayadyke_soak._fleet import Fleet
from papayadyke_soak._injector import Injector, Targets
from papayadyke_soak._keys import TEAMS, KeyRing, find_team
from papayadyke_soak._ledger import Ledger
from papayadyke_soak._load import Caller, ask_state
from papayadyke_soak._promises import Promises, Violation
from papayadyke_soak._proxy import Proxy, ProxyLoop
from papayadyke_soak._vms import VmProcess, find_free_ports

QUEUE_HOST = "soak.example"
PREFIX = "/jobs/"
CORES = 16  # of an upstream
MAX_ATTEMPTS = 4
LONG_SHARE = 0.05  # of the jobs, whose tasks outlast their lease
CALLERS = 6
START_S = 30.0  # seconds in which the VMs come up
SETTLE_S = 60.0  # seconds in which all that was accepted must end after the faults
QUIET_S = 8.0  # seconds after which nothing of an ended job may run; over a lease
POLL_S = 0.25
# Seconds in which a change of an upstream's capacity has to be known, without faults:
# contact_ms and one heartbeat of the users' pages.
CAPACITY_KNOWN_S = 4.5
CHECKED_KEYS = 5  # withdrawn keys that each VM gets at the end
STORE_THREADS_A_VM = 8  # four watches, and short calls


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakSettings:
    """Size of a run.

    Parameters
    ----------
    seed : int
    minutes : float
        Of load and faults.
    processes : int
        VMs, each one process.
    upstreams : int
    kinds : tuple of FaultKind
        Kinds of faults; all by default.
    long_share : float
        Part of the jobs that have tasks which outlast their lease.
    """

    seed: int
    minutes: float = 1.0
    processes: int = 5
    upstreams: int = 6
    kinds: tuple[FaultKind, ...] = ALL_KINDS
    long_share: float = LONG_SHARE


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a run.

    Parameters
    ----------
    seed, jobs, accepted, refused : int
    faults, runs : dict of str to int
        Counts by kind, and by end.
    violations : list of Violation
    """

    seed: int
    jobs: int
    accepted: int
    refused: int
    faults: dict[str, int]
    runs: dict[str, int]
    violations: list[Violation]


def run_soak(cfg: SoakSettings, directory: Path) -> SoakReport:
    """Run processes under load and faults, and check the promises.

    Parameters
    ----------
    cfg : SoakSettings
    directory : Path
        Gets settings files and logs of the VMs, and the log of the upstreams.

    Raises
    ------
    TimeoutError
        If the VMs do not come up.
    """
    with _log_upstreams(directory):
        return _run(cfg, directory)


def _run(cfg: SoakSettings, directory: Path) -> SoakReport:
    store = StoreServer(threads=16 + STORE_THREADS_A_VM * cfg.processes, seed=cfg.seed)
    store_port = store.start()
    advisory = AdvisoryServer()
    advisory_port = advisory.start()
    loop = ProxyLoop()
    loop.start()
    versions = itertools.count(1)

    def put_catalog(team_keys: Mapping[str, Sequence[str]]) -> None:
        write_catalog(
            store,
            version=next(versions),
            host=QUEUE_HOST,
            prefix=PREFIX,
            max_attempts=MAX_ATTEMPTS,
            team_keys=team_keys,
        )

    keys = KeyRing(put_catalog, seed=cfg.seed)
    fleet = Fleet(store, loop, cores=CORES, seed=cfg.seed)
    ledger = Ledger()
    promises = Promises(
        ledger,
        read_capacity=lambda name: fleet.read_capacity(
            name, _find_settled_s(vms, fault_s=LENGTH_S[1])
        ),
        max_attempts=MAX_ATTEMPTS,
        list_running=fleet.list_running,
    )
    vms = [
        _make_vm(number, loop, store_port, advisory_port, directory)
        for number in range(cfg.processes)
    ]
    fleet.start(cfg.upstreams, promises)
    clients = [
        CallerClient(
            vm.plan.host, vm.callers_link.port, queue_host=QUEUE_HOST, prefix=PREFIX
        )
        for vm in vms
    ]
    try:
        for vm in vms:
            vm.start()
        _wait_until(lambda: _serves(clients, keys), START_S, "no VM serves")
        faults = draw_faults(random.Random(cfg.seed), cfg.minutes * 60, cfg.kinds)
        targets = Targets(
            vms, fleet, store, lambda: _find_decider(store, vms), keys.change
        )
        injector = Injector(targets, faults)
        callers = [
            Caller(
                number,
                seed=cfg.seed,
                vms=vms,
                clients=clients,
                ledger=ledger,
                promises=promises,
                keys=keys,
                queue=QUEUE_HOST + PREFIX,
                long_share=cfg.long_share,
            )
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        injector.start()
        keys.start()
        time.sleep(cfg.minutes * 60)
        keys.stop()
        injector.stop()
        for caller in callers:
            caller.stop()
        _settle(ledger, promises, clients, keys)
    finally:
        for vm in vms:
            vm.clean_up()
        fleet.stop()
        advisory.stop()
        store.stop()
        loop.stop()
    jobs = ledger.snapshot()
    return SoakReport(
        cfg.seed,
        len(jobs),
        sum(1 for job in jobs if job.accepted_s is not None),
        sum(1 for job in jobs if job.is_refused),
        dict(sorted(injector.counts.items())),
        dict(sorted(promises.counts.items())),
        promises.violations,
    )


@contextmanager
def _log_upstreams(directory: Path) -> Iterator[None]:
    """Log what the upstreams observe, with Unix times as in the logs of the VMs."""
    logger = logging.getLogger("papayadyke_adapter_standins")
    handler = logging.FileHandler(directory / "upstreams.log")
    handler.setFormatter(logging.Formatter("%(created).3f %(message)s"))
    logger.addHandler(handler)
    level, propagates = logger.level, logger.propagate
    logger.setLevel(logging.INFO)
    logger.propagate = False
    try:
        yield
    finally:
        logger.setLevel(level)
        logger.propagate = propagates
        logger.removeHandler(handler)
        handler.close()


def _make_vm(
    number: int, loop: ProxyLoop, store_port: int, advisory_port: int, directory: Path
) -> VmProcess:
    # A host of its own for each VM and run: several runs may go at a time.
    pid = os.getpid()
    host = f"127.{10 + pid // 250 % 200}.{1 + pid % 250}.{number + 1}"
    callers_port, readiness_port, peers_port = find_free_ports(host, 3)
    store_link = Proxy(loop, "127.0.0.1", store_port)
    plan = VmPlan(
        f"vm-{number}",
        host,
        callers_port,
        readiness_port,
        peers_port,
        store_link.address,
        f"127.0.0.1:{advisory_port}",
    )
    callers_link = Proxy(loop, host, callers_port)
    return VmProcess(
        plan, store_link=store_link, callers_link=callers_link, directory=directory
    )


def _find_settled_s(vms: list[VmProcess], *, fault_s: float) -> float:
    """Return the time before which every VM has read what was changed.

    Parameters
    ----------
    vms : list of VmProcess
    fault_s : float
        Longest time in seconds for which a fault keeps a VM from the store.
    """
    now = read_clock()
    disturbed_s = max(vm.disturbed_s for vm in vms)
    if now < disturbed_s + fault_s + CAPACITY_KNOWN_S:
        return 0.0
    return now - CAPACITY_KNOWN_S


def _find_decider(store: StoreServer, vms: list[VmProcess]) -> VmProcess | None:
    name = read_decider_vm(store.read)
    return next((vm for vm in vms if vm.plan.name == name), None)


def _serves(clients: list[CallerClient], keys: KeyRing) -> bool:
    key = keys.pick(TEAMS[0])
    return any(client.ask("0" * 16, key=key).is_unknown_job for client in clients)


def _settle(
    ledger: Ledger, promises: Promises, clients: list[CallerClient], keys: KeyRing
) -> None:
    """Wait until all accepted jobs have ended, then run the final checks."""
    turns = itertools.cycle(clients)
    until_s = read_clock() + SETTLE_S
    while read_clock() < until_s:
        waiting = [
            job
            for job in ledger.snapshot()
            if job.accepted_s is not None and not job.is_ended
        ]
        if not waiting:
            break
        for job in waiting:
            job_id = job.spec.job_id
            key = keys.pick(find_team(job_id))
            ask_state(promises, job, next(turns).ask(job_id, key=key))
        time.sleep(POLL_S)
    promises.check_finished()
    promises.check_refusals()
    time.sleep(QUIET_S)
    promises.check_quiet()
    for number, client in enumerate(clients):
        for row in keys.list_withdrawn()[-CHECKED_KEYS:]:
            reply = client.ask("0" * 16, key=row.key)
            promises.answered_withdrawn_key(f"vm-{number}, at the end", reply.status)


def _wait_until(holds: Callable[[], bool], timeout_s: float, what: str) -> None:
    until_s = read_clock() + timeout_s
    while not holds():
        if read_clock() > until_s:
            raise TimeoutError(what)
        time.sleep(POLL_S)
