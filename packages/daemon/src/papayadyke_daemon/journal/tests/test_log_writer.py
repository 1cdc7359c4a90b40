import pytest

from papayadyke_core.journal import AppendResult, KeyClaimed, KeyReleased
from papayadyke_daemon.journal import JournalSettings, JournalWriter, LogWriter
from papayadyke_standins.store import Faults, MemoryStore, StoreService

DAY_S = 24 * 3600.0


class _Bench:
    """Log writers over one store, on one clock by hand."""

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
def bench():
    return _Bench()


def test_successor_replays_the_log_and_fences_the_writer(bench):
    first, second = bench.writer("vm1"), bench.writer("vm2")
    first.take_over(0).unwrap()
    assert bench.append(first, "a") == [AppendResult.DURABLE]
    assert bench.append(first, "b") == [AppendResult.DURABLE]
    replay = second.take_over(0).unwrap()
    assert bench.names(replay) == ["a", "b"]
    assert bench.append(first, "c") == [AppendResult.FENCED]
    assert bench.fenced == [("vm1", 0)]
    assert bench.append(first, "d") == [AppendResult.DROPPED]
    assert bench.names(first.take_over(0).unwrap()) == ["a", "b"]


def test_lost_answers_are_decided_by_the_log(bench):
    writer = bench.writer("vm1")
    writer.take_over(0).unwrap()
    bench.store.set_faults(Faults(lose_answers=1, lose_writes=1))
    assert bench.append(writer, "a", rounds=8) == [AppendResult.DURABLE]
    bench.store.set_faults(Faults(lose_answers=1, stale_reads=3, stale_changes=2))
    assert bench.append(writer, "b", rounds=8) == [AppendResult.DURABLE]
    assert bench.names(bench.writer("vm2").take_over(0).unwrap()) == ["a", "b"]


def test_a_stale_read_at_a_takeover_loses_nothing(bench):
    first, second = bench.writer("vm1"), bench.writer("vm2")
    first.take_over(0).unwrap()
    for name in "abcde":
        bench.append(first, name)
    bench.store.set_faults(Faults(stale_reads=5, stale_changes=4))
    assert bench.names(second.take_over(0).unwrap()) == list("abcde")
    assert bench.append(first, "f") == [AppendResult.FENCED]


def test_outage_keeps_what_has_no_time_limit(bench):
    writer = bench.writer("vm1")
    writer.take_over(0).unwrap()
    bench.store.set_faults(Faults(down=True))
    kept = bench.append(writer, "kept")
    limited = bench.append(writer, "limited", 20, give_up_s=bench.now + 2.0)
    assert (kept, limited) == ([], [AppendResult.DROPPED])
    bench.store.set_faults(Faults())
    bench.run(writer, 100)
    assert kept == [AppendResult.DURABLE]
    assert bench.names(bench.writer("vm2").take_over(0).unwrap()) == ["kept"]


@pytest.mark.parametrize("pause_s", [60.0, 2 * DAY_S])
def test_paused_writer_does_not_slip_past_a_compacted_takeover(bench, pause_s):
    first = bench.writer("vm1")
    second = bench.writer("vm2", compact_segments=2)
    first.take_over(0).unwrap()
    bench.append(first, "a")
    second.take_over(0).unwrap()
    bench.now += pause_s
    for name in "bcdef":
        bench.append(second, name, rounds=100)
    bench.now += pause_s
    for name in "ghijk":
        bench.append(second, name, rounds=100)
    assert bench.append(first, "stale", rounds=5) == [AppendResult.FENCED]
    assert bench.fenced == [("vm1", 0)]


def test_writer_paused_in_an_append_proves_its_ownership_before_it_acknowledges(bench):
    first = bench.writer("vm1")
    second = bench.writer("vm2", compact_segments=2)
    first.take_over(0).unwrap()
    bench.append(first, "a")
    real = bench.store.write

    def paused(key, act):
        """Two days pass between the call and its effect; another VM takes over."""
        bench.store.write = real
        second.take_over(0).unwrap()
        for name in "bcdef":
            bench.append(second, name, rounds=100)
        bench.now += 2 * DAY_S
        for name in "ghijk":
            bench.append(second, name, rounds=200)
        return real(key, act)

    bench.store.write = paused
    results = bench.append(first, "stale", rounds=10)
    assert AppendResult.DURABLE not in results
    assert bench.fenced == [("vm1", 0)]
    replay = bench.writer("vm3").take_over(0).unwrap()
    assert "stale" not in bench.names(replay)


