"""Upstreams of the soak: capacity, drains, and crashes by tasks."""

import time

import msgspec
import pytest

from papayadyke_adapter.upstreams import UpstreamCalls, decode_entry
from papayadyke_adapter_standins import RunSeen, StoreServer, TaskBehavior
from papayadyke_core.dispatch import StartOrder, StartOutcome, TaskId
from papayadyke_daemon.edge import read_clock
from papayadyke_soak._fleet import Fleet
from papayadyke_soak._proxy import ProxyLoop

CORES = 16
TASK = TaskId("5c0e7a21d94b36f8", 0, 0, 0)


class Observer:
    """Counts crashes; every task crashes its upstream at once."""

    def __init__(self):
        self.crashed_tasks: list[TaskId] = []

    def started(self, run):
        pass

    def ended(self, run, end):
        pass

    def noted(self, upstream_id, run):
        pass

    def crashed(self, running: list[RunSeen], unnoted):
        self.crashed_tasks += [run.task for run in running]

    def behavior_of(self, payload):
        return TaskBehavior(1.0, crash_after_s=0.0)


@pytest.fixture
def store():
    return StoreServer(threads=4, seed=1)


@pytest.fixture
def observer():
    return Observer()


@pytest.fixture
def fleet(store, observer):
    loop = ProxyLoop()
    loop.start()
    fleet = Fleet(store, loop, cores=CORES, seed=1)
    fleet.start(2, observer)
    yield fleet
    fleet.stop()
    loop.stop()


def read_entry(store, member):
    name = member.server.upstream_id
    return decode_entry(name, store.read(f"servers/{name}")).unwrap()


def wait_until(condition):
    deadline_s = time.monotonic() + 60.0
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        time.sleep(0.01)


def wait_for_later_life(member, born):
    wait_until(lambda: member.server.incarnation > born)
    return member.server.incarnation


# A drain that had begun shortly before the end of the load never ended.
def test_all_upstreams_are_of_use_once_the_fleet_has_settled(fleet, store):
    drained, shrunk = fleet.members
    fleet.drain(drained)
    fleet.resize(shrunk, 2)
    fleet.settle()
    assert drained not in fleet.members
    entries = [read_entry(store, member) for member in fleet.members]
    assert [entry.is_draining for entry in entries] == [False, False]
    assert [entry.cpu_millis for entry in entries] == [CORES * 1000] * 2


def test_upstream_returns_under_its_id_behind_a_cut(fleet, store):
    """Its entry has expired meanwhile, and is back after the cut."""
    member = fleet.members[0]
    name = member.server.upstream_id
    born = member.server.incarnation
    member.server.cut()
    fleet.expire(member)
    assert store.read(f"servers/{name}") is None
    for _ in range(2):
        # Of the others, each second one returns under another id.
        fleet.crash(member, 0.1)
        born = wait_for_later_life(member, born)
        assert member.server.upstream_id == name
    assert store.read(f"servers/{name}") is None
    fleet.reconnect(member)
    assert read_entry(store, member).incarnation == born


def test_settled_fleet_is_not_cut_off(fleet, store):
    member = fleet.members[0]
    member.server.cut()
    fleet.expire(member)
    fleet.settle()
    assert not member.server.is_cut
    assert not read_entry(store, member).is_draining


def test_capacity_that_has_shrunk_counts_once_it_is_settled(fleet):
    member = fleet.members[0]
    name = member.server.upstream_id
    before_s = read_clock()
    fleet.resize(member, 5)
    fleet.resize(member, 2)
    assert fleet.read_capacity(name, settled_s=before_s) == CORES * 1000
    assert fleet.read_capacity(name, settled_s=read_clock() + 1.0) == 2000


def test_task_crashes_its_upstream_which_comes_back(fleet, store, observer):
    member = fleet.members[0]
    born = read_entry(store, member).incarnation
    calls = UpstreamCalls(read_entry(store, member))
    calls.poll(token=1, acknowledged_end=0, lease_until_s=None, wait_s=0.0)
    order = StartOrder(
        member.server.upstream_id, TASK, 1, "{}", ticket="t", incarnation=born
    )
    started = calls.start(order, token=1, lease_until_s=read_clock() + 5.0)
    assert started is StartOutcome.STARTED
    wait_until(lambda: observer.crashed_tasks == [TASK])
    poll = calls.poll(token=1, acknowledged_end=0, lease_until_s=None, wait_s=0.0)
    assert poll.is_err()

    def is_back():
        entry = read_entry(store, member)
        return entry is not None and entry.incarnation != born

    wait_until(is_back)
    assert (
        msgspec.json.decode(store.read(f"servers/{member.server.upstream_id}"))["state"]
        == "ready"
    )
