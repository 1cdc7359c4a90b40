"""What a decider has learned of run times reaches its successor.

Without the record, or with an unreadable one, a decider begins with the estimates.
"""

import logging
from types import SimpleNamespace

import pytest

from papayadyke_core.dispatch import Catalog, QueuePolicy, decode_learned
from papayadyke_daemon.edge import StoreErrorKind, Write
from papayadyke_daemon.edge import _learned as learned_module
from papayadyke_daemon.edge._keys import DECIDER_KEY, LEARNED_KEY
from papayadyke_daemon.edge._learned import WRITE_INTERVAL_S
from papayadyke_daemon.edge._metrics import EdgeMetrics
from papayadyke_daemon.edge.tests.deciders import make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore
from papayadyke_daemon.edge.tests.history_world import InlineThread

QUEUE = QueuePolicy("queue", "host", "/q/", "service")
CATALOG = Catalog(1, {QUEUE.key: QUEUE})
RATIO = 1.0  # logarithm of run time to estimate
# Seconds; later than the clock, by which the decider also steps when it gets a message.
NOW_S = 1e9


@pytest.fixture
def metrics(monkeypatch):
    """Run background writes at once, and return the metrics of the test alone."""
    monkeypatch.setattr(
        learned_module, "threading", SimpleNamespace(Thread=InlineThread)
    )
    metrics = EdgeMetrics()
    monkeypatch.setattr(learned_module, "METRICS", metrics)
    return metrics


def begin_term(store):
    """Return a loaded decider that holds the decider's key."""
    token = store.write([Write(DECIDER_KEY, b"")]).ok_value
    decider = make_decider(store, token=token)
    assert decider.load(CATALOG)
    return decider


def learn(decider, runs=40):
    run_times = decider._dispatcher.run_times
    for _ in range(runs):
        run_times._get_queue(QUEUE.key).add(RATIO, 1.0)
        run_times.changes += 1


def write(decider, after_s):
    decider._learned.update(NOW_S + after_s)
    decider._mailbox.pump()


def test_successor_loads_what_was_learned(metrics):
    store = FakeStore()
    decider = begin_term(store)
    learn(decider)
    write(decider, 0.0)
    successor = begin_term(store)
    factor = decider._dispatcher.get_estimate_factor(QUEUE.key)
    assert factor > 2.0
    loaded = successor._dispatcher.get_estimate_factor(QUEUE.key)
    assert loaded == pytest.approx(factor, rel=0.01)


@pytest.mark.parametrize("data", [b"", b"{]", b'{"queues":{"a":[1,2]}}', None])
def test_term_begins_with_the_estimates_without_a_valid_record(metrics, caplog, data):
    store = FakeStore()
    if data is not None:
        store.write([Write(LEARNED_KEY, data)])
    with caplog.at_level(logging.INFO):
        decider = begin_term(store)
    assert decider._dispatcher.get_estimate_factor(QUEUE.key) == 1.0
    assert "learned run times" in caplog.text


def test_record_is_written_at_most_every_five_seconds_and_if_it_changed(metrics):
    store = FakeStore()
    decider = begin_term(store)
    write(decider, 0.0)
    assert LEARNED_KEY not in store.records
    revisions = []
    for after_s in (6.0, 7.0, 6.0 + WRITE_INTERVAL_S, 30.0):
        if after_s < 30.0:
            learn(decider)
        write(decider, after_s)
        revisions.append(store.records[LEARNED_KEY].revision)
    assert revisions[0] == revisions[1] < revisions[2] == revisions[3]


def test_earlier_decider_does_not_replace_what_its_successor_stored(metrics):
    store = FakeStore()
    earlier = begin_term(store)
    successor = begin_term(store)
    learn(successor)
    write(successor, 0.0)
    stored = store.records[LEARNED_KEY]
    learn(earlier, runs=3)
    write(earlier, 0.0)
    assert store.records[LEARNED_KEY] == stored


def test_record_is_written_again_after_the_store_failed(metrics):
    store = FakeStore()
    decider = begin_term(store)
    learn(decider)
    store.fault = StoreErrorKind.NOT_DONE
    write(decider, 0.0)
    assert LEARNED_KEY not in store.records
    store.fault = None
    write(decider, 1.0)
    assert LEARNED_KEY not in store.records
    write(decider, 6.0)
    assert decode_learned(store.records[LEARNED_KEY].value or b"").queues


def test_ratio_is_a_metric_and_large_changes_are_logged(metrics, caplog):
    decider = begin_term(FakeStore())
    learn(decider)
    with caplog.at_level(logging.INFO):
        write(decider, 0.0)
        learn(decider, runs=1)
        write(decider, 6.0)
    assert caplog.text.count("run times changed") == 1
    name = b'papayadyke_estimate_factor{queue="host/q/"} 2.'
    assert name in metrics.render()
    decider._learned.clear_metrics()
    assert name not in metrics.render()
