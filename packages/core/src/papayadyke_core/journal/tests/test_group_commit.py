from papayadyke_core.journal import (
    MAX_ENTRIES_BYTES,
    PARTITIONS,
    AppendResult,
    CallResult,
    GroupCommit,
    KeyReleased,
    Pace,
    TaskIntended,
)


def _entry(name="k"):
    return KeyReleased(name, "r")


def _commit(partition=0):
    commit = GroupCommit(Pace())
    commit.add_partition(partition, 5)
    return commit


def test_entries_of_one_interval_share_a_segment():
    commit = _commit()
    commit.add(0, (_entry(),), 0.0)
    assert commit.next_flush(0.0).number == 5
    tickets = [commit.add(0, (_entry(str(n)),), 0.01) for n in range(10)]
    assert commit.next_flush(5.0) is None, "one append in flight for a partition"
    commit.report(0, CallResult.WRITTEN, 5.0)
    flush = commit.next_flush(5.1)
    assert (flush.number, len(flush.entries)) == (6, 10)
    settled = commit.report(0, CallResult.WRITTEN, 5.2)
    assert [item.ticket for item in settled] == tickets
    assert {item.result for item in settled} == {AppendResult.DURABLE}


def test_a_segment_stays_below_the_largest_value():
    commit = _commit()
    big = TaskIntended("j", 0, 1, "x" * 400_000)
    for _ in range(5):
        commit.add(0, (big,), 0.0)
    sizes = []
    for step in range(5):
        flush = commit.next_flush(step * 10.0)
        if flush is None:
            break
        sizes.append(len(flush.entries))
        commit.report(0, CallResult.WRITTEN, step * 10.0)
    assert sizes == [2, 2, 1]
    huge = TaskIntended("j", 0, 1, "x" * MAX_ENTRIES_BYTES)
    assert commit.add(0, (huge,), 0.0) is None


def test_what_was_not_written_is_dropped_for_certain_after_its_time():
    commit = _commit()
    ticket = commit.add(0, (_entry(),), 0.0, give_up_s=2.0)
    commit.next_flush(0.0)
    assert commit.report(0, CallResult.NOT_WRITTEN, 0.1) == []
    (settled,) = commit.expire(2.1)
    assert (settled.ticket, settled.result) == (ticket, AppendResult.DROPPED)
    assert commit.next_flush(100.0) is None


def test_what_may_be_written_is_never_dropped():
    commit = _commit()
    ticket = commit.add(0, (_entry(),), 0.0, give_up_s=2.0)
    commit.next_flush(0.0)
    commit.report(0, CallResult.AMBIGUOUS, 0.1)
    (settled,) = commit.expire(2.1)
    assert (settled.result, settled.is_final) == (AppendResult.UNKNOWN, False)
    assert commit.expire(3.0) == []
    flush = commit.next_flush(100.0)
    assert flush.is_retry and flush.number == 5
    # The service refused this call, but the one before may have taken effect.
    commit.report(0, CallResult.NOT_WRITTEN, 100.1)
    assert commit.next_flush(200.0).is_retry
    (settled,) = commit.report(0, CallResult.WRITTEN, 200.1)
    assert (settled.ticket, settled.result) == (ticket, AppendResult.DURABLE)


def test_another_writers_segment_fences_everything_that_waits():
    commit = _commit()
    first = commit.add(0, (_entry(),), 0.0)
    commit.next_flush(0.0)
    second = commit.add(0, (_entry(),), 0.0)
    settled = commit.report(0, CallResult.TAKEN, 0.1)
    assert {(s.ticket, s.result) for s in settled} == {
        (first, AppendResult.FENCED),
        (second, AppendResult.FENCED),
    }
    assert commit.partitions == ()
    assert commit.add(0, (_entry(),), 0.2) is None


def test_a_released_partition_tells_what_may_be_written():
    commit = _commit()
    commit.add(0, (_entry(),), 0.0)
    commit.next_flush(0.0)
    commit.report(0, CallResult.AMBIGUOUS, 0.1)
    commit.add(0, (_entry(),), 0.2)
    results = [item.result for item in commit.remove_partition(0)]
    assert results == [AppendResult.UNKNOWN, AppendResult.DROPPED]


def test_the_interval_follows_the_number_of_vms_and_the_store():
    pace = Pace(vms=9)
    shortest = pace.interval_s
    assert shortest == 0.1
    for _ in range(20):
        pace.answered(0.0, ok=False)
    assert pace.interval_s == 2.0
    for _ in range(30):
        pace.answered(0.0, ok=True)
    assert pace.interval_s == shortest
    pace.answered(0.0, ok=True, call_s=1.0)
    assert pace.interval_s == 2 * shortest
    pace.set_vms(30)
    assert pace.shortest_interval_s == 0.2
    pace.set_vms(600)
    assert pace.shortest_interval_s == PARTITIONS / 150, "no more writers than logs"


def test_the_partition_that_waits_longest_goes_first():
    commit = _commit(0)
    commit.add_partition(1, 0)
    commit.add(1, (_entry(),), 0.0)
    commit.add(0, (_entry(),), 1.0)
    assert [commit.next_flush(t).partition for t in (2.0, 3.0)] == [1, 0]