def test_space_in_the_store_is_bounded(bench):
    writer = bench.writer("vm1", compact_segments=8)
    writer.take_over(0).unwrap()
    for number in range(200):
        bench.append(writer, str(number), rounds=3)
    bench.run(writer, 300)
    assert len(bench.store.state.read_prefix("", after="", limit=1000)) < 25


def test_compaction_survives_faults_and_clears_what_it_left(bench):
    writer = bench.writer("vm1", compact_segments=4)
    writer.take_over(0).unwrap()
    for number in range(120):
        faults = Faults(lose_answers=number % 2, lose_writes=number % 3 == 0)
        bench.store.set_faults(faults)
        bench.append(writer, str(number), rounds=4)
    bench.store.set_faults(Faults())
    for number in range(40):
        bench.append(writer, str(number), rounds=40)
    assert len(bench.store.state.read_prefix("", after="", limit=1000)) < 25
    assert bench.writer("vm2").take_over(0).is_ok()


def test_writer_paused_in_a_compaction_deletes_nothing_of_its_successor(bench):
    first = bench.writer("vm1", compact_segments=3)
    second = bench.writer("vm2", compact_segments=2)
    first.take_over(0).unwrap()
    real = bench.store.write
    manifests = []

    def paused(key, act):
        """Another VM takes over and compacts once the snapshot is written."""
        done = real(key, act)
        manifests.append(key.endswith("/snapshot"))
        if manifests[-1]:
            bench.store.write = real
            second.take_over(0).unwrap()
            for name in "xyz":
                bench.append(second, name, rounds=50)
        return done

    bench.store.write = paused
    for name in "abc":
        bench.append(first, name, rounds=50)
    assert any(manifests)
    bench.store.write = real
    bench.run(first, 50)
    replay = bench.writer("vm3").take_over(0).unwrap()
    assert bench.names(replay) == list("abxyz")


def test_takeover_that_another_one_overtakes_starts_over(bench):
    first, second = bench.writer("vm1"), bench.writer("vm2")
    third = bench.writer("vm3", compact_segments=2)
    first.take_over(0).unwrap()
    bench.append(first, "a")
    real = bench.store.write

    def overtaken(key, act):
        """Once the log is read, another VM takes over, appends and compacts."""
        if not key.endswith("/snapshot"):
            bench.store.write = real
            third.take_over(0).unwrap()
            for name in "bcdef":
                bench.append(third, name, rounds=50)
        return real(key, act)

    bench.store.write = overtaken
    replay = second.take_over(0).unwrap()
    assert bench.names(replay) == list("abcdef")
    assert bench.append(third, "g") == [AppendResult.FENCED]


def test_takeover_of_an_earlier_owner_is_kept_by_a_later_one(bench):
    first = bench.writer("vm1")
    first.take_over(0).unwrap()
    bench.append(first, "a")
    for owner in range(2, 5):
        writer = bench.writer(f"vm{owner}", compact_segments=2)
        writer.take_over(0).unwrap()
        for name in "bcdef":
            bench.append(writer, name, rounds=100)
    assert bench.append(first, "stale", rounds=5) == [AppendResult.FENCED]


def test_takeover_that_comes_too_late_is_given_up():
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


def test_release_appends_what_is_queued():
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


def test_partition_is_given_up_before_the_fenced_append_is_told(bench):
    first, second = bench.writer("vm1"), bench.writer("vm2")
    first.take_over(0).unwrap()
    second.take_over(0).unwrap()
    known_when_told = []
    first.append(
        0,
        (KeyClaimed("a", "w", b"", "r"),),
        lambda result, at_s: known_when_told.append((result, list(bench.fenced))),
    )
    bench.run(first, 1)
    assert known_when_told == [(AppendResult.FENCED, [("vm1", 0)])]
