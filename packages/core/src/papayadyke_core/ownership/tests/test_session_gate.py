from papayadyke_core.ownership import (
    OpenRefusal,
    SessionGate,
    SessionGrant,
    SessionRefusal,
    StartRefusal,
)


def token_of(answer):
    assert isinstance(answer, SessionGrant)
    return answer.token


def reason_of(answer):
    assert isinstance(answer, SessionRefusal)
    return answer.reason


def holder_of(answer):
    assert isinstance(answer, SessionRefusal)
    return answer.holder


def test_only_one_session_is_valid_at_a_time():
    gate = SessionGate()
    first = gate.open("a", 1, 5, 6.0, 0.0)
    assert first == SessionGrant(token=1, epoch=5, ttl_s=6.0, upstream_now_s=0.0)
    refused = gate.open("b", 1, 5, 6.0, 2.0)
    assert refused == SessionRefusal(OpenRefusal.HELD, 5, "a", 4.0)
    assert gate.check_start(1, 9.0, 5.9) is None


def test_expired_session_is_taken_over_at_the_same_or_a_higher_epoch_only():
    gate = SessionGate()
    gate.open("a", 1, 5, 6.0, 0.0)
    assert gate.open("b", 1, 4, 6.0, 6.0) == SessionRefusal(OpenRefusal.STALE_EPOCH, 5)
    assert token_of(gate.open("b", 1, 5, 6.0, 6.0)) == 2
    assert gate.check_start(1, 99.0, 6.0) == StartRefusal.STALE_TOKEN
    assert holder_of(gate.renew(1, 6.0)) == "b"


def test_higher_epoch_takes_over_at_once():
    gate = SessionGate()
    gate.open("a", 1, 5, 6.0, 0.0)
    assert token_of(gate.open("b", 1, 6, 6.0, 0.1)) == 2
    assert reason_of(gate.open("a", 1, 5, 6.0, 0.2)) == OpenRefusal.STALE_EPOCH
    assert gate.holder(0.2) == "b"


def test_holder_keeps_its_token_when_only_the_epoch_changes():
    gate = SessionGate()
    gate.open("a", 1, 5, 6.0, 0.0)
    assert token_of(gate.open("a", 1, 6, 6.0, 1.0)) == 1
    assert reason_of(gate.open("b", 1, 5, 6.0, 99.0)) == OpenRefusal.STALE_EPOCH


def test_restarted_vm_supersedes_its_earlier_incarnation():
    gate = SessionGate()
    gate.open("a", 1, 5, 6.0, 0.0)
    assert token_of(gate.open("a", 2, 5, 6.0, 1.0)) == 2
    assert reason_of(gate.open("a", 1, 5, 6.0, 1.0)) == OpenRefusal.STALE_INCARNATION
    assert gate.check_start(1, 9.0, 1.0) == StartRefusal.STALE_TOKEN


def test_late_starts_and_starts_after_expiry_are_refused():
    gate = SessionGate()
    gate.open("a", 1, 5, 6.0, 0.0)
    assert gate.check_start(1, 2.0, 2.0) == StartRefusal.TOO_LATE
    assert gate.check_start(1, float("nan"), 2.0) == StartRefusal.TOO_LATE
    assert gate.check_start(1, 99.0, 6.0) == StartRefusal.LAPSED
    assert reason_of(gate.renew(1, 6.0)) == OpenRefusal.LAPSED
    assert token_of(gate.open("a", 1, 5, 6.0, 7.0)) == 2


def test_renewal_extends_and_release_ends_the_session():
    gate = SessionGate(first_token=40)
    gate.open("a", 1, 5, 6.0, 0.0)
    assert gate.renew(40, 5.0) == SessionGrant(40, 5, 6.0, 5.0)
    assert gate.check_start(40, 99.0, 10.9) is None
    assert not gate.release(39)
    assert gate.release(40)
    assert gate.check_start(40, 99.0, 10.9) == StartRefusal.STALE_TOKEN
    assert token_of(gate.open("b", 1, 5, 6.0, 11.0)) == 41


def test_time_to_live_out_of_range_is_refused():
    gate = SessionGate()
    for ttl_s in (0.0, -1.0, float("nan"), float("inf")):
        assert reason_of(gate.open("a", 1, 1, ttl_s, 0.0)) == OpenRefusal.BAD_TTL
    assert gate.holder(0.0) is None
