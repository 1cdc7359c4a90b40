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
    RetainedEntries,
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


def _task_ended(index):
    return TaskEnded("j", index, 1, TaskState.ANSWERED, True, Answer(200))


def test_key_is_kept_longer_than_its_answer_body():
    retained_entries = RetainedEntries()
    retained_entries.apply(CLAIM, 0.0)
    retained_entries.apply(RECORD, 10.0)
    retained_entries.remove_expired(10.0 + ANSWER_RETENTION_S + 1)
    kept = [timed.entry for timed in retained_entries]
    stripped = KeyRecorded("k", "r1", Answer(200, "text/plain", b"", False))
    assert kept == [CLAIM, stripped]
    retained_entries.remove_expired(10.0 + KEY_RETENTION_S)
    assert len(retained_entries) == 2
    retained_entries.remove_expired(10.0 + KEY_RETENTION_S + 1)
    assert len(retained_entries) == 0


def test_key_without_outcome_has_the_longer_retention_time():
    retained_entries = RetainedEntries()
    retained_entries.apply(CLAIM, 0.0)
    retained_entries.remove_expired(OPEN_KEY_RETENTION_S - 1)
    assert len(retained_entries) == 1
    retained_entries.apply(KeyReleased("k", "r1"), 1.0)
    assert len(retained_entries) == 0


def test_job_retention_starts_at_its_last_outcome():
    retained_entries = RetainedEntries()
    retained_entries.apply(JOB, 0.0)
    retained_entries.apply(_task_ended(0), 5.0)
    retained_entries.remove_expired(10 * JOB_RETENTION_S)
    retained_entries.apply(_task_ended(1), 10.0)
    assert next(iter(retained_entries)).entry == JOB.without_payloads()
    retained_entries.remove_expired(10.0 + JOB_RETENTION_S)
    assert len(retained_entries) == 3
    retained_entries.remove_expired(11.0 + JOB_RETENTION_S)
    assert len(retained_entries) == 0


def test_chunks_hold_all_entries_and_stay_below_the_value_limit():
    entries = [
        TimedEntry(float(n), KeyClaimed(str(n), "w", b"x" * 100_000, "r"))
        for n in range(25)
    ]
    chunks = list(encode_chunks(entries))
    assert max(len(chunk) for chunk in chunks) < 1_000_000
    assert [
        timed_entry for chunk in chunks for timed_entry in decode_chunk(chunk)
    ] == entries


def test_keys_are_distributed_evenly_over_the_partitions():
    counts = [0] * PARTITIONS
    for number in range(100 * PARTITIONS):
        counts[partition_of(f"key-{number}")] += 1
    assert min(counts) > 50 and max(counts) < 150
