import pytest

from papayadyke_core.idempotency import (
    MAX_ANSWER_BYTES,
    ClaimKind,
    KeyTable,
    body_digest,
    storable_answer,
)
from papayadyke_core.journal import Answer, KeyClaimed, KeyPlaced

DIGEST = body_digest("w", b"body")


def _claimed():
    table = KeyTable()
    assert table.claim("k", "w", DIGEST, "r1").kind is ClaimKind.FIRST
    table.apply(KeyClaimed("k", "w", DIGEST, "r1"), 0.0)
    return table


def test_second_claim_is_in_progress_until_the_first_outcome_is_logged():
    table = _claimed()
    assert table.claim("k", "w", DIGEST, "r2").kind is ClaimKind.IN_PROGRESS
    answer = Answer(201, "text/plain", b"done")
    entry = table.make_outcome_entry("k", "r1", answer=answer)
    assert table.claim("k", "w", DIGEST, "r2").kind is ClaimKind.IN_PROGRESS
    table.apply(entry, 1.0)
    claim = table.claim("k", "w", DIGEST, "r2")
    assert (claim.kind, claim.request_id) == (ClaimKind.ENDED, "r1")
    assert claim.answer == answer
    assert table.make_outcome_entry("k", "r1", answer=Answer(500)) is None


@pytest.mark.parametrize(
    "workload, body", [("w", b"other"), ("other", b"body"), ("wb", b"ody")]
)
def test_claim_with_another_body_or_workload_is_a_conflict(workload, body):
    claim = _claimed().claim("k", workload, body_digest(workload, body), "r2")
    assert claim.kind is ClaimKind.CONFLICT


def test_pending_claim_can_be_withdrawn_and_a_durable_one_cannot():
    table = KeyTable()
    table.claim("k", "w", DIGEST, "r1")
    table.withdraw("k", "r2")
    assert table.claim("k", "w", DIGEST, "r2").kind is ClaimKind.IN_PROGRESS
    table.withdraw("k", "r1")
    assert table.claim("k", "w", DIGEST, "r2").kind is ClaimKind.FIRST
    with pytest.raises(AssertionError):
        _claimed().withdraw("k", "r1")


def test_key_released_by_its_holder_can_be_claimed_again():
    table = _claimed()
    assert table.make_release_entry("k", "r2") is None
    table.apply(table.make_release_entry("k", "r1"), 1.0)
    assert table.claim("k", "w", DIGEST, "r2").kind is ClaimKind.FIRST


def test_recovered_key_without_an_outcome_is_unresolved():
    table = _claimed()
    table.apply(KeyPlaced("k", "r1", "u1"), 0.5)
    (unresolved,) = table.mark_recovered()
    assert (unresolved.key, unresolved.request_id, unresolved.upstream) == (
        "k",
        "r1",
        "u1",
    )
    assert table.claim("k", "w", DIGEST, "r2").kind is ClaimKind.UNRESOLVED
    table.apply(table.make_outcome_entry("k", "r1", answer=Answer(200)), 1.0)
    assert table.claim("k", "w", DIGEST, "r2").kind is ClaimKind.ENDED


def test_two_first_claims_in_a_log_raise():
    table = _claimed()
    with pytest.raises(AssertionError):
        table.apply(KeyClaimed("k", "w", DIGEST, "r2"), 1.0)


def test_oversized_answer_is_stored_without_its_body():
    answer = Answer(200, "text/plain", b"x" * (MAX_ANSWER_BYTES + 1))
    stored = storable_answer(answer)
    assert (stored.status, stored.kept, stored.body) == (200, False, b"")
    largest_kept = Answer(200, "text/plain", b"x" * MAX_ANSWER_BYTES)
    assert storable_answer(largest_kept) is largest_kept
