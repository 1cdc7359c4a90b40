import json

import pytest

from papayadyke_daemon.settings import Address, load_settings

UPSTREAM = {"name": "quote-1", "host": "127.0.0.1", "port": 9001}
GOOD = {
    "vm": "launceston-1",
    "availability_zone": "launceston",
    "callers": {"port": 8080},
    "upstreams": [UPSTREAM],
}


def load(tmp_path, body):
    path = tmp_path / "settings.json"
    path.write_text(body if isinstance(body, str) else json.dumps(body))
    return load_settings(path)


def test_good_file_gives_settings(tmp_path):
    settings = load(tmp_path, GOOD).unwrap()
    assert settings.callers.address == Address("127.0.0.1", 8080)
    assert settings.upstreams[0].name == "quote-1"


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"callers": {"port": 70000}}, "callers.port"),
        ({"callers": {"port": 1, "host": "localhost"}}, "callers.host"),
        ({"vm": "No Good"}, "vm"),
        ({"surplus": 1}, "surplus"),
        ({"peers": {"port": 1}}, "(whole file)"),
        ({"fleet": {"session_ttl_seconds": 0.6}}, "fleet"),
        ({"upstreams": [UPSTREAM, UPSTREAM]}, "(whole file)"),
    ],
)
def test_bad_field_is_named_by_its_path(tmp_path, changes, path):
    error = load(tmp_path, GOOD | changes).unwrap_err()
    assert [line.partition(":")[0] for line in error.lines] == [path]


def test_text_that_is_no_json_is_named(tmp_path):
    assert "JSON" in load(tmp_path, "{").unwrap_err().lines[0]


def test_missing_file_is_named(tmp_path):
    assert "No such file" in load_settings(tmp_path / "none.json").unwrap_err().lines[0]
