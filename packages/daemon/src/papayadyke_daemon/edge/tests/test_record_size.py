"""One record that the store refuses for its size holds up no other.

The progress of a job grew with its checkpoints beyond what the store takes. Its commits
were repeated with other jobs in them, so that the end of no job was stored.
"""

import pytest

from papayadyke_core.dispatch import (
    Catalog,
    EndedRun,
    JobState,
    QueuePolicy,
    RunEnd,
    RunningRun,
    StagedJobSpec,
    StartOutcome,
    StepSpec,
    TaskId,
    UpstreamReport,
)
from papayadyke_daemon.edge import IntakeOutcome, Write, read_clock
from papayadyke_daemon.edge._keys import (
    DECIDER_KEY,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    ROSTER_KEY,
    RosterRecord,
    decode_roster,
    encode_record,
    encode_roster,
)
from papayadyke_daemon.edge.tests.deciders import ADDRESS, SERVICE, make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore
from papayadyke_daemon.edge.tests.test_intake import make_intake, make_memory

QUEUE = QueuePolicy("queue", "host", "/queue/", SERVICE, max_attempts=2)
MAX_BYTES = 20_000
CHECKPOINT = "s3://checkpoints/" + "x" * 230


def load_decider(store, **changes):
    """Return a decider with one upstream that may get work."""
    roster = RosterRecord(0, {"u0": (ADDRESS, SERVICE)})
    writes = [Write(DECIDER_KEY, b""), Write(ROSTER_KEY, encode_record(roster))]
    token = store.write(writes).ok_value
    store.write([Write("upstreams/u0", b"ready")])
    decider = make_decider(store, token=token, roster=roster, **changes)
    assert decider.load(Catalog(1, {QUEUE.key: QUEUE}))
    decider._handle_report("u0", UpstreamReport(1, read_clock(), read_clock()))
    return decider


def submit(decider, store, job_id, tasks):
    spec = StagedJobSpec(job_id, QUEUE.key, "", (StepSpec(tasks),))
    stored = store.write([Write(JOB_PREFIX + job_id, encode_record(spec))])
    decider._submit(spec, stored.ok_value)


def run_all(decider):
    """Start what waits; return the attempts by task."""
    orders = decider._dispatcher.tick(read_clock(), 0.0).starts
    for order in orders:
        decider._dispatcher.process_start_outcome(
            order, StartOutcome.STARTED, read_clock()
        )
    return {order.task: order.attempt for order in orders}


def report(decider, runs, done):
    """Report that some tasks are done, and that the others run with a checkpoint."""
    ended = [
        EndedRun(number, task, runs[task], RunEnd.DONE)
        for number, task in enumerate(done, start=1)
    ]
    running = [
        RunningRun(task, attempt, CHECKPOINT)
        for task, attempt in runs.items()
        if task not in done
    ]
    now = read_clock()
    decider._handle_report("u0", UpstreamReport(1, now, now, running, ended))


def commit_all(decider, rounds=10):
    for _ in range(rounds):
        decider._committer._next_s = 0.0
        decider._begin_commit(read_clock())
        while decider._committer.has_commit():
            decider._committer.write_next()
        decider._mailbox.pump()


@pytest.mark.parametrize("max_value_bytes", [MAX_BYTES, 10 * MAX_BYTES])
def test_large_job_does_not_keep_the_ends_of_others_from_being_stored(max_value_bytes):
    """Also where the store takes less than the settings tell."""
    store = FakeStore()
    store.max_value_bytes = MAX_BYTES
    decider = load_decider(store, max_value_bytes=max_value_bytes)
    submit(decider, store, "large", 200)
    for number in range(5):
        submit(decider, store, f"small{number}", 1)
    runs = run_all(decider)
    assert len(runs) == 205
    done = [TaskId(f"small{number}", 0, 0, 0) for number in range(5)]
    report(decider, runs, [*done, TaskId("large", 0, 0, 0)])
    commit_all(decider)
    for number in range(5):
        status = decider.get_status(f"small{number}")
        assert status.state is JobState.COMPLETE
    acknowledged = decider._dispatcher.upstreams["u0"].acknowledged_end_number
    is_stored = PROGRESS_PREFIX + "large" in store.records
    assert is_stored is (max_value_bytes == MAX_BYTES)
    assert acknowledged == (6 if is_stored else 5)


