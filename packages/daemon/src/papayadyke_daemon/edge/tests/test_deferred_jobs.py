"""A decider starts no job that it receives while its lease is not valid.

Its successor starts jobs of its own term without waiting for it.
"""

import time

import pytest

from papayadyke_core.dispatch import Catalog, QueuePolicy, StagedJobSpec, StepSpec
from papayadyke_daemon.edge import Write
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge.tests.deciders import SERVICE, make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore
from papayadyke_daemon.edge.tests.test_leadership import (
    TIMEOUT_S,
    LeadershipWithBlockedStart,
)

QUEUE = QueuePolicy("q", "host", "/q/", SERVICE)


class Lease:
    """Validity of a decider's lease, set by the test."""

    is_valid = True

    def __call__(self):
        return self.is_valid


@pytest.fixture
def lease():
    return Lease()


@pytest.fixture
def decider(lease):
    store = FakeStore()
    store.write([Write("upstreams/u", b"ready")])
    decider = make_decider(store, has_valid_lease=lease)
    assert decider.load(Catalog(1, {QUEUE.key: QUEUE}))
    return decider


def submit(decider, job_id):
    steps = (StepSpec(1, cpu_millis=1, estimate_s=1.0),)
    spec = StagedJobSpec(job_id, QUEUE.key, "p", steps, time.time())
    decider._submit(spec, decider.term.token + 1)


def test_job_that_arrives_without_a_lease_is_added_once_it_is_renewed(decider, lease):
    lease.is_valid = False
    submit(decider, "late")
    decider._step(read_clock())
    assert "late" not in decider._dispatcher.jobs
    lease.is_valid = True
    decider._step(read_clock())
    assert "late" in decider._dispatcher.jobs


def test_jobs_from_before_the_loss_go_on_without_a_lease(decider, lease):
    """Pattern: the store is away for all; what is stored must not wait for it."""
    submit(decider, "early")
    lease.is_valid = False
    decider._step(read_clock())
    assert "early" in decider._dispatcher.jobs


def test_cancelled_deferred_job_does_not_start(decider, lease):
    lease.is_valid = False
    submit(decider, "late")
    decider._cancel("late")
    lease.is_valid = True
    decider._step(read_clock())
    assert decider._dispatcher.jobs["late"].is_final


def test_term_does_not_begin_with_a_lapsed_lease(lease):
    decider = make_decider(FakeStore(), has_valid_lease=lease)
    lease.is_valid = False
    assert not decider.load(Catalog(1))


def test_lease_is_not_valid_after_it_has_lapsed():
    blocked = LeadershipWithBlockedStart()
    blocked.may_start.set()
    blocked.leadership.start()
    assert blocked.start_called.wait(TIMEOUT_S)
    assert blocked.leadership.has_valid_lease()
    blocked.leadership.stop()
    assert not blocked.leadership.has_valid_lease()
