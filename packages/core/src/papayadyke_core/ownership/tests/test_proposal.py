from papayadyke_core.membership import Load, Member, MemberState, Snapshot
from papayadyke_core.ownership import (
    Owner,
    ProposalSettings,
    RecordProposer,
    ZoneRecord,
    available_owners,
    rank_owners,
)

LIVE, DEAD = MemberState.LIVE, MemberState.DEAD


def make_snapshot(is_settled=True, **states):
    members = tuple(
        Member(vm, 1, "10.0.0.1:1", 4, state, 0, Load(), 0.0)
        for vm, state in sorted(states.items())
    )
    return Snapshot(members, (), is_settled, False)


def make_record(epoch, vms):
    return ZoneRecord(epoch, tuple(Owner(vm, 4) for vm in sorted(vms)))


def first_of(vms):
    return rank_owners("record", [Owner(vm, 4) for vm in vms])[0]


def run(proposer, record, snapshot, start, seconds):
    for tenth in range(int(seconds * 10)):
        now = start + tenth / 10
        proposal = proposer.propose(record, snapshot, now)
        if proposal is not None:
            return now - start, proposal
    return None


def make_proposer(vms):
    return RecordProposer(first_of(vms), settings=ProposalSettings())


def test_a_zone_without_record_gets_its_first():
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=MemberState.JOINING)
    after_s, proposal = run(make_proposer("ab"), None, snapshot, 0.0, 10)
    assert (after_s, proposal) == (3.0, make_record(1, "ab"))


def test_a_stable_change_is_written_once_per_interval():
    proposer = make_proposer("abc")
    before = make_record(5, "abcd")
    assert run(proposer, before, make_snapshot(a=LIVE, b=LIVE, c=LIVE), 0, 9.9) is None
    after_s, proposal = run(
        proposer, before, make_snapshot(a=LIVE, b=LIVE, c=LIVE), 9.9, 60
    )
    assert proposal == make_record(6, "abc")
    assert after_s < 1
    newer = make_record(6, "abc")
    rejoined = make_snapshot(a=LIVE, b=LIVE, c=LIVE, d=LIVE)
    assert run(proposer, newer, rejoined, 10.0, 9.9) is None


def test_one_vm_writes_and_the_others_wait_their_turn():
    snapshot = make_snapshot(a=LIVE, b=LIVE)
    later = next(vm for vm in "ab" if vm != first_of("ab"))
    proposer = RecordProposer(later, settings=ProposalSettings())
    after_s, _ = run(proposer, None, snapshot, 0.0, 20)
    assert after_s == 5.0


def test_members_that_change_all_the_time_do_not_hold_it_up_for_ever():
    proposer = make_proposer("ab")
    states = [make_snapshot(a=LIVE, b=LIVE), make_snapshot(a=LIVE, b=LIVE, c=LIVE)]
    proposals = [proposer.propose(None, states[i % 2], float(i)) for i in range(36)]
    assert proposals[:30] == [None] * 30
    assert any(proposals)


def test_a_vm_that_is_perhaps_cut_off_itself_waits_long():
    proposer = make_proposer("ab")
    record = make_record(5, "abcd")
    proposer.propose(record, make_snapshot(a=LIVE, b=LIVE, c=LIVE, d=LIVE), -100.0)
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=DEAD, d=DEAD)
    assert run(proposer, record, snapshot, 0.0, 59) is None
    assert run(proposer, record, snapshot, 59.0, 10) is not None


def test_planned_leaving_of_many_does_not_wait():
    proposer = make_proposer("ab")
    record = make_record(5, "abcd")
    leaving = MemberState.LEAVING
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=leaving, d=leaving)
    proposer.propose(record, snapshot, -100.0)
    after_s, proposal = run(proposer, record, snapshot, 0.0, 20)
    assert proposal == make_record(6, "ab")
    assert after_s == 0.0


def test_an_unsettled_vm_writes_nothing():
    snapshot = make_snapshot(is_settled=False, a=LIVE, b=LIVE)
    assert run(make_proposer("ab"), None, snapshot, 0.0, 60) is None


def test_vms_that_undo_each_other_slow_down():
    proposer = make_proposer("abc")
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=LIVE)
    now, gaps = 0.0, []
    epoch = 5
    for _ in range(5):
        waited, proposal = run(proposer, make_record(epoch, "abcd"), snapshot, now, 600)
        now += waited
        gaps.append(waited)
        epoch = proposal.epoch + 1
    assert gaps[-1] > 4 * gaps[0]


def test_a_suspected_vm_keeps_what_it_has_but_is_not_added():
    proposer = make_proposer("ab")
    suspected = MemberState.SUSPECTED
    snapshot = make_snapshot(a=LIVE, b=suspected, c=suspected)
    assert available_owners(snapshot) == {"a": 4, "b": 4, "c": 4}
    assert run(proposer, make_record(5, "ab"), snapshot, 0.0, 60) is None
