"""HTTP client of the VM list."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import urllib3
from result import Err, Ok, Result

from papayadyke_core.membership import ListedVm

MAX_BODY_BYTES = 4_000_000
HTTP_OK = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class VmListSettings:
    """Address and timeouts of a `VmListClient`.

    Parameters
    ----------
    url : str
        URL of the service with its IP address, for example `http://10.0.0.2:80`.
    connect_timeout_s : float, default=0.5
    read_timeout_s : float, default=2.0
    """

    url: str
    connect_timeout_s: float = 0.5
    read_timeout_s: float = 2.0


@dataclass(frozen=True, slots=True)
class VmListError:
    """Cause of a failed read; the last list read remains valid."""

    detail: str


class _Body(msgspec.Struct, frozen=True):
    vms: tuple[ListedVm, ...]


class VmListClient:
    """Client of the VM list; not thread-safe.

    Parameters
    ----------
    settings : VmListSettings
    """

    def __init__(self, settings: VmListSettings) -> None:
        self.settings = settings
        self._http = urllib3.PoolManager(
            num_pools=1,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(
                connect=settings.connect_timeout_s, read=settings.read_timeout_s
            ),
        )

    def read(self) -> Result[tuple[ListedVm, ...], VmListError]:
        """Return the listed VMs."""
        try:
            resp = self._http.request(
                "GET", f"{self.settings.url}/v1/vms", preload_content=False
            )
            body = resp.read(MAX_BODY_BYTES + 1)
            # A connection with an incompletely read body cannot be reused.
            resp.release_conn() if len(body) <= MAX_BODY_BYTES else resp.close()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(VmListError(f"request failed: {exc}"))
        if resp.status != HTTP_OK:
            return Err(VmListError(f"status {resp.status}"))
        if len(body) > MAX_BODY_BYTES:
            return Err(VmListError("response body is too large"))
        try:
            return Ok(msgspec.json.decode(body, type=_Body).vms)
        except msgspec.DecodeError as exc:
            return Err(VmListError(f"invalid response body: {exc}"))

    def close(self) -> None:
        """Close the connection."""
        self._http.clear()
