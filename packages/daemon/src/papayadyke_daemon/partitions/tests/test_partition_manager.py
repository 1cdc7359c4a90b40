import queue
from typing import Any, cast

import pytest
from result import Ok

from papayadyke_core.journal import AppendResult, KeyReleased
from papayadyke_daemon.journal import JournalSettings, JournalWriter
from papayadyke_daemon.partitions import PartitionManager, PartitionManagerSettings
from papayadyke_standins.store import Faults, MemoryStore, StoreService

REPLY_TIMEOUT_S = 60.0
SETTINGS = PartitionManagerSettings(settle_s=2.0, backoff_s=5.0, max_backoff_s=12.0)


class Vm:
    """A manager and its journal over a shared store, with a clock set by hand."""

    def __init__(self, service, name):
        self.now_s = 0.0
        self.assigned: frozenset[int] = frozenset()
        self.adopted: list[int] = []
        self.dropped: list[int] = []
        self.journal = JournalWriter(
            MemoryStore(service, client=name),
            JournalSettings(vm=name, incarnation="1"),
        )
        self.manager = PartitionManager(
            self.journal,
            plan=lambda: self.assigned,
            on_adopt=lambda replay: self.adopted.append(replay.partition),
            on_drop=self.dropped.append,
            settings=SETTINGS,
            clock=lambda: self.now_s,
        )
        self.journal.start()

    def step(self, now_s):
        self.now_s = now_s
        self.manager.step(now_s)

    def own(self, *partitions):
        """Assign partitions, and advance past the settle time."""
        self.assigned = frozenset(partitions)
        self.step(self.now_s)
        self.step(self.now_s + SETTINGS.settle_s)

    def journal_owns(self):
        return set(self.journal.owned())


@pytest.fixture
def service():
    return StoreService()


@pytest.fixture
def make_vm(service):
    vms = []

    def make(name="vm-0"):
        vms.append(Vm(service, name))
        return vms[-1]

    yield make
    for vm in vms:
        vm.journal.stop()


def test_partition_is_taken_over_only_after_the_settle_time(make_vm):
    vm = make_vm()
    vm.assigned = frozenset({3})
    vm.step(10.0)
    vm.step(11.9)
    assert vm.journal_owns() == set()
    vm.step(12.0)
    assert vm.journal_owns() == {3}
    assert vm.adopted == [3]


def test_settle_time_restarts_when_the_plan_changes(make_vm):
    vm = make_vm()
    for now_s, assigned in [(10.0, {3}), (11.0, set()), (11.5, {3}), (13.0, {3})]:
        vm.assigned = frozenset(assigned)
        vm.step(now_s)
    assert vm.journal_owns() == set()
    vm.step(13.5)
    assert vm.journal_owns() == {3}


def test_partition_outside_the_plan_is_never_taken_over(make_vm):
    vm = make_vm()
    vm.own(3, 5)
    for now_s in range(10, 60):
        vm.step(float(now_s))
    assert vm.journal_owns() == {3, 5}


def test_partition_that_leaves_the_plan_is_dropped_and_released(make_vm):
    vm = make_vm()
    vm.own(3, 5)
    vm.assigned = frozenset({5})
    vm.step(20.0)
    assert vm.dropped == [3]
    assert vm.journal_owns() == {5}
    assert vm.manager.list_owned() == {5}


def test_stop_releases_everything(make_vm):
    vm = make_vm()
    vm.own(3, 5)
    vm.manager.start()
    vm.manager.stop()
    assert vm.dropped == [3, 5]
    assert vm.journal_owns() == set()


def test_successor_takes_over_a_released_partition(make_vm):
    first, second = make_vm("vm-0"), make_vm("vm-1")
    first.own(3)
    first.assigned = frozenset()
    first.step(20.0)
    second.own(3)
    assert second.journal_owns() == {3}


def fence(vm, other):
    """Let another VM take over partition 3 and the owner notice it."""
    other.journal.release(3)
    other.journal.take_over(3).unwrap()
    settled: queue.SimpleQueue[AppendResult] = queue.SimpleQueue()
    vm.journal.append(3, [KeyReleased("k", "r")], lambda *args: settled.put(args[0]))
    assert settled.get(timeout=REPLY_TIMEOUT_S) is AppendResult.FENCED


def test_fenced_owner_no_longer_owns_the_partition(make_vm):
    vm, other = make_vm("vm-0"), make_vm("vm-1")
    vm.own(3)
    fence(vm, other)
    assert vm.manager.list_owned() == frozenset()
    assert vm.journal_owns() == set()
    assert other.journal_owns() == {3}


def test_backoff_doubles_to_its_limit_after_being_fenced(make_vm):
    vm, other = make_vm("vm-0"), make_vm("vm-1")
    vm.own(3)
    fence(vm, other)
    retries = []
    for now_s in range(3, 50):
        vm.step(float(now_s))
        if vm.journal_owns():
            retries.append(now_s)
            fence(vm, other)
    # First fenced at 2 s; the backoff is 5 s, then 10 s, then its limit of 12 s.
    assert retries == [7, 17, 29, 41]


def test_failed_takeover_is_retried_after_the_backoff(make_vm, service):
    vm = make_vm()
    service.set_faults(Faults(down=True))
    vm.own(3)
    assert vm.manager.list_owned() == frozenset()
    service.set_faults(Faults())
    vm.step(6.0)
    assert vm.adopted == []
    vm.step(7.0)
    assert vm.adopted == [3]


class FencingJournal:
    """A journal that reports a partition as fenced during its takeover."""

    def add_fenced_listener(self, listener):
        self.listener = listener

    def take_over(self, partition):
        self.listener(partition)
        return Ok(partition)


def test_partition_fenced_during_its_takeover_is_not_owned():
    adopted: list[Any] = []
    manager = PartitionManager(
        cast(JournalWriter, FencingJournal()),
        plan=lambda: frozenset({3}),
        on_adopt=adopted.append,
        on_drop=lambda partition: None,
        settings=PartitionManagerSettings(settle_s=0.0),
        clock=lambda: 0.0,
    )
    manager.step(0.0)
    assert manager.list_owned() == frozenset()
    assert adopted == []
