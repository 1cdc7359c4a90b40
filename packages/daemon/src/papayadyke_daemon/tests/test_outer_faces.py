"""What comes out of a daemon: HTTPS, metrics by UDP and lines of the log."""

import datetime
import ipaddress
import json
import logging
import re
import socket
import ssl
from pathlib import Path
from typing import Any

import pytest
import urllib3
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import LoadSummary
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import ConfigModel
from papayadyke_daemon._logs import LOGGERS, set_up_logs
from papayadyke_daemon._metrics import Metrics
from papayadyke_daemon.daemon import Daemon
from papayadyke_daemon.embedded import CONFIG
from papayadyke_daemon.peers import PeerStats
from papayadyke_daemon.serving import RequestRecord
from papayadyke_daemon.settings import (
    Address,
    CallersSettings,
    LogSettings,
    Settings,
    StatsdSettings,
    StoreAddress,
    TlsFiles,
)
from papayadyke_standins.store import StoreStandin

HOST = "127.0.0.1"
LIMIT_S = 60.0
METRICS_PAGE = Path(__file__).parents[5] / "docs" / "METRICS.md"


def write_certificate(directory):
    """Write a self-signed certificate for the loopback address, and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "a caller's test")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(HOST))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    files = TlsFiles(str(directory / "chain.pem"), str(directory / "key.pem"))
    pem = serialization.Encoding.PEM
    Path(files.certificate_file).write_bytes(certificate.public_bytes(pem))
    Path(files.key_file).write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return files


@pytest.fixture
def tls_daemon(tmp_path):
    store = StoreStandin()
    store.start()
    host, _, port = store.address.rpartition(":")
    files = write_certificate(tmp_path)
    daemon = Daemon(
        Settings(
            vm="vm-0",
            availability_zone="hobart",
            callers=CallersSettings(address=Address(HOST, 0), tls=files),
            upstreams=(),
            store=StoreAddress(Address(host, int(port))),
            log=LogSettings(),
            drain_settle_s=0.0,
        )
    )
    daemon.start()
    daemon.load_first_config(ConfigModel.model_validate(CONFIG))
    daemon.wait_for_config(LIMIT_S)
    yield daemon, files
    daemon.drain()
    daemon.stop()
    store.stop()


def send(daemon, scheme, **options):
    with urllib3.PoolManager(retries=False, **options) as pool:
        return pool.request(
            "POST",
            f"{scheme}://{HOST}:{daemon.callers.port}/v1/run/nope",
            body=b"{}",
            headers={"Request-Id": "tls-1"},
            timeout=LIMIT_S,
        )


def test_request_is_answered_over_https(tls_daemon):
    daemon, files = tls_daemon
    reply = send(
        daemon, "https", ca_certs=files.certificate_file, cert_reqs=ssl.CERT_REQUIRED
    )
    problem = json.loads(reply.data)
    assert reply.status == 404
    assert (problem["reason"], problem["request_id"]) == ("unknown_workload", "tls-1")


def test_certificate_that_is_not_trusted_is_noticed(tls_daemon):
    daemon, _ = tls_daemon
    with pytest.raises(urllib3.exceptions.SSLError):
        send(daemon, "https", cert_reqs=ssl.CERT_REQUIRED)


def test_request_without_tls_reaches_no_workload(tls_daemon):
    daemon, _ = tls_daemon
    try:
        reply = send(daemon, "http")
    except urllib3.exceptions.HTTPError:
        return
    assert reply.status == 400
    assert b"unknown_workload" not in reply.data


def make_record(refusal=None):
    return RequestRecord(
        request_id="r1",
        workload="rcd-check",
        state="answered" if refusal is None else "refused",
        received_at=0.0,
        wait_s=0.25,
        run_s=1.5,
        refusal=refusal,
    )


def read_documented():
    """Return the metrics that the page names, each with its kind."""
    rows = re.findall(r"^\| (`[^|]+`) \| (\w+) \|", METRICS_PAGE.read_text(), re.M)
    return {
        name.replace("WORKLOAD", "rcd-check"): kind
        for names, kind in rows
        for name in re.findall(r"`([^`]+)`", names)
    }


def receive(receiver, count):
    """Return the values of so many metrics by their names."""
    lines = [receiver.recv(512).decode() for _ in range(count)]
    return dict(line.removeprefix("cell-1.").split(":") for line in lines)


@pytest.fixture
def receiver():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as found:
        found.bind((HOST, 0))
        found.settimeout(LIMIT_S)
        yield found


@pytest.fixture
def metrics(receiver):
    address = Address(HOST, receiver.getsockname()[1])
    return Metrics(StatsdSettings(address, prefix="cell-1"))


def test_documented_counters_and_timings_arrive_by_udp(receiver, metrics):
    reason = Reason.QUEUE_FULL
    metrics.record(make_record())
    for verdict in Verdict:
        metrics.record(make_record(Refusal(verdict, reason, "It was refused.")))
    kinds = {"counter": "|c", "timing": "|ms"}
    values = {"wait_ms": "250", "run_ms": "1500"}
    documented = {n: kind for n, kind in read_documented().items() if kind in kinds}
    got = receive(receiver, len(documented))
    assert set(got) == {name.replace("REASON", reason) for name in documented}
    for name, kind in documented.items():
        value, mark = got[name.replace("REASON", reason)].split("|")
        assert f"|{mark}" == kinds[kind]
        assert float(value) == float(values.get(name.rpartition(".")[2], "1"))


def test_documented_gauges_arrive_by_udp_and_no_other(receiver, metrics):
    load = LoadSummary(Resources(4, 4), Resources(2, 2), 3, 8, 1)
    metrics.tell_gauges(load, PeerStats(sent_bytes=7), revision=5)
    documented = {n for n, kind in read_documented().items() if kind == "gauge"}
    got = receive(receiver, len(documented))
    assert set(got) == documented
    assert got["load.free_slots"] == "3|g"
    assert got["config.revision"] == "5|g"
    assert got["peers.sent_bytes"] == "7|g"
    receiver.settimeout(0.2)
    with pytest.raises(TimeoutError):
        receiver.recv(512)


def test_nothing_is_sent_without_an_address():
    Metrics(None).record(make_record())


@pytest.fixture
def kept_loggers():
    """Put the loggers of the daemon back as they were."""
    loggers = [logging.getLogger(name) for name in LOGGERS]
    kept = [(item, item.handlers[:], item.level, item.propagate) for item in loggers]
    yield
    for logger, handlers, level, propagate in kept:
        logger.handlers[:] = handlers
        logger.setLevel(level)
        logger.propagate = propagate


def log_two_lines(settings):
    set_up_logs(settings)
    logging.getLogger("papayadyke.fleet").info("fleet: %s is leaving", "u-1")
    logging.getLogger("papayadyke_daemon.peers").debug("peers: too fine to tell")
    logging.getLogger("papayadyke_core.jobs").warning("jobs: two\nlines")


def test_json_log_has_one_object_a_line(kept_loggers, capsys):
    log_two_lines(LogSettings(format="json"))
    lines: list[Any] = [
        json.loads(line) for line in capsys.readouterr().err.split("\n")[:-1]
    ]
    assert [line["message"] for line in lines] == [
        "fleet: u-1 is leaving",
        "jobs: two\nlines",
    ]
    assert [line["levelname"] for line in lines] == ["INFO", "WARNING"]
    assert all({"asctime", "name"} <= set(line) for line in lines)


def test_plain_log_has_time_level_and_prefix(kept_loggers, capsys):
    log_two_lines(LogSettings(format="plain", level="DEBUG"))
    first, second = capsys.readouterr().err.split("\n")[:2]
    assert re.fullmatch(r"\d{4}-\d\d-\d\d [\d:,]+ INFO fleet: u-1 is leaving", first)
    assert second.endswith(" DEBUG peers: too fine to tell")
