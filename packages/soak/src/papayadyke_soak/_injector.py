"""Inject faults and end them."""

from __future__ import annotations

import heapq
import itertools
import logging
import random
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from papayadyke_adapter_standins import StoreFault, StoreServer, UpstreamFault
from papayadyke_daemon.edge import read_clock
from papayadyke_soak._faults import Fault, FaultKind
from papayadyke_soak._fleet import Fleet, Member
from papayadyke_soak._proxy import LinkMode
from papayadyke_soak._vms import VmProcess

LOG = logging.getLogger(__name__)

RESTART_S = 0.5  # seconds until a process that ended is started again
SLOW_LINK_S = 0.3  # seconds that a slow link holds each chunk
DRAIN_S = 3.0  # seconds that a draining upstream goes on
# Upstreams that are cut off shortly after or before a crash. Times are in seconds.
RECUT_SHARE = 0.5  # of the upstreams
LATE_SHARE = 0.3  # of their calls are delayed, from the beginning to the end of the cut
CRASH_AFTER_S = 1.0  # from the beginning to the crash
DOWN_S = 0.6  # from the crash to the return
CUT_WITHIN_S = 2.5  # longest time from the return to the cut
KILL_BEFORE_CUT_S = 0.6  # from the kill of the VM that decides to the cut
EXPIRE_AFTER_S = 4.5  # from the cut to the removal of an entry: three heartbeats

_STORE_FAULTS = {
    FaultKind.STORE_BUSY: StoreFault.BUSY,
    FaultKind.STORE_CLOSED: StoreFault.CLOSED,
    FaultKind.STORE_LOST: StoreFault.LOST,
    FaultKind.STORE_SLOW: StoreFault.SLOW,
}
_LINK_MODES = {
    FaultKind.STORE_LINK_SILENT: LinkMode.SILENT,
    FaultKind.STORE_LINK_NO_ANSWERS: LinkMode.NO_ANSWERS,
    FaultKind.STORE_LINK_SLOW: LinkMode.SLOW,
    FaultKind.UPSTREAM_LINK_SILENT: LinkMode.SILENT,
    FaultKind.UPSTREAM_LINK_NO_ANSWERS: LinkMode.NO_ANSWERS,
}


@dataclass(frozen=True, slots=True)
class Targets:
    """Targets of faults.

    Parameters
    ----------
    vms : sequence of VmProcess
    fleet : Fleet
    store : StoreServer
    find_decider : callable
        Returns the VM that decides, or None.
    change_catalog : callable
        Puts the next version in force.
    """

    vms: Sequence[VmProcess]
    fleet: Fleet
    store: StoreServer
    find_decider: Callable[[], VmProcess | None]
    change_catalog: Callable[[], None]


