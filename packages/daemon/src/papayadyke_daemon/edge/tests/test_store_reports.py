"""When a decider may go on without the store."""

from papayadyke_daemon.edge._reports import StoreReport, StoreReports


def make_reports(*said, heard_s=10.0, decider=5):
    reports = StoreReports()
    for number, has_lost in enumerate(said):
        reports.note(f"vm-{number}", StoreReport(heard_s, has_lost, decider))
    return reports


def test_goes_on_while_all_others_have_lost_the_store():
    assert make_reports(True, True).is_lost_for_all(10.2, token=5, vms=2)


def test_one_vm_that_reaches_the_store_is_enough_to_stop():
    assert not make_reports(True, True, False).is_lost_for_all(10.2, token=5, vms=3)


def test_a_decider_that_nobody_has_greeted_stops():
    # Seen on limonadi-ajo trouble-2: a new decider whose renewals were slow went
    # on without a lease, and its successor started the same task.
    assert not make_reports().is_lost_for_all(10.2, token=5, vms=0)
    assert not make_reports(True).is_lost_for_all(10.2, token=5, vms=7)


def test_silent_vms_count_against():
    reports = make_reports(True, True, True)
    reports.note("vm-0", StoreReport(14.9, True, 5))
    assert not reports.is_lost_for_all(15.0, token=5, vms=3)


def test_a_vm_that_follows_a_later_decider_is_enough_to_stop():
    assert not make_reports(True, True, decider=6).is_lost_for_all(10.2, token=5, vms=2)
