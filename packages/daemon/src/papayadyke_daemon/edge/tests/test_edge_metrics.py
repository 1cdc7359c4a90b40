"""Test the text format of the metrics."""

from papayadyke_daemon.edge._metrics import EdgeMetrics


def test_counters_are_rendered_with_their_labels():
    metrics = EdgeMetrics()
    metrics.count("papayadyke_starts", outcome="started")
    metrics.count("papayadyke_starts", 2, outcome="started")
    assert b'papayadyke_starts_total{outcome="started"} 3\n' in metrics.render()


def test_histogram_counts_each_duration_in_all_buckets_above_it():
    metrics = EdgeMetrics()
    metrics.observe("papayadyke_commit_seconds", 0.004)
    metrics.observe("papayadyke_commit_seconds", 60.0)
    text = metrics.render().decode()
    assert 'papayadyke_commit_seconds_bucket{le="0.002"} 0\n' in text
    assert 'papayadyke_commit_seconds_bucket{le="0.005"} 1\n' in text
    assert 'papayadyke_commit_seconds_bucket{le="+Inf"} 2\n' in text
    assert "papayadyke_commit_seconds_sum 60.004000\n" in text
    assert "papayadyke_commit_seconds_count 2\n" in text


def test_gauge_shows_its_last_value_without_the_suffix_of_counters():
    """A gauge that is rendered as a counter would be read as a rate."""
    metrics = EdgeMetrics()
    metrics.set_gauge("papayadyke_config_version", 4)
    metrics.set_gauge("papayadyke_config_version", 7)
    assert metrics.render() == b"papayadyke_config_version 7\n"
