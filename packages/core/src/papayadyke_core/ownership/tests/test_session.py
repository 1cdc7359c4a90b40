from papayadyke_core.ownership import (
    OpenRefusal,
    OpenRequest,
    ReachabilitySettings,
    ReachabilityTracker,
    ReleaseRequest,
    RenewRequest,
    Session,
    SessionGate,
    SessionGrant,
    SessionRefusal,
    SessionSettings,
    SessionState,
    StartRefusal,
)

SETTINGS = SessionSettings(ttl_s=6.0, expiry_margin_s=0.5, max_clock_drift=0.01)
UPSTREAM_AHEAD_S = 1000.0


def test_unresponsive_upstream_is_unreachable_until_a_probe_succeeds():
    session = make_session()
    reach = ReachabilityTracker(settings=ReachabilitySettings())
    session.assign(5)
    for second in range(10):
        session.next_request(float(second))
        reach.update({"u": session.unanswered_s(float(second))}, float(second))
    assert reach.unreached() == frozenset()
    reach.update({"u": session.unanswered_s(10.0)}, 10.0)
    assert reach.unreached() == {"u"}
    session.hand_over()
    assert session.unanswered_s(11.0) == 0.0
    assert reach.next_due_probe(14.9) is None
    assert reach.next_due_probe(15.0) == "u"
    assert reach.next_due_probe(15.1) is None
    reach.record_probe_success("u")
    assert reach.unreached() == frozenset()


def make_session(gate=None, now=0.0):
    session = Session("u", vm="a", incarnation=7, settings=SETTINGS)
    if gate is not None:
        session.assign(5)
        exchange(session, gate, now)
    return session


def exchange(session, gate, now):
    request = session.next_request(now)
    if isinstance(request, OpenRequest):
        answer = gate.open(
            request.vm,
            request.incarnation,
            request.epoch,
            request.ttl_s,
            now + UPSTREAM_AHEAD_S,
        )
    else:
        answer = gate.renew(request.token, now + UPSTREAM_AHEAD_S)
    return session.apply_answer(request, answer, now + 0.1)


def test_unassigned_upstream_gets_no_request():
    session = make_session()
    assert session.next_request(0.0) is None
    assert not session.may_start(0.0)
    assert session.next_action_s(0.0) is None


def test_starts_are_permitted_until_the_margin_before_expiry():
    session = make_session(SessionGate())
    assert session.may_start(0.1)
    assert session.may_start(5.43)
    assert not session.may_start(5.44)


def test_pause_beyond_the_ttl_closes_the_session():
    session = make_session(SessionGate())
    assert session.may_start(1.0)
    assert not session.may_start(60.0)
    assert session.permit_start(60.0) is None
    assert isinstance(session.next_request(60.0), OpenRequest)
    assert session.state == SessionState.CLOSED


def test_renewal_keeps_the_session_and_its_token():
    gate = SessionGate()
    session = make_session(gate)
    assert session.next_request(1.9) is None
    assert session.next_action_s(1.9) == 6.0 * 0.99 / 3
    assert exchange(session, gate, 2.0) is False
    assert session.may_start(7.4)
    assert session.token == 1


def test_raising_the_epoch_keeps_the_token():
    gate = SessionGate()
    session = make_session(gate)
    session.assign(6)
    assert exchange(session, gate, 1.0) is False
    assert (session.token, gate.epoch) == (1, 6)
    session.assign(5)
    assert session.next_request(1.5) is None


def test_upstream_refuses_a_start_that_arrives_after_its_permit_expired():
    gate = SessionGate()
    session = make_session(gate)
    permit = session.permit_start(2.0)
    arrival_s = UPSTREAM_AHEAD_S + permit.refused_after_s * (
        1 - SETTINGS.max_clock_drift
    )
    late = gate.check_start(permit.token, permit.start_before_s, arrival_s)
    assert late == StartRefusal.TOO_LATE
    in_time = gate.check_start(
        permit.token, permit.start_before_s, UPSTREAM_AHEAD_S + 2.5
    )
    assert in_time is None


def test_request_is_retried_after_a_lost_answer_and_a_late_answer_is_ignored():
    session = make_session()
    session.assign(5)
    first = session.next_request(0.0)
    assert session.next_request(0.5) is None
    second = session.next_request(1.0)
    assert not session.apply_answer(first, SessionGrant(1, 5, 6.0, 0.0), 1.1)
    assert session.state == SessionState.CLOSED
    assert not session.apply_answer(second, None, 1.2)
    assert session.next_request(1.3) is None
    third = session.next_request(1.7)
    assert session.apply_answer(third, SessionGrant(1, 5, 6.0, 0.0), 1.8)


def test_superseded_owner_closes_its_session():
    gate = SessionGate()
    session = make_session(gate)
    gate.open("b", 1, 6, 6.0, UPSTREAM_AHEAD_S + 1)
    exchange(session, gate, 2.0)
    assert session.state == SessionState.CLOSED
    assert not session.may_start(2.1)


def test_refusal_naming_another_holder_closes_the_session():
    session = make_session()
    session.assign(5)
    request = session.next_request(0.0)
    session.apply_answer(request, SessionRefusal(OpenRefusal.HELD, 5, "b", 3.0), 0.1)
    assert session.state == SessionState.CLOSED
    assert session.next_request(0.2) is None
    assert isinstance(session.next_request(0.7), OpenRequest)


def test_handover_releases_the_session_once_no_start_is_in_flight():
    session = make_session(SessionGate())
    refused_after_s = session.permit_start(1.0).refused_after_s
    session.hand_over()
    assert not session.may_start(1.0)
    assert session.state == SessionState.HANDING_OVER
    assert session.next_request(1.0) is None
    assert session.next_action_s(1.0) == refused_after_s
    assert session.next_request(refused_after_s) == ReleaseRequest("u", 1)
    assert session.next_request(refused_after_s) is None


def test_session_granted_after_handover_is_released():
    session = make_session()
    session.assign(5)
    request = session.next_request(0.0)
    session.hand_over()
    session.apply_answer(request, SessionGrant(3, 5, 6.0, 0.0), 0.1)
    assert not session.may_start(0.1)
    assert session.next_request(0.2) == ReleaseRequest("u", 3)


def test_one_request_is_in_flight_at_a_time():
    session = make_session(SessionGate())
    assert isinstance(session.next_request(2.0), RenewRequest)
    assert session.next_request(2.1) is None


def test_stale_start_refusal_closes_only_the_session_of_its_token():
    session = make_session(SessionGate())
    session.record_start_refusal(1, StartRefusal.TOO_LATE)
    session.record_start_refusal(0, StartRefusal.STALE_TOKEN)
    assert session.may_start(0.1)
    session.record_start_refusal(1, StartRefusal.STALE_TOKEN)
    assert not session.may_start(0.1)