def test_job_whose_records_do_not_fit_is_refused_before_it_is_stored():
    """A job that can never be stored got 504, and put the store in doubt."""
    store = FakeStore()
    intake = make_intake(store)
    many_steps = StagedJobSpec("steps", "h/q/", "", (StepSpec(1),) * 4_000)
    assert intake.accept(many_steps) is IntakeOutcome.TOO_LARGE
    assert store.records == {}
    intake._max_value_bytes = 10_000
    many_tasks = StagedJobSpec("tasks", "h/q/", "", (StepSpec(2_000),))
    assert intake.accept(many_tasks) is IntakeOutcome.TOO_LARGE
    fewer_tasks = StagedJobSpec("fewer", "h/q/", "", (StepSpec(1_000),))
    assert intake.accept(fewer_tasks) is IntakeOutcome.ACCEPTED


def test_stored_job_is_not_refused_for_its_size():
    """A job that an earlier build has accepted must not be told that it never runs."""
    store = FakeStore()
    spec = StagedJobSpec("tasks", "h/q/", "", (StepSpec(2_000),))
    assert make_intake(store).accept(spec) is IntakeOutcome.ACCEPTED
    intake = make_intake(store, memory=make_memory(None))
    intake._max_value_bytes = 10_000
    assert intake.accept(spec) is IntakeOutcome.ACCEPTED


def test_write_that_the_store_rejects_is_a_certain_refusal():
    """The caller got 504, and the store was in doubt for all others."""
    store = FakeStore()
    store.max_value_bytes = 10
    intake = make_intake(store)
    spec = StagedJobSpec("job", "h/q/", "", (StepSpec(1),))
    assert intake.accept(spec) is IntakeOutcome.REFUSED
    assert intake._contact.is_reached


# Roster


def make_rows(count):
    return {
        f"i-{n:010x}": (f"10.0.{n >> 8}.{n & 255}:8080", SERVICE) for n in range(count)
    }


@pytest.mark.parametrize("max_bytes", [10**6, 100_000])
def test_roster_is_read_in_either_form(max_bytes):
    rows = make_rows(2_000)
    data = encode_roster(RosterRecord(7, rows), max_bytes)
    assert decode_roster(data) == RosterRecord(7, rows)
    assert len(data) <= max_bytes


def test_roster_of_the_largest_fleet_fits():
    """The roster of 18,000 upstreams was larger than a value."""
    rows = {
        name: (address, "switchboard-upgrade-pricing")
        for name, (address, _) in make_rows(18_000).items()
    }
    assert len(encode_record(RosterRecord(9_999, rows))) > 1_048_576
    assert len(encode_roster(RosterRecord(9_999, rows), 786_432)) <= 786_432


def test_upstream_that_the_roster_has_no_room_for_gets_no_work():
    """A roster that was refused for its size left all new upstreams without work."""
    store = FakeStore()
    store.max_value_bytes = 16_000
    decider = load_decider(store, max_value_bytes=16_000)
    for number in range(1, 900):
        store.write([Write(f"upstreams/u{number}", b"ready")])
    for watch in decider._watches:
        watch.call_once()
    decider._mailbox.pump()
    for number in range(1, 900):
        decider._handle_report(f"u{number}", UpstreamReport(1, 0.0, 0.0))
    decider._roster.update(decider._dispatcher.upstreams, read_clock())
    while decider._roster._is_write_active:
        decider._mailbox.pump()
    data = store.records[ROSTER_KEY].value
    assert data is not None
    stored = decode_roster(data).upstreams
    recorded = {
        name
        for name, upstream in decider._dispatcher.upstreams.items()
        if upstream.is_recorded
    }
    assert "u0" in stored
    assert recorded == stored.keys()
    assert 100 < len(stored) < 900
