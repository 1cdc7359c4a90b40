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


def highest_ranked(vms):
    return rank_owners("record", [Owner(vm, 4) for vm in vms])[0]


def run_until_proposal(proposer, record, snapshot, start, seconds):
    for tenth in range(int(seconds * 10)):
        now = start + tenth / 10
        proposal = proposer.propose(record, snapshot, now)
        if proposal is not None:
            return now - start, proposal
    return None


def make_proposer(vms):
    return RecordProposer(highest_ranked(vms), settings=ProposalSettings())


def test_zone_without_a_record_gets_one_after_the_stable_time():
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=MemberState.JOINING)
    after_s, proposal = run_until_proposal(make_proposer("ab"), None, snapshot, 0.0, 10)
    assert (after_s, proposal) == (3.0, make_record(1, "ab"))


def test_changes_are_at_least_one_interval_apart():
    proposer = make_proposer("abc")
    before = make_record(5, "abcd")
    assert (
        run_until_proposal(
            proposer, before, make_snapshot(a=LIVE, b=LIVE, c=LIVE), 0, 9.9
        )
        is None
    )
    after_s, proposal = run_until_proposal(
        proposer, before, make_snapshot(a=LIVE, b=LIVE, c=LIVE), 9.9, 60
    )
    assert proposal == make_record(6, "abc")
    assert after_s < 1
    newer = make_record(6, "abc")
    rejoined = make_snapshot(a=LIVE, b=LIVE, c=LIVE, d=LIVE)
    assert run_until_proposal(proposer, newer, rejoined, 10.0, 9.9) is None


def test_lower_ranked_vm_waits_longer_before_writing():
    snapshot = make_snapshot(a=LIVE, b=LIVE)
    lower_ranked = next(vm for vm in "ab" if vm != highest_ranked("ab"))
    proposer = RecordProposer(lower_ranked, settings=ProposalSettings())
    after_s, _ = run_until_proposal(proposer, None, snapshot, 0.0, 20)
    assert after_s == 5.0


def test_constantly_changing_members_delay_the_record_for_a_limited_time():
    proposer = make_proposer("ab")
    states = [make_snapshot(a=LIVE, b=LIVE), make_snapshot(a=LIVE, b=LIVE, c=LIVE)]
    proposals = [proposer.propose(None, states[i % 2], float(i)) for i in range(36)]
    assert proposals[:30] == [None] * 30
    assert any(proposals)


def test_losing_half_of_the_owners_waits_for_the_mass_removal_time():
    proposer = make_proposer("ab")
    record = make_record(5, "abcd")
    proposer.propose(record, make_snapshot(a=LIVE, b=LIVE, c=LIVE, d=LIVE), -100.0)
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=DEAD, d=DEAD)
    assert run_until_proposal(proposer, record, snapshot, 0.0, 59) is None
    assert run_until_proposal(proposer, record, snapshot, 59.0, 10) is not None


def test_half_of_the_owners_leaving_is_written_without_the_mass_removal_wait():
    proposer = make_proposer("ab")
    record = make_record(5, "abcd")
    leaving = MemberState.LEAVING
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=leaving, d=leaving)
    proposer.propose(record, snapshot, -100.0)
    after_s, proposal = run_until_proposal(proposer, record, snapshot, 0.0, 20)
    assert proposal == make_record(6, "ab")
    assert after_s == 0.0


def test_unsettled_snapshot_writes_nothing():
    snapshot = make_snapshot(is_settled=False, a=LIVE, b=LIVE)
    assert run_until_proposal(make_proposer("ab"), None, snapshot, 0.0, 60) is None


def test_interval_grows_while_changes_are_reverted():
    proposer = make_proposer("abc")
    snapshot = make_snapshot(a=LIVE, b=LIVE, c=LIVE)
    now, waits_s = 0.0, []
    epoch = 5
    for _ in range(5):
        waited_s, proposal = run_until_proposal(
            proposer, make_record(epoch, "abcd"), snapshot, now, 600
        )
        now += waited_s
        waits_s.append(waited_s)
        epoch = proposal.epoch + 1
    assert waits_s[-1] > 4 * waits_s[0]


def test_suspected_vm_stays_available_but_does_not_become_an_owner():
    proposer = make_proposer("ab")
    suspected = MemberState.SUSPECTED
    snapshot = make_snapshot(a=LIVE, b=suspected, c=suspected)
    assert available_owners(snapshot) == {"a": 4, "b": 4, "c": 4}
    assert run_until_proposal(proposer, make_record(5, "ab"), snapshot, 0.0, 60) is None
