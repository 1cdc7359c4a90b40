"""Loading and validation of settings files."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from papayadyke_core.workloads import ConfigModel
from papayadyke_daemon.settings._models import SettingsModel
from papayadyke_daemon.settings._settings import Settings

# Top-level keys that identify a configuration file.
CONFIGURATION_KEYS = frozenset({"workloads", "teams", "presets"})


class FileKind(StrEnum):
    """Kind of a JSON file that `check_file` validates."""

    SETTINGS = "settings"
    CONFIGURATION = "configuration"


_MODELS: dict[FileKind, type[BaseModel]] = {
    FileKind.SETTINGS: SettingsModel,
    FileKind.CONFIGURATION: ConfigModel,
}


@dataclass(frozen=True, slots=True)
class SettingsError:
    """Errors in a settings file, one line per error."""

    lines: tuple[str, ...]


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        A JSON file.

    Returns
    -------
    result : Result of Settings or SettingsError
        The error names each invalid field by its path in the file.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        return Err(SettingsError((f"{path}: {exc.strerror}",)))
    try:
        model = SettingsModel.model_validate_json(text)
    except ValidationError as exc:
        return Err(SettingsError(_format_errors(exc)))
    return Ok(model.to_settings())


def check_file(path: Path) -> Result[FileKind, SettingsError]:
    """Validate a settings file or a configuration file.

    Parameters
    ----------
    path : Path

    Returns
    -------
    result : Result of FileKind or SettingsError
        Kind of the file, determined from its top-level keys.
    """
    try:
        text = path.read_bytes()
        value = json.loads(text)
    except OSError as exc:
        return Err(SettingsError((f"{path}: {exc.strerror}",)))
    except ValueError as exc:
        return Err(SettingsError((f"(whole file): not JSON: {exc}",)))
    kind = FileKind.SETTINGS
    if isinstance(value, dict) and CONFIGURATION_KEYS & value.keys():
        kind = FileKind.CONFIGURATION
    try:
        _MODELS[kind].model_validate_json(text)
    except ValidationError as exc:
        return Err(SettingsError(_format_errors(exc)))
    return Ok(kind)


def _format_errors(exc: ValidationError) -> tuple[str, ...]:
    lines = []
    for error in exc.errors(include_url=False, include_input=False):
        location = ".".join(str(part) for part in error["loc"]) or "(whole file)"
        lines.append(f"{location}: {error['msg']}")
    return tuple(lines)