class Injector:
    """Thread that injects and ends faults at their times.

    Parameters
    ----------
    targets : Targets
    faults : sequence of Fault
    """

    def __init__(self, targets: Targets, faults: Sequence[Fault]) -> None:
        self.counts: Counter[str] = Counter()
        self._targets = targets
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._begun_s = read_clock()
        for fault in faults:
            self._at(fault.at_s, partial(self._begin, fault))
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="faults", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End all faults and start every VM that is down."""
        self._stopped.set()
        self._thread.join(timeout=30.0)
        self._targets.store.fault = StoreFault.NONE
        for vm in self._targets.vms:
            vm.heal()
            vm.resume()
            # A planned stop that is under way comes to its end first.
            if vm.stop_sent_s is not None:
                vm.wait(30.0)
            vm.start()
        self._targets.fleet.settle()

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._numbers), act))

    def _run(self) -> None:
        while not self._stopped.wait(0.02):
            now = read_clock() - self._begun_s
            while self._due and self._due[0][0] <= now and not self._stopped.is_set():
                _, _, act = heapq.heappop(self._due)
                act()
            for vm in self._targets.vms:
                if vm.is_wanted and not vm.is_running():
                    vm.is_wanted = False
                    self._at(now + RESTART_S, vm.start)

    def _begin(self, fault: Fault) -> None:
        self.counts[fault.kind] += 1
        LOG.info("fault %s target %d for %.2f s", fault.kind, fault.target, fault.for_s)
        end = self._carry_out(fault)
        if end is not None:
            self._at(read_clock() - self._begun_s + fault.for_s, end)

    def _carry_out(self, fault: Fault) -> Callable[[], None] | None:
        """Inject a fault; return a function that ends it."""
        kind = fault.kind
        vms, fleet, store = (
            self._targets.vms,
            self._targets.fleet,
            self._targets.store,
        )
        vm: VmProcess | None = vms[fault.target % len(vms)]
        if kind in (FaultKind.DECIDER_KILL, FaultKind.DECIDER_PAUSE):
            vm = self._targets.find_decider()
        if kind in _STORE_FAULTS:
            store.fault_share = fault.share if kind is FaultKind.STORE_LOST else 1.0
            store.fault = _STORE_FAULTS[kind]
            self._disturb_all()
            return self._end_store_fault
        if kind is FaultKind.STORE_COMPACT:
            store.forget_history()
        elif kind is FaultKind.CONFIG_CHANGE:
            self._targets.change_catalog()
        elif kind is FaultKind.ALL_KILL:
            for each in vms:
                each.kill()
        elif kind.startswith("upstream"):
            return self._hit_upstream(fault, fleet)
        elif vm is not None:
            return self._hit_vm(kind, vm)
        return None

    def _hit_vm(self, kind: FaultKind, vm: VmProcess) -> Callable[[], None] | None:
        if kind in (FaultKind.VM_KILL, FaultKind.DECIDER_KILL):
            vm.kill()
        elif kind in (FaultKind.VM_PAUSE, FaultKind.DECIDER_PAUSE):
            vm.pause()
            return vm.resume
        elif kind is FaultKind.VM_STOP:
            vm.terminate()
        elif kind is FaultKind.RELOAD:
            vm.reload()
        elif kind is FaultKind.CALLER_LINK_RESET:
            vm.disturb()
            vm.callers_link.reset()
        elif kind is FaultKind.STORE_LINK_RESET:
            vm.disturb()
            vm.store_link.reset()
        else:
            vm.disturb()
            vm.store_link.set_mode(_LINK_MODES[kind], delay_s=SLOW_LINK_S)
            return vm.heal
        return None

    def _hit_upstream(self, fault: Fault, fleet: Fleet) -> Callable[[], None] | None:
        member = fleet.members[fault.target % len(fleet.members)]
        kind = fault.kind
        if kind is FaultKind.UPSTREAM_CRASH:
            member.server.crash()
            fleet.relist(member)
        elif kind is FaultKind.UPSTREAM_DRAIN:
            fleet.drain(member)
            self._at(
                read_clock() - self._begun_s + DRAIN_S, lambda: fleet.replace(member)
            )
        elif kind is FaultKind.UPSTREAM_LATE:
            member.server.fault_share = fault.share
            member.server.fault = UpstreamFault.LATE
            return fleet.heal
        elif kind is FaultKind.UPSTREAM_FAILS:
            member.server.fault = UpstreamFault.FAILS
            return fleet.heal
        elif kind is FaultKind.UPSTREAM_SHRINK:
            cores = member.cores
            fleet.resize(member, max(1, int(cores * fault.share)))
            return partial(fleet.resize, member, cores)
        elif kind is FaultKind.UPSTREAM_LINK_RESET:
            member.link.reset()
        elif kind is FaultKind.UPSTREAM_RECUT:
            self._begin_recut(fault, fleet)
        else:
            member.link.set_mode(_LINK_MODES[kind])
            return fleet.heal
        return None

    def _begin_recut(self, fault: Fault, fleet: Fleet) -> None:
        """Schedule a crash under the old ids and a cut, beside delayed calls."""
        count = len(fleet.members)
        hit = [
            fleet.members[(fault.target + number) % count]
            for number in range(max(1, int(count * RECUT_SHARE)))
        ]
        choice = random.Random(fault.target)
        returns_behind_cut = choice.random() < 0.25
        now_s = read_clock() - self._begun_s
        crash_s = now_s + CRASH_AFTER_S
        cut_s = crash_s + DOWN_S + fault.share * CUT_WITHIN_S
        if returns_behind_cut:
            cut_s = crash_s - fault.share * CRASH_AFTER_S
        if choice.random() < 0.5:
            self._at(cut_s - KILL_BEFORE_CUT_S, self._kill_decider)
        if choice.random() < 0.5 and fault.for_s > EXPIRE_AFTER_S:
            self._at_each(cut_s + EXPIRE_AFTER_S, hit, fleet.expire)
        for member in hit:
            member.server.fault_share = LATE_SHARE
            member.server.fault = UpstreamFault.LATE
        self._at_each(crash_s, hit, lambda member: fleet.crash(member, DOWN_S))
        self._at_each(cut_s, hit, lambda member: member.server.cut())
        self._at_each(cut_s + fault.for_s, hit, fleet.reconnect)
        self._at(cut_s + fault.for_s, fleet.heal)

    def _at_each(
        self, at_s: float, members: Sequence[Member], act: Callable[[Member], None]
    ) -> None:
        for member in members:
            self._at(at_s, partial(act, member))

    def _kill_decider(self) -> None:
        vm = self._targets.find_decider()
        if vm is not None:
            self.counts[FaultKind.DECIDER_KILL] += 1
            vm.kill()

    def _end_store_fault(self) -> None:
        self._targets.store.fault = StoreFault.NONE
        self._disturb_all()

    def _disturb_all(self) -> None:
        for vm in self._targets.vms:
            vm.disturb()
