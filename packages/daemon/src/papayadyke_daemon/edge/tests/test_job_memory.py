"""Test the bound of the memory that accepted jobs take on the deciding VM."""

from dataclasses import replace

from papayadyke_core.dispatch import (
    Repeat,
    StagedJobSpec,
    StepSpec,
    estimate_job_bytes,
)
from papayadyke_daemon.edge._decider import Decider
from papayadyke_daemon.edge._job_memory import JobMemory
from papayadyke_daemon.edge.tests.deciders import make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore

SPEC = StagedJobSpec("j", "h/q/", "text", (StepSpec(1),))


def find_room(decider: Decider) -> int:
    room = decider.find_job_room()
    assert room is not None
    return room.all_jobs


def test_room_is_that_of_the_smallest_vm():
    """Any VM may become the decider and must hold all accepted jobs."""
    decider = make_decider(FakeStore())
    assert decider.find_job_room() is None
    decider.record_heartbeat("a", job_bytes=1_000_000)
    decider.record_heartbeat("b", job_bytes=400_000)
    decider.record_heartbeat("c")
    assert find_room(decider) == 400_000
    decider._submit(SPEC, 1)
    assert find_room(decider) == 400_000 - estimate_job_bytes(SPEC)
    decider.record_heartbeat("b")
    assert find_room(decider) == 1_000_000 - estimate_job_bytes(SPEC)


def test_own_decider_tells_the_room_at_once():
    decider = make_decider(FakeStore())
    decider.record_heartbeat("a", job_bytes=estimate_job_bytes(SPEC))
    memory = JobMemory(lambda: decider)
    assert memory.has_room(SPEC)
    decider._submit(SPEC, 1)
    assert not memory.has_room(replace(SPEC, job_id="k"))


def test_repeated_job_needs_the_room_of_one_occurrence():
    """Occurrences that are not due take no memory, and must not be refused for it."""
    repeated = replace(SPEC, repeat=Repeat(50_000, 1e9, 1.0))
    assert estimate_job_bytes(repeated) == estimate_job_bytes(SPEC)


def test_jobs_due_later_leave_memory_to_jobs_that_start_at_once():
    """Jobs for a year would otherwise have all others refused for a year."""
    decider = make_decider(FakeStore())
    repeated = replace(SPEC, repeat=Repeat(9, 1e12, 1.0))
    decider.record_heartbeat("a", job_bytes=4 * estimate_job_bytes(SPEC))
    memory = JobMemory(lambda: decider)
    for number in range(2):
        assert memory.has_room(repeated)
        decider._submit(replace(repeated, job_id=f"j{number}"), 1)
    assert not memory.has_room(repeated)
    assert memory.has_room(SPEC)


def test_jobs_accepted_since_the_last_heartbeat_count():
    """Between two heartbeats a VM could accept more than there is room for."""
    memory = JobMemory(lambda: None)
    memory.record_reply(2 * estimate_job_bytes(SPEC), None)
    memory.record_accepted(SPEC)
    # The reply may have been sent before the decider heard of the job.
    memory.record_reply(2 * estimate_job_bytes(SPEC), None)
    memory.record_accepted(SPEC)
    assert not memory.has_room(SPEC)
