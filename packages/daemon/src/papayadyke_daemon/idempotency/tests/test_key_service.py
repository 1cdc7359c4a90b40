import threading

import pytest

from papayadyke_clients.store import ErrorKind
from papayadyke_core.idempotency import ClaimKind
from papayadyke_core.jobs import TaskDone, TaskResult
from papayadyke_core.journal import Answer, partition_of
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.idempotency import KeyService, KeyServiceSettings
from papayadyke_daemon.journal import JournalSettings, JournalWriter
from papayadyke_standins.store import Faults, MemoryStore, StoreService

KEY = next(f"k{n}" for n in range(10_000) if partition_of(f"k{n}") == 0)
QUEUE_FULL_REFUSAL = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")


class _Vm:
    def __init__(self, store, name):
        self.task_result = TaskResult.LOST
        self.resolve_requested = threading.Event()
        self.journal = JournalWriter(
            MemoryStore(store, client=name), JournalSettings(vm=name, incarnation="1")
        )
        settings = KeyServiceSettings(
            append_wait_s=0.3, resolve_interval_s=0.05, holder_check_interval_s=0.02
        )
        self.lost_holders: set[str] = set()
        self.keys = KeyService(
            self.journal,
            settings,
            self._resolve,
            is_holder_lost=self.lost_holders.__contains__,
        )
        self.journal.start()
        self.keys.start()

    def _resolve(self, key, on_done):
        answer = Answer(200) if self.task_result is TaskResult.ANSWERED else None
        on_done(TaskDone(key.request_id, self.task_result, answer))
        self.resolve_requested.set()

    def take_over(self):
        self.keys.adopt(self.journal.take_over(0).unwrap())

    def claim(self, request_id, body=b"body"):
        return self.keys.claim(KEY, "w", body, request_id, holder="vm")

    def claim_until(self, kind, request_id):
        """Claim a key repeatedly until the result has the given kind."""
        for _ in range(2000):
            claimed = self.claim(request_id)
            if claimed.is_ok() and claimed.unwrap().kind is kind:
                return claimed.unwrap()
            threading.Event().wait(0.005)
        raise AssertionError(f"the key never became {kind}")


@pytest.fixture
def store():
    return StoreService()


@pytest.fixture
def vms(store):
    created = [_Vm(store, "vm1"), _Vm(store, "vm2")]
    created[0].take_over()
    yield created
    for vm in created:
        vm.journal.stop()
        vm.keys.stop()


def test_repeated_key_returns_the_first_answer_also_on_the_successor(vms):
    assert vms[0].claim("r1").unwrap().kind is ClaimKind.FIRST
    assert vms[0].claim("r2").unwrap().kind is ClaimKind.IN_PROGRESS
    assert vms[0].claim("r2", b"other").unwrap().kind is ClaimKind.CONFLICT
    answer = Answer(201, "text/plain", b"done")
    vms[0].keys.record(KEY, "r1", answer=answer)
    assert vms[0].claim_until(ClaimKind.ENDED, "r2").answer == answer
    vms[1].take_over()
    assert vms[1].claim("r3").unwrap().answer == answer


def test_request_that_did_not_run_releases_its_key(vms):
    vms[0].claim("r1")
    vms[0].keys.record(KEY, "r1", refusal=QUEUE_FULL_REFUSAL)
    assert vms[0].claim_until(ClaimKind.FIRST, "r2").request_id == "r2"


@pytest.mark.parametrize(
    "task_result, kind",
    [
        (TaskResult.ANSWERED, ClaimKind.ENDED),
        (TaskResult.STOPPED, ClaimKind.ENDED),
        (TaskResult.NOT_STARTED, ClaimKind.FIRST),
        (TaskResult.LOST, ClaimKind.UNRESOLVED),
    ],
)
def test_unresolved_request_of_a_lost_vm_is_resolved_by_the_upstreams(
    vms, task_result, kind
):
    vms[0].claim("r1")
    vms[1].task_result = task_result
    vms[1].take_over()
    assert vms[1].resolve_requested.wait(10)
    claim = vms[1].claim_until(kind, "r2")
    if task_result is TaskResult.STOPPED:
        assert claim.refusal.verdict is Verdict.MAY_HAVE_RUN


def test_fenced_vm_acknowledges_no_claim(vms):
    vms[1].take_over()
    # The first claim is fenced by the takeover; the key table is removed soon after.
    refusals = [vms[0].claim("r1").unwrap_err() for _ in range(100)]
    assert {refusal.verdict for refusal in refusals} == {Verdict.NOT_RUN}
    assert refusals[-1].reason is Reason.KEY_HOME_UNREACHABLE
    assert vms[1].claim("r2").unwrap().kind is ClaimKind.FIRST


def test_claim_in_a_store_outage_is_refused_as_not_run_and_withdrawn(vms, store):
    store.set_faults(Faults(down=True))
    refusal = vms[0].claim("r1").unwrap_err()
    assert (refusal.verdict, refusal.reason) == (
        Verdict.NOT_RUN,
        Reason.STORE_UNAVAILABLE,
    )
    store.set_faults(Faults())
    assert vms[0].claim_until(ClaimKind.FIRST, "r2").request_id == "r2"


def test_refused_claim_that_is_found_in_the_log_is_released(vms, store):
    store_write = store.write

    def write(key, act):
        result = store_write(key, act)
        if result.is_err() and result.unwrap_err().kind is ErrorKind.UNKNOWN:
            store.set_faults(Faults(down=True))
        return result

    store.write = write
    store.set_faults(Faults(lose_answers=1, prefix="log/"))
    refusal = vms[0].claim("r1").unwrap_err()
    assert refusal.verdict is Verdict.NOT_RUN
    store.set_faults(Faults())
    assert vms[0].claim_until(ClaimKind.FIRST, "r2").request_id == "r2"


def test_repeated_key_is_answered_during_a_store_outage(vms, store):
    vms[0].claim("r1")
    vms[0].keys.record(KEY, "r1", answer=Answer(200))
    vms[0].claim_until(ClaimKind.ENDED, "r2")
    store.set_faults(Faults(down=True))
    assert vms[0].claim("r3").unwrap().kind is ClaimKind.ENDED


def test_key_of_a_lost_holder_is_resolved_by_its_owner(vms):
    assert vms[0].claim("r1").unwrap().kind is ClaimKind.FIRST
    assert vms[0].claim("r2").unwrap().kind is ClaimKind.IN_PROGRESS
    assert not vms[0].resolve_requested.is_set()
    vms[0].lost_holders.add("vm")
    vms[0].claim_until(ClaimKind.UNRESOLVED, "r2")
    vms[0].task_result = TaskResult.ANSWERED
    assert vms[0].claim_until(ClaimKind.ENDED, "r2").request_id == "r1"


def test_key_of_a_lost_holder_is_released_if_the_request_never_started(vms):
    assert vms[0].claim("r1").unwrap().kind is ClaimKind.FIRST
    vms[0].task_result = TaskResult.NOT_STARTED
    vms[0].lost_holders.add("vm")
    assert vms[0].claim_until(ClaimKind.FIRST, "r2").request_id == "r2"
