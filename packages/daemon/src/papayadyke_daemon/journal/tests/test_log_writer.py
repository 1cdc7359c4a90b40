import pytest

from papayadyke_core.journal import AppendResult, KeyClaimed, KeyReleased
from papayadyke_daemon.journal import JournalSettings, JournalWriter, LogWriter
from papayadyke_standins.store import Faults, MemoryStore, StoreService

DAY_S = 24 * 3600.0


class _Harness:
    """Log writers over one store, with one clock set by hand."""

    def __init__(self):
        self.now = 0.0
        self.store = StoreService(clock=lambda: self.now, sleep=self.sleep)
        self.fenced = []

    def sleep(self, seconds):
        self.now += seconds

    def writer(self, name, **fields):
        settings = JournalSettings(vm=name, incarnation="1", **fields)
        return LogWriter(
            MemoryStore(self.store, client=name),
            settings,
            lambda partition: self.fenced.append((name, partition)),
            lambda: self.now,
        )

    def append(self, writer, name, rounds=1, **fields):
        results = []
        writer.append(
            0,
            (KeyClaimed(name, "w", b"", "r"),),
            lambda r, at_s: results.append(r),
            **fields,
        )
        self.run(writer, rounds)
        return results

    def run(self, writer, rounds):
        for _ in range(rounds):
            writer.step()
            self.now += 0.2

    def names(self, replay):
        return [t.entry.key for t in replay.entries if hasattr(t.entry, "key")]


@pytest.fixture
def harness():
    return _Harness()


def test_successor_replays_the_log_and_fences_the_writer(harness):
    earlier, successor = harness.writer("vm1"), harness.writer("vm2")
    earlier.take_over(0).unwrap()
    assert harness.append(earlier, "a") == [AppendResult.DURABLE]
    assert harness.append(earlier, "b") == [AppendResult.DURABLE]
    replay = successor.take_over(0).unwrap()
    assert harness.names(replay) == ["a", "b"]
    assert harness.append(earlier, "c") == [AppendResult.FENCED]
    assert harness.fenced == [("vm1", 0)]
    assert harness.append(earlier, "d") == [AppendResult.DROPPED]
    assert harness.names(earlier.take_over(0).unwrap()) == ["a", "b"]


def test_append_with_a_lost_answer_is_resolved_from_the_log(harness):
    writer = harness.writer("vm1")
    writer.take_over(0).unwrap()
    harness.store.set_faults(Faults(lose_answers=1, lose_writes=1))
    assert harness.append(writer, "a", rounds=8) == [AppendResult.DURABLE]
    harness.store.set_faults(Faults(lose_answers=1, stale_reads=3, stale_changes=2))
    assert harness.append(writer, "b", rounds=8) == [AppendResult.DURABLE]
    assert harness.names(harness.writer("vm2").take_over(0).unwrap()) == ["a", "b"]


def test_a_stale_read_at_a_takeover_loses_nothing(harness):
    earlier, successor = harness.writer("vm1"), harness.writer("vm2")
    earlier.take_over(0).unwrap()
    for name in "abcde":
        harness.append(earlier, name)
    harness.store.set_faults(Faults(stale_reads=5, stale_changes=4))
    assert harness.names(successor.take_over(0).unwrap()) == list("abcde")
    assert harness.append(earlier, "f") == [AppendResult.FENCED]


def test_outage_drops_only_entries_with_a_time_limit(harness):
    writer = harness.writer("vm1")
    writer.take_over(0).unwrap()
    harness.store.set_faults(Faults(down=True))
    kept = harness.append(writer, "kept")
    limited = harness.append(writer, "limited", 20, expires_at_s=harness.now + 2.0)
    assert (kept, limited) == ([], [AppendResult.DROPPED])
    harness.store.set_faults(Faults())
    harness.run(writer, 100)
    assert kept == [AppendResult.DURABLE]
    assert harness.names(harness.writer("vm2").take_over(0).unwrap()) == ["kept"]


@pytest.mark.parametrize("pause_s", [60.0, 2 * DAY_S])
def test_paused_writer_is_fenced_after_compaction_of_the_takeover(harness, pause_s):
    earlier = harness.writer("vm1")
    successor = harness.writer("vm2", compact_segments=2)
    earlier.take_over(0).unwrap()
    harness.append(earlier, "a")
    successor.take_over(0).unwrap()
    harness.now += pause_s
    for name in "bcdef":
        harness.append(successor, name, rounds=100)
    harness.now += pause_s
    for name in "ghijk":
        harness.append(successor, name, rounds=100)
    assert harness.append(earlier, "stale", rounds=5) == [AppendResult.FENCED]
    assert harness.fenced == [("vm1", 0)]


def test_writer_paused_in_an_append_proves_ownership_before_it_acknowledges(harness):
    earlier = harness.writer("vm1")
    successor = harness.writer("vm2", compact_segments=2)
    earlier.take_over(0).unwrap()
    harness.append(earlier, "a")
    store_write = harness.store.write

    def paused(key, act):
        """Let another VM take over and two days pass before the write takes effect."""
        harness.store.write = store_write
        successor.take_over(0).unwrap()
        for name in "bcdef":
            harness.append(successor, name, rounds=100)
        harness.now += 2 * DAY_S
        for name in "ghijk":
            harness.append(successor, name, rounds=200)
        return store_write(key, act)

    harness.store.write = paused
    results = harness.append(earlier, "stale", rounds=10)
    assert AppendResult.DURABLE not in results
    assert harness.fenced == [("vm1", 0)]
    replay = harness.writer("vm3").take_over(0).unwrap()
    assert "stale" not in harness.names(replay)


