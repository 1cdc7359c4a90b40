import signal
import subprocess
import sys

import pytest
import urllib3

from papayadyke_core.membership import ListedState, ListedVm
from papayadyke_standins.vm_list import (
    LaggingList,
    VmListServer,
    VmListServerSettings,
)


def make_entry(vm, state=ListedState.LIVE):
    return ListedVm(vm, "z", "r", "10.0.0.1:1", state)


def test_changes_become_visible_after_the_lag_in_order():
    vms = LaggingList(lag_s=5.0)
    vms.put(make_entry("b"), 0.0)
    vms.put(make_entry("a"), 1.0)
    vms.put(make_entry("b", ListedState.LEAVING), 2.0)
    vms.remove("b", 3.0)
    assert vms.read(4.9) == ()
    assert vms.read(6.0) == (make_entry("a"), make_entry("b"))
    assert vms.read(7.0)[1].state == ListedState.LEAVING
    assert vms.read(8.0) == (make_entry("a"),)


@pytest.fixture
def server():
    server = VmListServer(VmListServerSettings(lag_s=0.0))
    server.start()
    yield server
    server.stop()


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/", b"", 404),
        ("POST", "/v1/vms/a", b"{}", 405),
        ("PUT", "/v1/vms/a", b"{", 400),
        ("PUT", "/v1/vms/a", b'{"vm": "a"}', 400),
        ("PUT", "/v1/fault", b"[]", 400),
        ("DELETE", "/v1/vms/a", b"", 204),
    ],
)
def test_invalid_requests_are_refused(server, method, path, body, status):
    resp = urllib3.request(method, server.url + path, body=body, retries=False)
    assert resp.status == status


@pytest.mark.processes
def test_server_runs_as_a_process():
    command = [sys.executable, "-m", "papayadyke_standins.vm_list"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        url = process.stdout.readline().strip()
        resp = urllib3.request("GET", f"{url}/v1/vms", retries=False)
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    assert resp.json() == {"vms": []}
