"""Size limit of kept answers, and the digest that compares request bodies."""

from __future__ import annotations

from hashlib import blake2b

from papayadyke_core.journal import Answer

MAX_ANSWER_BYTES = 64 * 1024
_DIGEST_BYTES = 16


def body_digest(workload: str, body: bytes) -> bytes:
    """Return the digest of a workload and a request body, to recognise repeats."""
    digest = blake2b(workload.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b"\0")
    digest.update(body)
    return digest.digest()


def storable_answer(answer: Answer) -> Answer:
    """Return the answer, without its body if that is too large to keep."""
    if len(answer.body) <= MAX_ANSWER_BYTES:
        return answer
    return answer.without_body()
