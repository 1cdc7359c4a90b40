"""Commits of the decider."""

import queue

from papayadyke_core.dispatch import Commit
from papayadyke_daemon.edge import StoreErrorKind, Write
from papayadyke_daemon.edge._committer import Committer
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    DECIDER_KEY,
    JOB_PREFIX,
    PROGRESS_PREFIX,
)
from papayadyke_daemon.edge.tests.fake_store import FakeStore

COMMIT = Commit({"job": b"progress"}, {"upstream": (1, 7)})


class Started:
    """A committer with its store; `finish` does what the decider's thread does."""

    def __init__(self):
        self.store = FakeStore()
        self.store.write([Write(DECIDER_KEY, b"")])
        self.posted: queue.Queue = queue.Queue()
        self.finished: list[bool] = []
        self.deposed: list[str] = []
        self.committer = Committer(
            self.store,
            token=self.store.records[DECIDER_KEY].revision,
            post=self.posted.put,
            finished=lambda commit, is_stored: self.finished.append(is_stored),
            depose=self.deposed.append,
        )
        self.committer.start()

    def commit(self, commit=COMMIT):
        self.committer.begin(commit)
        if commit.progress:
            self.posted.get(timeout=5.0)()
        return self.finished[-1]


def test_progress_is_stored_again_and_again():
    started = Started()
    assert started.commit()
    assert started.commit()
    assert started.store.records[PROGRESS_PREFIX + "job"].value == b"progress"


def test_one_commit_is_under_way_at_a_time():
    started = Started()
    assert started.committer.may_begin(0.0)
    started.committer.begin(COMMIT)
    assert not started.committer.may_begin(1e9)
    started.posted.get(timeout=5.0)()
    assert started.committer.may_begin(1e9)


def test_ends_without_progress_need_no_call():
    started = Started()
    calls = started.store.calls
    assert started.commit(Commit({}, {"upstream": (1, 7)}))
    assert started.store.calls == calls


def test_revision_after_a_lost_answer_is_learned_from_the_conflict():
    started = Started()
    started.store.fault = StoreErrorKind.UNKNOWN
    started.store.takes_effect = True
    assert not started.commit()
    started.store.fault = None
    assert not started.commit()
    assert started.commit()
    assert started.deposed == []


def test_later_decider_ends_the_term():
    started = Started()
    started.store.write([Write(DECIDER_KEY, b"other")])
    assert not started.commit()
    assert started.deposed == ["the store names another decider"]


def test_ended_job_leaves_only_its_progress():
    started = Started()
    started.store.write([Write(JOB_PREFIX + "job", b"")])
    started.store.write([Write(CANCEL_PREFIX + "job", b"")])
    assert started.commit(Commit({"job": b"progress"}, {}, ("job",)))
    assert set(started.store.records) == {DECIDER_KEY, PROGRESS_PREFIX + "job"}
