"""Reading a settings file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError
from result import Err, Ok, Result

from papayadyke_daemon.settings._models import SettingsModel
from papayadyke_daemon.settings._settings import Settings


@dataclass(frozen=True, slots=True)
class SettingsError:
    """What is wrong with a settings file, a line for each fault."""

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
        The error names each bad field with its path in the file.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        return Err(SettingsError((f"{path}: {exc.strerror}",)))
    try:
        model = SettingsModel.model_validate_json(text)
    except ValidationError as exc:
        return Err(SettingsError(_describe(exc)))
    return Ok(model.to_settings())


def _describe(exc: ValidationError) -> tuple[str, ...]:
    lines = []
    for error in exc.errors(include_url=False, include_input=False):
        where = ".".join(str(part) for part in error["loc"]) or "(whole file)"
        lines.append(f"{where}: {error['msg']}")
    return tuple(lines)
