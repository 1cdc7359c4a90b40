"""Request headers of the HTTP interface for callers, and their limits."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_daemon.settings import CallersSettings

REQUEST_ID_HEADER = "request-id"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
REQUEST_TIMEOUT_HEADER = "request-timeout"
CONTENT_TYPE_HEADER = "content-type"
DEFAULT_CONTENT_TYPE = "application/octet-stream"
MAX_KEY_CHARS = 200
MAX_CONTENT_TYPE_CHARS = 200

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_KEY_PATTERN = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Hold the validated values of a request's headers."""

    idempotency_key: str | None
    timeout_s: float
    content_type: str


def read_request_id(headers: Mapping[str, str]) -> Result[str | None, str]:
    """Return the caller's request id, None without one, or an error message."""
    value = headers.get(REQUEST_ID_HEADER)
    if value is None or value == "":
        return Ok(None)
    if not _ID_PATTERN.fullmatch(value):
        return Err("Request-Id must be 1 to 128 letters, digits or . _ : -")
    return Ok(value)


def read_headers(
    headers: Mapping[str, str], *, settings: CallersSettings
) -> Result[CallerHeaders, str]:
    """Return the validated headers, or an error message."""
    key = headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not _KEY_PATTERN.fullmatch(key):
        return Err(f"Idempotency-Key must be 1 to {MAX_KEY_CHARS} visible characters")
    timeout_s = _read_timeout(headers.get(REQUEST_TIMEOUT_HEADER), settings)
    if timeout_s is None:
        return Err(
            "Request-Timeout must be a number of seconds above 0 and at most "
            f"{settings.max_timeout_s:g}"
        )
    content_type = headers.get(CONTENT_TYPE_HEADER) or DEFAULT_CONTENT_TYPE
    if len(content_type) > MAX_CONTENT_TYPE_CHARS or not content_type.isprintable():
        return Err("Content-Type is too long or not printable")
    return Ok(CallerHeaders(key, timeout_s, content_type))


def _read_timeout(value: str | None, settings: CallersSettings) -> float | None:
    if value is None:
        return settings.default_timeout_s
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0.0 < seconds <= settings.max_timeout_s:
        return None
    return seconds
