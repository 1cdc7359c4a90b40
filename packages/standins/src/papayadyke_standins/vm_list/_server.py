"""HTTP server of the VM list.

Daemons read `GET /v1/vms`. Tests change the list by `PUT /v1/vms/{vm}` and
`DELETE /v1/vms/{vm}`. `PUT /v1/fault` with `{"is_down": true}` makes reads fail.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
from cheroot import wsgi

from papayadyke_core.membership import ListedVm
from papayadyke_standins.vm_list._list import LaggingList

VMS_PATH = "/v1/vms"
FAULT_PATH = "/v1/fault"
MAX_BODY_BYTES = 100_000

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class VmListServerSettings:
    """Listening address and lag of the stand-in.

    Parameters
    ----------
    host : str, default="127.0.0.1"
    port : int, default=0
        Port to listen on; 0 selects a free port.
    lag_s : float, default=5.0
        Time in seconds until a change becomes visible.
    """

    host: str = "127.0.0.1"
    port: int = 0
    lag_s: float = 5.0


class _Fault(msgspec.Struct, frozen=True):
    is_down: bool


class _Body(msgspec.Struct, frozen=True):
    vms: tuple[ListedVm, ...]


class VmListServer:
    """Stand-in for the platform's VM list service.

    Parameters
    ----------
    settings : VmListServerSettings
    """

    def __init__(self, settings: VmListServerSettings) -> None:
        self.settings = settings
        self.list = LaggingList(lag_s=settings.lag_s)
        self._is_down = False
        self._server = wsgi.Server(
            (settings.host, settings.port), self._serve, numthreads=4
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._thread = threading.Thread(
            target=self._server.serve, name="vm-list", daemon=True
        )

    @property
    def url(self) -> str:
        """Base URL of the server; available after `start`."""
        host, port = self._server.bind_addr
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Bind the port and serve requests in a background thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop the server and wait for its thread."""
        self._server.stop()
        self._thread.join()

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        status, body = self._answer(environ)
        start_response(status, [("Content-Type", "application/json")])
        return [body]

    def _answer(self, environ: dict[str, Any]) -> tuple[str, bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        try:
            if (method, path) == ("PUT", FAULT_PATH):
                self._is_down = _decode(environ, _Fault).is_down
                return "204 No Content", b""
            if (method, path) == ("GET", VMS_PATH):
                return self._read()
            if path.startswith(f"{VMS_PATH}/"):
                return self._change(method, path.removeprefix(f"{VMS_PATH}/"), environ)
        except msgspec.DecodeError as exc:
            return "400 Bad Request", str(exc).encode()
        return "404 Not Found", b""

    def _read(self) -> tuple[str, bytes]:
        if self._is_down:
            return "503 Service Unavailable", b""
        body = _Body(self.list.read(time.monotonic()))
        return "200 OK", msgspec.json.encode(body)

    def _change(
        self, method: str, vm: str, environ: dict[str, Any]
    ) -> tuple[str, bytes]:
        now = time.monotonic()
        if method == "DELETE":
            self.list.remove(vm, now)
            return "204 No Content", b""
        if method != "PUT":
            return "405 Method Not Allowed", b""
        entry = _decode(environ, ListedVm)
        if entry.vm != vm:
            return "400 Bad Request", b"the name is not that of the path"
        self.list.put(entry, now)
        return "204 No Content", b""


def _decode(environ: dict[str, Any], message_type: Any) -> Any:
    return msgspec.json.decode(environ["wsgi.input"].read(), type=message_type)