def test_space_in_the_store_is_bounded(harness):
    writer = harness.writer("vm1", compact_segments=8)
    writer.take_over(0).unwrap()
    for number in range(200):
        harness.append(writer, str(number), rounds=3)
    harness.run(writer, 300)
    assert len(harness.store.state.read_prefix("", after="", limit=1000)) < 25


def test_interrupted_compactions_leave_no_orphans(harness):
    writer = harness.writer("vm1", compact_segments=4)
    writer.take_over(0).unwrap()
    for number in range(120):
        faults = Faults(lose_answers=number % 2, lose_writes=number % 3 == 0)
        harness.store.set_faults(faults)
        harness.append(writer, str(number), rounds=4)
    harness.store.set_faults(Faults())
    for number in range(40):
        harness.append(writer, str(number), rounds=40)
    assert len(harness.store.state.read_prefix("", after="", limit=1000)) < 25
    assert harness.writer("vm2").take_over(0).is_ok()


def test_writer_paused_in_a_compaction_keeps_the_data_of_its_successor(harness):
    earlier = harness.writer("vm1", compact_segments=3)
    successor = harness.writer("vm2", compact_segments=2)
    earlier.take_over(0).unwrap()
    store_write = harness.store.write
    is_manifest_write = []

    def paused(key, act):
        """Let another VM take over and compact once the snapshot is written."""
        result = store_write(key, act)
        is_manifest_write.append(key.endswith("/snapshot"))
        if is_manifest_write[-1]:
            harness.store.write = store_write
            successor.take_over(0).unwrap()
            for name in "xyz":
                harness.append(successor, name, rounds=50)
        return result

    harness.store.write = paused
    for name in "abc":
        harness.append(earlier, name, rounds=50)
    assert any(is_manifest_write)
    harness.store.write = store_write
    harness.run(earlier, 50)
    replay = harness.writer("vm3").take_over(0).unwrap()
    assert harness.names(replay) == list("abxyz")


def test_takeover_restarts_after_a_concurrent_takeover(harness):
    earlier, successor = harness.writer("vm1"), harness.writer("vm2")
    overtaking = harness.writer("vm3", compact_segments=2)
    earlier.take_over(0).unwrap()
    harness.append(earlier, "a")
    store_write = harness.store.write

    def overtaken(key, act):
        """Let another VM take over, append and compact once the log is read."""
        if not key.endswith("/snapshot"):
            harness.store.write = store_write
            overtaking.take_over(0).unwrap()
            for name in "bcdef":
                harness.append(overtaking, name, rounds=50)
        return store_write(key, act)

    harness.store.write = overtaken
    replay = successor.take_over(0).unwrap()
    assert harness.names(replay) == list("abcdef")
    assert harness.append(overtaking, "g") == [AppendResult.FENCED]


def test_takeover_segments_of_earlier_owners_are_retained(harness):
    earlier = harness.writer("vm1")
    earlier.take_over(0).unwrap()
    harness.append(earlier, "a")
    for owner in range(2, 5):
        writer = harness.writer(f"vm{owner}", compact_segments=2)
        writer.take_over(0).unwrap()
        for name in "bcdef":
            harness.append(writer, name, rounds=100)
    assert harness.append(earlier, "stale", rounds=5) == [AppendResult.FENCED]


def test_takeover_that_times_out_is_given_up():
    store = StoreService()
    store.set_faults(Faults(delay_s=0.1))
    settings = JournalSettings(vm="vm1", incarnation="1")
    journal = JournalWriter(MemoryStore(store), settings)
    journal.start()
    assert journal.take_over(3, wait_s=0.05).is_err()
    assert journal.owned() == ()
    store.set_faults(Faults())
    assert journal.take_over(3).is_ok()
    journal.stop()


def test_release_appends_queued_entries():
    store = StoreService()
    settings = JournalSettings(vm="vm1", incarnation="1")
    journal = JournalWriter(MemoryStore(store), settings)
    journal.start()
    journal.take_over(3).unwrap()
    results = []
    for name in "abc":
        entry = KeyReleased(name, "r")
        journal.append(3, [entry], lambda r, at_s: results.append(r))
    assert journal.owned() == (3,)
    assert journal.release(3)
    assert results == [AppendResult.DURABLE] * 3
    assert journal.owned() == ()
    journal.stop()


def test_partition_is_dropped_before_a_fenced_append_is_reported(harness):
    earlier, successor = harness.writer("vm1"), harness.writer("vm2")
    earlier.take_over(0).unwrap()
    successor.take_over(0).unwrap()
    fenced_at_report = []
    earlier.append(
        0,
        (KeyClaimed("a", "w", b"", "r"),),
        lambda result, at_s: fenced_at_report.append((result, list(harness.fenced))),
    )
    harness.run(earlier, 1)
    assert fenced_at_report == [(AppendResult.FENCED, [("vm1", 0)])]
