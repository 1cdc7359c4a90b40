import json
from pathlib import Path

import pytest

from papayadyke_daemon.settings import Address, FileKind, check_file, load_settings

UPSTREAM = {"name": "quote-1", "host": "127.0.0.1", "port": 9001}
VALID_SETTINGS = {
    "vm": "launceston-1",
    "availability_zone": "launceston",
    "callers": {"port": 8080},
    "upstreams": [UPSTREAM],
}


def load(tmp_path, body):
    path = tmp_path / "settings.json"
    path.write_text(body if isinstance(body, str) else json.dumps(body))
    return load_settings(path)


def test_valid_file_is_loaded(tmp_path):
    settings = load(tmp_path, VALID_SETTINGS).unwrap()
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
def test_error_names_path_of_invalid_field(tmp_path, changes, path):
    error = load(tmp_path, VALID_SETTINGS | changes).unwrap_err()
    assert [line.partition(":")[0] for line in error.lines] == [path]


def test_error_names_invalid_json(tmp_path):
    assert "JSON" in load(tmp_path, "{").unwrap_err().lines[0]


def test_error_names_missing_file(tmp_path):
    assert "No such file" in load_settings(tmp_path / "none.json").unwrap_err().lines[0]


EXAMPLES = Path(__file__).parents[6] / "examples"


@pytest.mark.parametrize(
    "path", sorted(EXAMPLES.glob("*/*.json")), ids=lambda path: path.name
)
def test_example_files_are_valid(path):
    expected = FileKind.SETTINGS
    if path.name == "config.json":
        expected = FileKind.CONFIGURATION
    assert check_file(path).unwrap() is expected


def test_error_names_path_of_invalid_configuration(tmp_path):
    path = tmp_path / "config.json"
    path.write_text('{"presets": [{"name": "ordinary", "rules": {"a": 1}}]}')
    assert check_file(path).unwrap_err().lines[0].startswith("presets.0.rules.a:")
