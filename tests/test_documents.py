"""The README's commands and the settings page stay true."""

import json
import re
import shlex
import time
from pathlib import Path

import pytest
from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from papayadyke_clients.http import HttpExchange
from papayadyke_core.verdicts import HTTP_STATUS, Reason
from papayadyke_daemon.embedded import Embedded
from papayadyke_daemon.settings import SettingsModel

ROOT = Path(__file__).parents[1]
ROW = re.compile(r"\| `([a-z_.]+)` \| (?:`(.*?)`)? ?\| (.*)\|")
REASON_ROW = re.compile(r"\| `([a-z_]+)` \| (\d+) \|")
TIMEOUT_S = 20.0


@pytest.fixture
def embedded(tmp_path):
    whole = Embedded(tmp_path)
    whole.start()
    yield whole
    whole.stop()


def read_quick_start():
    """Return each curl line of the README with the answer printed below it."""
    lines = (ROOT / "README.md").read_text().splitlines()
    indented = [line[4:] for line in lines if line.startswith("    ")]
    return [
        (shlex.split(line), json.loads(indented[number + 1]))
        for number, line in enumerate(indented)
        if line.startswith("curl ")
    ]


def send(words, address):
    headers = {}
    method, path, body = "GET", "", b""
    rest = iter(words[1:])
    for word in rest:
        if word == "-X":
            method = next(rest)
        elif word == "-H":
            name, _, value = next(rest).partition(": ")
            headers[name] = value
        elif word == "-d":
            body = next(rest).encode()
        elif word.startswith("http://127.0.0.1:8080"):
            path = word.removeprefix("http://127.0.0.1:8080")
        else:
            assert word == "-s"
    exchange = HttpExchange(*address, kept=0, connect_timeout_s=TIMEOUT_S)
    result = exchange.send(
        method, path, body=body, headers=headers, timeout_s=TIMEOUT_S
    )
    return result.unwrap()


def wait_for_key_home(embedded):
    """Wait until the daemon owns every partition, as it does soon after."""
    manager = embedded.daemon.durable.partition_manager
    for _ in range(2000):
        if len(manager.list_owned()) == len(embedded.daemon.peering.plan_partitions()):
            return
        time.sleep(0.01)
    raise AssertionError("partitions not owned")


def test_quick_start_prints_what_the_readme_shows(embedded):
    wait_for_key_home(embedded)
    shown = read_quick_start()
    assert len(shown) == 3
    for words, answer in shown:
        reply = send(words, embedded.daemon.address)
        told = json.loads(reply.body)
        if "upstream" in answer:
            answer["upstream"] = told["upstream"]
        assert told == answer
    again = send(shown[-1][0], embedded.daemon.address)
    assert again.headers["Idempotent-Replay"] == "true"
    assert json.loads(again.body) == told


def list_fields(model, prefix=""):
    for name, field in model.model_fields.items():
        path = prefix + name
        inner = find_model(field.annotation)
        is_group = inner is not None and isinstance(field.default, inner)
        if not (is_group or (inner is not None and field.is_required())):
            yield path, field.default
        if inner is not None:
            yield from list_fields(inner, f"{path}.")


def find_model(annotation):
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for part in getattr(annotation, "__args__", ()):
        found = find_model(part)
        if found is not None:
            return found
    return None


def test_every_setting_is_on_its_page_with_its_default():
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    rows = {match[1]: match[2] for match in map(ROW.match, page.splitlines()) if match}
    fields = dict(list_fields(SettingsModel))
    assert set(rows) == set(fields)
    for path, default in fields.items():
        if default is PydanticUndefined:
            assert rows[path] is None, path
        else:
            assert json.loads(rows[path]) == json.loads(json.dumps(default)), path


def test_every_reason_is_on_its_page_with_its_status():
    page = (ROOT / "docs" / "INTERFACE.md").read_text()
    found = {
        match[1]: int(match[2])
        for match in map(REASON_ROW.match, page.splitlines())
        if match
    }
    assert found == {reason.value: HTTP_STATUS[reason] for reason in Reason}


def test_links_between_documents_lead_somewhere():
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"
