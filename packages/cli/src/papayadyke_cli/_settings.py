"""Settings of the command: daemon addresses, keys and the author of changes."""

from __future__ import annotations

import getpass
import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err

from papayadyke_cli._exits import ExitCode, fail
from papayadyke_clients.keys import load_key_file
from papayadyke_clients.operators import OperatorsClient, OperatorsSettings
from papayadyke_core.configuration import problems_from_error

SETTINGS_VARIABLE = "PAPAYADYKE_SETTINGS"


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


class AddressModel(BaseModel):
    """An IP address and a port."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: Annotated[str, AfterValidator(_check_ip)] = "127.0.0.1"
    port: int = Field(ge=1, le=65535)


class SettingsModel(BaseModel):
    """Content of the settings file.

    Parameters
    ----------
    operators : tuple of AddressModel
        Operators' listeners of the daemons; tried in order.
    callers : tuple of AddressModel
        Callers' listeners, for `submit` and `job`.
    keys_file : str or None
        Operators' key file; a relative path is resolved against the
        directory of the settings file.
    author : str or None
        Name sent with each change; None for the name of the user.
    answer_timeout_seconds : float, default=12.0
    change_timeout_seconds : float, default=30.0
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    operators: tuple[AddressModel, ...] = ()
    callers: tuple[AddressModel, ...] = ()
    keys_file: str | None = None
    author: str | None = Field(default=None, min_length=1, max_length=128)
    answer_timeout_seconds: float = Field(default=12.0, gt=0.0, le=3600.0)
    change_timeout_seconds: float = Field(default=30.0, gt=0.0, le=3600.0)


class Session:
    """State shared by the commands of one run.

    Parameters
    ----------
    path : Path or None
        The settings file.
    """

    def __init__(self, path: Path | None):
        self.path = path

    def read_settings(self) -> SettingsModel:
        """Return the settings, or exit with a message that names the fault."""
        if self.path is None:
            text = f"name the settings file by --settings or {SETTINGS_VARIABLE}"
            fail(ExitCode.USAGE, text)
        try:
            return SettingsModel.model_validate_json(self.path.read_bytes())
        except OSError as exc:
            fail(ExitCode.USAGE, f"{self.path}: {exc.strerror}")
        except ValidationError as exc:
            lines = [
                f"{problem.path}: {problem.message}"
                for problem in problems_from_error(exc)
            ]
            fail(ExitCode.USAGE, f"{self.path}: " + "; ".join(lines))

    def connect(self) -> OperatorsClient:
        """Return a client of the operators' interface."""
        settings = self.read_settings()
        if not settings.operators or settings.keys_file is None:
            fail(ExitCode.USAGE, f"{self.path}: operators and keys_file are needed")
        assert self.path is not None
        keys = load_key_file(self.path.parent / settings.keys_file)
        if isinstance(keys, Err):
            error = keys.err_value
            fail(ExitCode.USAGE, f"{error.path}: {error.detail}")
        return OperatorsClient(
            OperatorsSettings(
                addresses=tuple(
                    (address.host, address.port) for address in settings.operators
                ),
                keys=keys.ok_value,
                answer_timeout_s=settings.answer_timeout_seconds,
                change_timeout_s=settings.change_timeout_seconds,
            )
        )

    def author(self) -> str:
        """Return the name that is sent as the author of a change."""
        return self.read_settings().author or getpass.getuser()
