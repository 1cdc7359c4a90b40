"""Failures that the state machine found, each as a fixed sequence of steps."""

from typing import Any

from papayadyke_daemon.journal.tests.journal_world import World


def _serve(vm, seconds, *, place="u0"):
    """Let a VM do all it can for a while."""
    end = vm.world.now + seconds
    while vm.world.now < end:
        vm.pump(1)
        while vm.queued:
            vm.place(place)
        vm.pump(1)
        while vm.sending:
            vm.send()
        vm.world.advance(5.0)


def test_owner_that_did_not_notice_its_successor_starts_nothing_after_the_lapse():
    world = World()
    old, new = world.boot("vm0"), world.boot("vm1")
    assert old.take_over(0)
    old.submit(1, "tally", 1, False, "")
    old.pump(3)
    assert len(old.queued) == 1
    # One upstream can't be asked, so the successor has to wait for the lapse.
    world.upstreams.cut = {"u1"}
    assert new.take_over(0)
    _serve(new, 3000.0)
    assert new.running or world.upstreams.ended
    # The earlier owner has heard nothing of all this; the world asserts the rest.
    old.place("u0")
    old.jobs._mailbox.pump()
    assert old.sending == []


def test_owner_that_did_not_notice_its_successor_calls_no_job_unknown():
    world = World()
    old, new = world.boot("vm0"), world.boot("vm1")
    assert old.take_over(0)
    assert new.take_over(0)
    new.submit(1, "order", 1, False, "")
    new.pump(3)
    (job_id,) = world.told_jobs
    shown: list[Any] = []
    old.jobs._mailbox.post(lambda: old.jobs._get(job_id, 0.0, shown.append))
    old.pump(3)
    assert [result.unwrap_err().reason for result in shown] == ["key_home_unreachable"]
