from papayadyke_core.refusals import RefusalLedger, RefusalSettings
from papayadyke_core.verdicts import Reason, Refusal, Verdict

FULL_REFUSAL = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")
EXPIRED_REFUSAL = Refusal(Verdict.NOT_RUN, Reason.EXPIRED, "late")


def test_counts_stay_exact_after_requests_are_dropped():
    ledger = RefusalLedger(settings=RefusalSettings(retention_s=60.0, max_retained=100))
    for index in range(1000):
        refusal = EXPIRED_REFUSAL if index % 4 == 0 else FULL_REFUSAL
        ledger.add(f"q{index}", "w", refusal, float(index) / 100)
    counts = {
        (count.workload, count.reason): count.requests for count in ledger.counts()
    }
    assert counts == {("w", Reason.QUEUE_FULL): 750, ("w", Reason.EXPIRED): 250}
    assert len(ledger) <= 100


def test_request_is_found_for_the_retention_time_and_dropped_after_twice_that():
    ledger = RefusalLedger(settings=RefusalSettings(retention_s=60.0))
    for second in range(1000):
        ledger.add(f"q{second}", "w", FULL_REFUSAL, float(second))
    assert ledger.find("q999") is FULL_REFUSAL
    assert ledger.find("q940") is FULL_REFUSAL
    assert ledger.find("q878") is None
    assert ledger.complete_since_s() <= 940.0


def test_ledger_reports_since_when_it_is_complete_after_a_flood():
    ledger = RefusalLedger(settings=RefusalSettings(retention_s=60.0, max_retained=100))
    for index in range(1000):
        ledger.add(f"q{index}", "w", FULL_REFUSAL, 100.0 + index / 1000)
    since_s = ledger.complete_since_s()
    retained = [
        request_index
        for request_index in range(1000)
        if ledger.find(f"q{request_index}") is not None
    ]
    assert min(retained) <= (since_s - 100.0) * 1000 + 1
    assert len(retained) == len(ledger)


def test_removed_request_is_not_found_but_remains_counted():
    ledger = RefusalLedger()
    ledger.add("q", "w", FULL_REFUSAL, 0.0)
    ledger.remove("q")
    assert ledger.find("q") is None
    assert sum(count.requests for count in ledger.counts()) == 1
