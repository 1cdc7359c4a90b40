from papayadyke_core.refusals import RefusalLedger, RefusalSettings
from papayadyke_core.verdicts import Reason, Refusal, Verdict

FULL = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")
LATE = Refusal(Verdict.NOT_RUN, Reason.EXPIRED, "late")


def test_counts_are_exact_after_the_requests_are_forgotten():
    ledger = RefusalLedger(settings=RefusalSettings(kept_s=60.0, max_kept=100))
    for number in range(1000):
        refusal = LATE if number % 4 == 0 else FULL
        ledger.add(f"q{number}", "w", refusal, float(number) / 100)
    counts = {(item.workload, item.reason): item.requests for item in ledger.counts()}
    assert counts == {("w", Reason.QUEUE_FULL): 750, ("w", Reason.EXPIRED): 250}
    assert len(ledger) <= 100


def test_request_is_found_for_the_stated_time_and_forgotten_after_twice_that():
    ledger = RefusalLedger(settings=RefusalSettings(kept_s=60.0))
    for second in range(1000):
        ledger.add(f"q{second}", "w", FULL, float(second))
    assert ledger.find("q999") is FULL
    assert ledger.find("q940") is FULL
    assert ledger.find("q878") is None
    assert ledger.complete_since_s() <= 940.0


def test_ledger_tells_since_when_it_is_complete_after_a_flood():
    ledger = RefusalLedger(settings=RefusalSettings(kept_s=60.0, max_kept=100))
    for number in range(1000):
        ledger.add(f"q{number}", "w", FULL, 100.0 + number / 1000)
    since_s = ledger.complete_since_s()
    kept = [n for n in range(1000) if ledger.find(f"q{n}") is not None]
    assert min(kept) <= (since_s - 100.0) * 1000 + 1
    assert len(kept) == len(ledger)


def test_removed_request_is_not_found_but_stays_counted():
    ledger = RefusalLedger()
    ledger.add("q", "w", FULL, 0.0)
    ledger.remove("q")
    assert ledger.find("q") is None
    assert sum(item.requests for item in ledger.counts()) == 1
