import base64
import itertools
import threading
import time

import pytest
from result import Ok

from papayadyke_clients.http import (
    BodyError,
    CloseConnection,
    HttpExchange,
    HttpRequest,
    HttpServer,
)
from papayadyke_clients.keys import (
    Authenticator,
    KeyEntry,
    KeyFile,
    Keyring,
    format_seal,
)
from papayadyke_clients.operators import (
    CHANGES_PATH,
    CONFIG_PATH,
    SEAL_HEADER,
    ConfigView,
    Explanation,
    OperatorsClient,
    OperatorsProblem,
    OperatorsSettings,
    ProblemCode,
    RefusedRequest,
    RefusedView,
    StatusView,
    decode_json,
    signed_bytes,
)
from papayadyke_core.configuration import (
    ConfigLog,
    PutTeam,
    SwitchPreset,
    encode_change,
)
from papayadyke_core.slo import Observation, Recorder, make_report
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import SloTarget, TeamModel
from papayadyke_daemon.configuration import (
    Accepted,
    ConfigRepository,
    ConfigWriter,
    ConfigWriterSettings,
)
from papayadyke_daemon.operators import OPERATORS_LIMITS, OperatorsApp
from papayadyke_daemon.operators._app import MAX_CONCURRENT_CHANGES
from papayadyke_standins.store import Faults, MemoryStore, StoreService


def make_keys(text):
    secret = base64.b64encode(text.encode() * 16).decode()
    return KeyFile(keys=(KeyEntry(id="k1", secret=secret),))


SENDER_NUMBERS = itertools.count()
KEYS, OTHER_KEYS = make_keys("a"), make_keys("b")


BURN_AT_UNIX_S = 1_800_000_030.0


def make_buckets():
    recorder = Recorder("vm-1", 1)
    queue_full = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")
    for refusal in (None, None, None, queue_full):
        recorder.observe(
            Observation(
                request_id="r1",
                workload="rcd-check",
                at=BURN_AT_UNIX_S,
                wait_s=0.02,
                refusal=refusal,
                target=SloTarget(),
                preset="peak",
                revision=3,
            )
        )
    return recorder.take_closed_buckets(BURN_AT_UNIX_S, is_last=True)


class Backend:
    def __init__(self):
        self.list_refused_args = None

    def read_burn(self, window_s):
        return Ok(make_report(make_buckets(), [], at=BURN_AT_UNIX_S, window_s=window_s))

    def read_status(self):
        return StatusView(vm="vm-1", config_revision=0, in_force="ordinary")

    def explain(self, request_id):
        if request_id != "r1":
            return None
        return Explanation(
            request_id="r1", workload="w", state="refused", lines=["It waited."]
        )

    def list_refused(self, workload, *, since_unix_s, limit):
        self.list_refused_args = (workload, since_unix_s, limit)
        refused = RefusedRequest(
            request_id="r1",
            workload=workload,
            at_unix_s=5.0,
            verdict=Verdict.NOT_RUN,
            reason=Reason.QUEUE_FULL,
            detail="The queue is full.",
        )
        return RefusedView(counts=[], requests=[refused])


class Vm:
    """Run the operators' listener of one VM on the loopback interface."""

    def __init__(self, service):
        self.log = ConfigLog()
        self.backend = Backend()
        self.answers_to_lose = 0
        writer = ConfigWriter(
            ConfigRepository(MemoryStore(service)),
            get_state=lambda: self.log.state,
            on_entries=self.log.apply_entries,
            settings=ConfigWriterSettings(submit_timeout_s=0.2),
        )
        self.app = OperatorsApp(
            authenticator=make_authenticator("vm", KEYS),
            state=lambda: self.log.state,
            submit=writer.submit,
            backend=self.backend,
        )
        self.server = HttpServer(self.handle, limits=OPERATORS_LIMITS)
        self.server.start()

    def handle(self, req):
        answer = self.app.handle(req)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise CloseConnection
        return answer


def make_authenticator(sender, keys):
    return Authenticator(
        Keyring(keys), sender=sender, incarnation=1, started_unix_s=time.time() - 1
    )


