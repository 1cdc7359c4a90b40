"""Which VM is fit to decide."""

import pytest

from papayadyke_daemon.edge import measure_strength


@pytest.mark.parametrize(
    ("cores", "link_mbps", "expected"),
    [(2.15, 100, 2.15), (1.29, 5, 0.2), (0.8, 375, 0.8)],
)
def test_a_narrow_link_makes_a_weak_decider(cores, link_mbps, expected):
    # Seen on brannock-quotes-grown: a VM of 1.29 cores on 5 Mbit/s decided, and the
    # others found it silent.
    assert measure_strength(cores=cores, link_mbps=link_mbps) == pytest.approx(expected)
