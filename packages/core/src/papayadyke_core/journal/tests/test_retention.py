from papayadyke_core.journal import (
    ANSWER_RETENTION_S,
    JOB_RETENTION_S,
    KEY_RETENTION_S,
    OPEN_KEY_RETENTION_S,
    PARTITIONS,
    Answer,
    JobAccepted,
    KeyClaimed,
    KeyRecorded,
    KeyReleased,
    LiveEntries,
    TaskEnded,
    TaskState,
    TimedEntry,
    decode_chunk,
    encode_chunks,
    partition_of,
)

CLAIM = KeyClaimed("k", "w", b"d", "r1", "vm1")
RECORD = KeyRecorded("k", "r1", Answer(200, "text/plain", b"body"))
JOB = JobAccepted("j", "w", (b"a", b"b"), False, 60.0, True, 3)


def _end(index):
    return TaskEnded("j", index, 1, TaskState.ANSWERED, True, Answer(200))


def test_key_outlives_its_answers_body():
    live = LiveEntries()
    live.apply(CLAIM, 0.0)
    live.apply(RECORD, 10.0)
    live.purge(10.0 + ANSWER_RETENTION_S + 1)
    kept = [timed.entry for timed in live]
    stripped = KeyRecorded("k", "r1", Answer(200, "text/plain", b"", False))
    assert kept == [CLAIM, stripped]
    live.purge(10.0 + KEY_RETENTION_S)
    assert len(live) == 2
    live.purge(10.0 + KEY_RETENTION_S + 1)
    assert len(live) == 0


def test_open_key_is_kept_for_longer_than_any_request_lasts():
    live = LiveEntries()
    live.apply(CLAIM, 0.0)
    live.purge(OPEN_KEY_RETENTION_S - 1)
    assert len(live) == 1
    live.apply(KeyReleased("k", "r1"), 1.0)
    assert len(live) == 0


def test_job_is_kept_until_a_time_after_its_last_outcome():
    live = LiveEntries()
    live.apply(JOB, 0.0)
    live.apply(_end(0), 5.0)
    live.purge(10 * JOB_RETENTION_S)
    live.apply(_end(1), 10.0)
    assert next(iter(live)).entry == JOB.without_payloads()
    live.purge(10.0 + JOB_RETENTION_S)
    assert len(live) == 3
    live.purge(11.0 + JOB_RETENTION_S)
    assert len(live) == 0


def test_chunks_hold_all_entries_below_the_largest_value():
    entries = [
        TimedEntry(float(n), KeyClaimed(str(n), "w", b"x" * 100_000, "r"))
        for n in range(25)
    ]
    chunks = list(encode_chunks(entries))
    assert max(len(chunk) for chunk in chunks) < 1_000_000
    assert [item for chunk in chunks for item in decode_chunk(chunk)] == entries


def test_keys_spread_over_all_partitions():
    counts = [0] * PARTITIONS
    for number in range(100 * PARTITIONS):
        counts[partition_of(f"key-{number}")] += 1
    assert min(counts) > 50 and max(counts) < 150
