from papayadyke_core.journal import (
    MAX_ENTRIES_BYTES,
    PARTITIONS,
    AppendCallResult,
    AppendResult,
    GroupCommit,
    KeyReleased,
    TaskIntended,
    WriteRateLimiter,
)


def _entry(name="k"):
    return KeyReleased(name, "r")


def _group_commit(partition=0):
    commit = GroupCommit(WriteRateLimiter())
    commit.add_partition(partition, 5)
    return commit


def test_entries_queued_in_one_interval_share_a_segment():
    commit = _group_commit()
    commit.add(0, (_entry(),), 0.0)
    assert commit.next_flush(0.0).number == 5
    tickets = [commit.add(0, (_entry(str(n)),), 0.01) for n in range(10)]
    assert commit.next_flush(5.0) is None, (
        "at most one append per partition is in flight"
    )
    commit.report_result(0, AppendCallResult.WRITTEN, 5.0)
    flush = commit.next_flush(5.1)
    assert (flush.number, len(flush.entries)) == (6, 10)
    settled = commit.report_result(0, AppendCallResult.WRITTEN, 5.2)
    assert [update.ticket for update in settled] == tickets
    assert {update.result for update in settled} == {AppendResult.DURABLE}


def test_segment_stays_below_the_value_limit():
    commit = _group_commit()
    big = TaskIntended("j", 0, 1, "x" * 400_000)
    for _ in range(5):
        commit.add(0, (big,), 0.0)
    sizes = []
    for step in range(5):
        flush = commit.next_flush(step * 10.0)
        if flush is None:
            break
        sizes.append(len(flush.entries))
        commit.report_result(0, AppendCallResult.WRITTEN, step * 10.0)
    assert sizes == [2, 2, 1]
    oversized = TaskIntended("j", 0, 1, "x" * MAX_ENTRIES_BYTES)
    assert commit.add(0, (oversized,), 0.0) is None


def test_expired_entries_that_were_not_written_are_dropped():
    commit = _group_commit()
    ticket = commit.add(0, (_entry(),), 0.0, expires_at_s=2.0)
    commit.next_flush(0.0)
    assert commit.report_result(0, AppendCallResult.NOT_WRITTEN, 0.1) == []
    (settled,) = commit.expire(2.1)
    assert (settled.ticket, settled.result) == (ticket, AppendResult.DROPPED)
    assert commit.next_flush(100.0) is None


def test_entries_that_may_be_written_are_never_dropped():
    commit = _group_commit()
    ticket = commit.add(0, (_entry(),), 0.0, expires_at_s=2.0)
    commit.next_flush(0.0)
    commit.report_result(0, AppendCallResult.AMBIGUOUS, 0.1)
    (settled,) = commit.expire(2.1)
    assert (settled.result, settled.is_final) == (AppendResult.UNKNOWN, False)
    assert commit.expire(3.0) == []
    flush = commit.next_flush(100.0)
    assert flush.is_retry and flush.number == 5
    # The store refused this call, but the previous call may have taken effect.
    commit.report_result(0, AppendCallResult.NOT_WRITTEN, 100.1)
    assert commit.next_flush(200.0).is_retry
    (settled,) = commit.report_result(0, AppendCallResult.WRITTEN, 200.1)
    assert (settled.ticket, settled.result) == (ticket, AppendResult.DURABLE)


def test_segment_of_another_writer_fences_all_waiting_entries():
    commit = _group_commit()
    first = commit.add(0, (_entry(),), 0.0)
    commit.next_flush(0.0)
    second = commit.add(0, (_entry(),), 0.0)
    settled = commit.report_result(0, AppendCallResult.NUMBER_IN_USE, 0.1)
    assert {(update.ticket, update.result) for update in settled} == {
        (first, AppendResult.FENCED),
        (second, AppendResult.FENCED),
    }
    assert commit.partitions == ()
    assert commit.add(0, (_entry(),), 0.2) is None


def test_removed_partition_reports_entries_that_may_be_written_as_unknown():
    commit = _group_commit()
    commit.add(0, (_entry(),), 0.0)
    commit.next_flush(0.0)
    commit.report_result(0, AppendCallResult.AMBIGUOUS, 0.1)
    commit.add(0, (_entry(),), 0.2)
    results = [update.result for update in commit.remove_partition(0)]
    assert results == [AppendResult.UNKNOWN, AppendResult.DROPPED]


def test_interval_adapts_to_the_number_of_vms_and_the_store():
    rate_limiter = WriteRateLimiter(vm_count=9)
    shortest = rate_limiter.interval_s
    assert shortest == 0.1
    for _ in range(20):
        rate_limiter.record_result(0.0, ok=False)
    assert rate_limiter.interval_s == 2.0
    for _ in range(30):
        rate_limiter.record_result(0.0, ok=True)
    assert rate_limiter.interval_s == shortest
    rate_limiter.record_result(0.0, ok=True, call_s=1.0)
    assert rate_limiter.interval_s == 2 * shortest
    rate_limiter.set_vm_count(30)
    assert rate_limiter.shortest_interval_s == 0.2
    rate_limiter.set_vm_count(600)
    assert rate_limiter.shortest_interval_s == PARTITIONS / 150, (
        "at most one writer per partition"
    )


def test_partition_with_the_longest_wait_is_flushed_first():
    commit = _group_commit(0)
    commit.add_partition(1, 0)
    commit.add(1, (_entry(),), 0.0)
    commit.add(0, (_entry(),), 1.0)
    assert [commit.next_flush(t).partition for t in (2.0, 3.0)] == [1, 0]
