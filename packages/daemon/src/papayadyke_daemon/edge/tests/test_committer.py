"""Test the commits of the decider."""

import queue
import threading

from result import Ok

from papayadyke_core.dispatch import Commit
from papayadyke_daemon.edge import StoreErrorKind, Write, _committer, read_clock
from papayadyke_daemon.edge._committer import MAX_COMMITS_IN_PROGRESS, Committer
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    DECIDER_KEY,
    JOB_PREFIX,
    PROGRESS_PREFIX,
)
from papayadyke_daemon.edge.tests.fake_store import FakeStore

COMMIT = Commit({"job": b"progress"}, {"upstream": (1, 7)})


class RunningCommitter:
    """Run a committer; `commit` runs its callbacks as the decider's thread does."""

    def __init__(self):
        self.store = FakeStore()
        self.store.write([Write(DECIDER_KEY, b"")])
        self.posted: queue.Queue = queue.Queue()
        self.finished: list[bool] = []
        self.step_down_reasons: list[str] = []
        self.committer = Committer(
            self.store,
            token=self.store.records[DECIDER_KEY].revision,
            post=self.posted.put,
            on_finished=lambda commit, is_stored: self.finished.append(is_stored),
            step_down=self.step_down_reasons.append,
        )
        self.committer.start()

    def commit(self, commit=COMMIT):
        self.committer.begin(commit)
        if commit.progress:
            self.posted.get(timeout=5.0)()
        return self.finished[-1]


def test_progress_is_stored_at_each_commit():
    running = RunningCommitter()
    assert running.commit()
    assert running.commit()
    assert running.store.records[PROGRESS_PREFIX + "job"].value == b"progress"


def test_commits_in_progress_are_bounded():
    """A store that is slow must not be given ever more commits."""
    running = RunningCommitter()
    for number in range(MAX_COMMITS_IN_PROGRESS):
        assert running.committer.may_begin(1e9)
        running.committer.begin(Commit({f"job{number}": b"progress"}, {}))
    assert not running.committer.may_begin(1e9)
    running.posted.get(timeout=5.0)()
    assert running.committer.may_begin(1e9)


def test_only_one_commit_is_in_progress_while_the_store_fails():
    """A store that does not answer must not hold up a queue of commits."""
    running = RunningCommitter()
    running.store.fault = StoreErrorKind.UNKNOWN
    assert not running.commit()
    assert running.committer.may_begin(1e9)
    running.committer.begin(COMMIT)
    assert not running.committer.may_begin(1e9)


def test_ends_without_progress_need_no_store_call():
    running = RunningCommitter()
    calls = running.store.calls
    assert running.commit(Commit({}, {"upstream": (1, 7)}))
    assert running.store.calls == calls


def test_revision_after_a_lost_answer_is_read_from_the_conflict():
    running = RunningCommitter()
    running.store.fault = StoreErrorKind.UNKNOWN
    running.store.takes_effect = True
    assert not running.commit()
    running.store.fault = None
    assert not running.commit()
    assert running.commit()
    assert running.step_down_reasons == []


def test_commit_after_a_later_decider_ends_the_term():
    running = RunningCommitter()
    running.store.write([Write(DECIDER_KEY, b"other")])
    assert not running.commit()
    assert running.step_down_reasons == ["the store names another decider"]


def test_ended_job_leaves_only_its_progress():
    running = RunningCommitter()
    running.store.write([Write(JOB_PREFIX + "job", b"")])
    running.store.write([Write(CANCEL_PREFIX + "job", b"")])
    assert running.commit(Commit({"job": b"progress"}, {}, ("job",)))
    assert set(running.store.records) == {DECIDER_KEY, PROGRESS_PREFIX + "job"}


def test_slow_store_is_given_several_commits_at_a_time():
    """Pattern: the store takes 0.4 s an answer while 60 jobs a second end.

    One commit after the other stored 25 ends a second, so that ends waited for up to
    4 s (rejas-rionegro-grown trouble-2).
    """
    running = RunningCommitter()
    all_sent = threading.Barrier(MAX_COMMITS_IN_PROGRESS, timeout=5.0)

    class SlowStore(FakeStore):
        def write(self, *args, **kwargs):
            all_sent.wait()
            return Ok(1)

    running.committer._store = SlowStore()
    for number in range(MAX_COMMITS_IN_PROGRESS):
        running.committer.begin(Commit({f"job{number}": b"progress"}, {}))
    for _ in range(MAX_COMMITS_IN_PROGRESS):
        running.posted.get(timeout=5.0)()
    assert running.finished == [True] * MAX_COMMITS_IN_PROGRESS


def test_rejected_commit_does_not_hold_up_the_next_ones():
    """A record that the store refuses is no sign of a store that fails."""
    running = RunningCommitter()
    running.store.max_value_bytes = 10
    rejected: list[Commit] = []
    running.committer._on_rejected = rejected.append
    large = Commit({"large": b"x" * 11}, {})
    assert not running.commit(large)
    assert rejected == [large]
    for number in range(MAX_COMMITS_IN_PROGRESS):
        assert running.committer.has_capacity
        running.committer.begin(Commit({f"job{number}": b"progress"}, {}))


def test_large_commits_are_spaced_by_their_size(monkeypatch):
    """Large records must not take the whole link of the VM."""
    running = RunningCommitter()
    now = read_clock()
    monkeypatch.setattr(_committer, "read_clock", lambda: now)
    running.committer.begin(Commit({"large": b"x" * 800_000}, {}))
    assert not running.committer.may_begin(now + 0.19)
    assert running.committer.may_begin(now + 0.21)