@pytest.fixture
def cell():
    service = StoreService()
    vms = [Vm(service), Vm(service)]
    yield service, vms
    threads = [threading.Thread(target=vm.server.stop) for vm in vms]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def connect(vms, keys=KEYS, **options):
    addresses = tuple(vm.server.address for vm in vms)
    return OperatorsClient(OperatorsSettings(addresses=addresses, keys=keys, **options))


def team(id="c1", **options):
    return PutTeam(id=id, author="aino", team=TeamModel(name="kids"), **options)


def test_change_is_accepted_and_shown(cell):
    _, vms = cell
    client = connect(vms)
    assert client.submit(team()).unwrap().revision == 1
    view = client.read_config().unwrap()
    assert isinstance(view, ConfigView)
    assert view.teams[0].stamp.author == "aino"
    assert view.to_model().teams == (TeamModel(name="kids"),)


def test_conflict_names_the_winner(cell):
    _, vms = cell
    client = connect(vms)
    client.submit(team()).unwrap()
    problem = client.submit(team("c2", expected=0)).unwrap_err()
    assert problem.code is ProblemCode.CONFLICT
    assert (problem.winner.author, problem.winner.change_id) == ("aino", "c1")


def test_invalid_change_names_its_fields(cell):
    _, vms = cell
    switch = SwitchPreset(id="s", author="aino", preset="nope")
    problem = connect(vms).submit(switch).unwrap_err()
    assert problem.code is ProblemCode.INVALID
    assert problem.fields[0].message == "there is no preset nope"


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_change_whose_answer_was_lost_takes_effect_once(cell, lost):
    _, vms = cell
    vms[0].answers_to_lose = lost
    vms[1].answers_to_lose = lost - 1
    result = connect(vms).submit(team(expected=0)).unwrap()
    assert result.revision == 1
    assert connect(vms[1:]).submit(team()).unwrap().revision == 1


def test_lost_answer_that_cannot_be_resolved_is_reported(cell):
    service, vms = cell
    vms[0].answers_to_lose = 10**6
    client = connect(vms[:1], change_timeout_s=0.5)
    problem = client.submit(team()).unwrap_err()
    assert problem.code is ProblemCode.UNRESOLVED
    assert "--change-id c1" in problem.detail
    assert service.state.revision == 1


def test_store_outage_is_reported_and_changes_nothing(cell):
    service, vms = cell
    service.set_faults(Faults(down=True))
    problem = connect(vms).submit(team()).unwrap_err()
    assert problem.code is ProblemCode.UNAVAILABLE
    assert service.state.revision == 0
    assert connect(vms).read_status().unwrap().vm == "vm-1"


def test_blocked_changes_leave_threads_for_reads(cell):
    _, vms = cell
    release, blocked = threading.Event(), threading.Semaphore(0)

    def submit(change):
        blocked.release()
        release.wait()
        return Ok(Accepted(1))

    vms[0].app.submit = submit
    threads = [
        threading.Thread(target=connect(vms[:1]).submit, args=(team(f"c{number}"),))
        for number in range(MAX_CONCURRENT_CHANGES)
    ]
    for thread in threads:
        thread.start()
    for _ in threads:
        assert blocked.acquire(timeout=30.0)
    problem = connect(vms[:1]).submit(team("more")).unwrap_err()
    assert problem.code is ProblemCode.UNAVAILABLE
    assert connect(vms[:1]).read_status().is_ok()
    release.set()
    for thread in threads:
        thread.join()
    assert connect(vms[:1]).submit(team("more")).is_ok()


def test_stopped_daemon_is_unavailable(cell):
    _, vms = cell
    client = connect(vms[:1])
    vms[0].server.stop()
    assert client.submit(team()).unwrap_err().code is ProblemCode.UNAVAILABLE


def test_reads_reach_the_backend(cell):
    _, vms = cell
    client = connect(vms)
    assert client.explain("r1").unwrap().lines == ["It waited."]
    assert client.explain("r2").unwrap_err().code is ProblemCode.NOT_FOUND
    refused = client.list_refused("rcd-check", since_unix_s=4.5).unwrap()
    assert refused.requests[0].reason is Reason.QUEUE_FULL
    assert vms[0].backend.list_refused_args == ("rcd-check", 4.5, 500)


