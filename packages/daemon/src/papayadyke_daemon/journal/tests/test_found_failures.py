"""Regression tests for failures that the state machine test found."""

from typing import Any

from papayadyke_daemon.journal.tests.journal_simulation import Simulation


def _serve(vm, seconds, *, upstream="u0"):
    """Let a VM place, start and follow all its tasks for a while."""
    end_s = vm.simulation.now + seconds
    while vm.simulation.now < end_s:
        vm.pump(1)
        while vm.queued:
            vm.place(upstream)
        vm.pump(1)
        while vm.authorized:
            vm.send()
        vm.simulation.advance(5.0)


def test_stale_owner_starts_no_task_after_its_successor_expired_the_attempt():
    simulation = Simulation()
    old, new = simulation.start_vm("vm0"), simulation.start_vm("vm1")
    assert old.take_over(0)
    old.submit(1, "tally", 1, False, "")
    old.pump(3)
    assert len(old.queued) == 1
    # One upstream is unreachable, so the successor has to wait until the attempt
    # of the earlier owner can no longer start.
    simulation.upstreams.unreachable = {"u1"}
    assert new.take_over(0)
    _serve(new, 3000.0)
    assert new.running or simulation.upstreams.ended
    # The earlier owner has not noticed the takeover; the simulation asserts that no
    # task runs twice.
    old.place("u0")
    old.jobs._mailbox.pump()
    assert old.authorized == []


def test_stale_owner_does_not_report_a_job_of_its_successor_as_unknown():
    simulation = Simulation()
    old, new = simulation.start_vm("vm0"), simulation.start_vm("vm1")
    assert old.take_over(0)
    assert new.take_over(0)
    new.submit(1, "order", 1, False, "")
    new.pump(3)
    (job_id,) = simulation.acknowledged_jobs
    shown: list[Any] = []
    old.jobs._mailbox.post(lambda: old.jobs._get(job_id, 0.0, shown.append))
    old.pump(3)
    assert [result.unwrap_err().reason for result in shown] == ["key_home_unreachable"]
