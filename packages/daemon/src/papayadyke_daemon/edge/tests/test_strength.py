"""Test the measure by which the decider is chosen."""

import pytest

from papayadyke_daemon.edge import measure_strength


@pytest.mark.parametrize(
    ("cores", "link_mbps", "expected"),
    [(2.15, 100, 2.15), (1.29, 5, 0.2), (0.8, 375, 0.8)],
)
def test_low_bandwidth_limits_the_strength(cores, link_mbps, expected):
    # Seen on brannock-quotes-grown: a VM with 1.29 cores and a 5 Mbit/s link became
    # the decider, and the other VMs got no answers from it.
    assert measure_strength(cores=cores, link_mbps=link_mbps) == pytest.approx(expected)