def send(vm, method, path, body=b"", *, seal=None, keys=KEYS):
    if seal is None:
        bare_path, _, query = path.partition("?")
        data = signed_bytes(method, bare_path, query, body)
        sender = f"cli-{next(SENDER_NUMBERS)}"
        sealed = make_authenticator(sender, keys).seal(data, unix_s=time.time())
        seal = format_seal(sealed)
    exchange = HttpExchange(*vm.server.address, kept=0, connect_timeout_s=5.0)
    headers = {SEAL_HEADER: seal}
    reply = exchange.send(
        method, path, body=body, headers=headers, timeout_s=30.0
    ).unwrap()
    code = None
    if reply.status != 200:
        code = decode_json(reply.body, OperatorsProblem).code
    return reply.status, code


def test_forged_and_replayed_changes_change_nothing(cell):
    service, vms = cell
    body = encode_change(team())
    assert send(vms[0], "POST", CHANGES_PATH, body, keys=OTHER_KEYS)[0] == 401
    assert send(vms[0], "POST", CHANGES_PATH, body, seal="x")[0] == 401
    data = signed_bytes("POST", CHANGES_PATH, "", body)
    sealed = make_authenticator("cli", KEYS).seal(data, unix_s=time.time())
    seal = format_seal(sealed)
    other = encode_change(team("c2"))
    assert send(vms[0], "POST", CHANGES_PATH, other, seal=seal)[0] == 401
    assert service.state.revision == 0
    assert send(vms[0], "POST", CHANGES_PATH, body, seal=seal)[0] == 200
    assert send(vms[0], "POST", CHANGES_PATH, body, seal=seal)[0] == 401
    assert send(vms[1], "POST", CHANGES_PATH, body, seal=seal)[0] == 200
    assert service.state.revision == 1


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "code"),
    [
        ("POST", CHANGES_PATH, b"{", 422, ProblemCode.INVALID),
        ("POST", CHANGES_PATH, b'{"type":"put_all"}', 422, ProblemCode.INVALID),
        ("GET", CHANGES_PATH, b"", 400, ProblemCode.BAD_REQUEST),
        ("POST", CONFIG_PATH, b"", 400, ProblemCode.BAD_REQUEST),
        ("GET", "/operators/v1/teams/none", b"", 404, ProblemCode.NOT_FOUND),
        ("GET", "/operators/v1/teams/NO", b"", 404, ProblemCode.NOT_FOUND),
        ("GET", "/operators/v1/refused?since=nan", b"", 400, ProblemCode.BAD_REQUEST),
        ("GET", "/operators/v1/refused?since=x", b"", 400, ProblemCode.BAD_REQUEST),
        ("GET", "/operators/v1/teams?" + "x" * 600, b"", 400, ProblemCode.BAD_REQUEST),
        ("GET", "/", b"", 404, ProblemCode.NOT_FOUND),
        ("POST", CHANGES_PATH, b" " * 1_000_000, 413, ProblemCode.TOO_LARGE),
    ],
)
def test_invalid_requests_get_a_specific_problem(
    cell, method, path, body, status, code
):
    service, vms = cell
    assert send(vms[0], method, path, body) == (status, code)
    assert service.state.revision == 0


def test_read_paths_respond(cell):
    _, vms = cell
    for path in ("presets", "presets/ordinary", "in-force", "workloads", "status"):
        assert send(vms[0], "GET", f"/operators/v1/{path}") == (200, None)


def test_fault_in_the_backend_is_answered_without_a_traceback(cell):
    _, vms = cell
    vms[0].backend.read_status = lambda: 1 / 0
    status, code = send(vms[0], "GET", "/operators/v1/status")
    assert (status, code) == (500, ProblemCode.FAULT)


def test_malformed_body_is_refused(cell):
    _, vms = cell
    req = HttpRequest("POST", CHANGES_PATH, "", {}, b"", body_error=BodyError.MALFORMED)
    assert vms[0].app.handle(req).status == 400


def test_burn_report_covers_the_requested_window(cell):
    _, vms = cell
    client = connect(vms)
    report = client.read_burn(3600).unwrap()
    burn = report.workloads[0]
    assert (burn.workload, burn.total, burn.good) == ("rcd-check", 4, 3)
    assert burn.refused == {"queue_full": 1}
    assert client.read_burn(0).unwrap_err().code == ProblemCode.BAD_REQUEST
