"""Values from the command line: assignments, bodies, times."""

from __future__ import annotations

import json
import re
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from papayadyke_cli._exits import ExitCode, fail

_DURATION = re.compile(r"(\d+(?:\.\d+)?)([smhd])")
_SECONDS_PER_UNIT = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
STANDARD_INPUT = "-"


def read_bytes(path: str) -> bytes:
    """Return the content of a file, or of the standard input for "-"."""
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        fail(ExitCode.USAGE, f"{path}: {exc.strerror}")


def read_object(path: str) -> dict[str, Any]:
    """Return the JSON object of a file."""
    try:
        body = json.loads(read_bytes(path))
    except ValueError as exc:
        fail(ExitCode.INVALID, f"{path}: not JSON: {exc}")
    if not isinstance(body, dict):
        fail(ExitCode.INVALID, f"{path}: not a JSON object")
    return body


def assign_field(body: dict[str, Any], assignment: str) -> None:
    """Set one field of an object.

    Parameters
    ----------
    body : dict
        Changed in place.
    assignment : str
        As in "demand.cpus=0.5" or "rules.rcd-check.floor=0.6". The value is
        decoded as JSON or, if it is not JSON, kept as text.
    """
    path, separator, text = assignment.partition("=")
    if not separator or not path:
        fail(ExitCode.USAGE, f"--set {assignment}: write FIELD=VALUE")
    *parents, last = _split_path(path)
    for name in parents:
        child = body.get(name)
        # Nested objects may be shared with the configuration that was read: copy
        # each one before it is changed.
        child = dict(child) if isinstance(child, dict) else {}
        body[name] = child
        body = child
    body[last] = _read_value(text)


def remove_field(body: dict[str, Any], path: str) -> None:
    """Remove one field of an object, so that its default applies."""
    *parents, last = _split_path(path)
    for name in parents:
        child = body.get(name)
        if not isinstance(child, dict):
            fail(ExitCode.USAGE, f"--unset {path}: there is no {name}")
        body[name] = dict(child)
        body = body[name]
    if last not in body:
        fail(ExitCode.USAGE, f"--unset {path}: there is no {last}")
    del body[last]


def parse_since(text: str, *, now: float) -> float:
    """Return the Unix time of "90s", "15m", "2h", "1d" ago, or of a date.

    Parameters
    ----------
    text : str
    now : float
        Unix time in seconds.
    """
    match = _DURATION.fullmatch(text)
    if match:
        return now - float(match[1]) * _SECONDS_PER_UNIT[match[2]]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        fail(
            ExitCode.USAGE,
            f"--since {text}: write a duration as in 15m or 2h, or a date and time "
            "as in 2026-05-01T07:30",
        )
    return (moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp()


def _split_path(path: str) -> list[str]:
    parts = path.split(".")
    if parts[0] == "rules" and len(parts) > 3:
        # Workload names may contain dots, field names cannot.
        return ["rules", ".".join(parts[1:-1]), parts[-1]]
    return parts


def _read_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
