"""Test when a decider may continue without the store."""

from papayadyke_daemon.edge._reports import StoreReport, StoreReports


def make_reports(*lost_store, received_s=10.0, decider=5):
    reports = StoreReports()
    for number, has_lost in enumerate(lost_store):
        reports.record(f"vm-{number}", StoreReport(received_s, has_lost, decider))
    return reports


def test_decider_continues_while_all_other_vms_have_lost_the_store():
    assert make_reports(True, True).is_store_lost_for_peers(10.2, token=5, vms=2)


def test_one_vm_that_reaches_the_store_stops_the_decider():
    assert not make_reports(True, True, False).is_store_lost_for_peers(
        10.2, token=5, vms=3
    )


def test_decider_without_enough_heartbeats_stops():
    # Seen on limonadi-ajo trouble-2: a new decider with slow renewals continued
    # without a lease, and its successor started the same task.
    assert not make_reports().is_store_lost_for_peers(10.2, token=5, vms=0)
    assert not make_reports(True).is_store_lost_for_peers(10.2, token=5, vms=7)


def test_decider_that_is_cut_off_with_one_of_two_zones_stops():
    """Failure: the other zone elects a decider, and both act."""
    reports = make_reports(*[True] * 17)
    assert not reports.is_store_lost_for_peers(10.2, token=5, vms=34)


def test_silent_vms_count_against_continuing():
    reports = make_reports(True, True, True)
    reports.record("vm-0", StoreReport(14.9, True, 5))
    assert not reports.is_store_lost_for_peers(15.0, token=5, vms=3)


def test_one_vm_that_follows_a_later_decider_stops_the_decider():
    assert not make_reports(True, True, decider=6).is_store_lost_for_peers(
        10.2, token=5, vms=2
    )
