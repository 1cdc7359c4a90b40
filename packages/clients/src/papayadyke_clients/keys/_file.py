"""Key file in JSON, which every process of a cell reads."""

from __future__ import annotations

import base64
import binascii
import os
import secrets
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from result import Err, Ok, Result

SECRET_BYTES = 32
MIN_SECRET_BYTES = 16
MAX_KEYS = 16
FILE_MODE = 0o600


class KeyEntry(BaseModel):
    """Secret key and its period of validity.

    Parameters
    ----------
    id : str
        Name of the key, sent with every signature.
    secret : str
        Secret of at least 16 bytes, in base64.
    not_before : float or None, default=None
        Unix time in seconds from which the key signs. It is accepted for
        verification earlier, because the clocks of the processes differ.
    not_after : float or None, default=None
        Unix time in seconds from which the key neither signs nor is accepted.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    id: str = Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")
    secret: str = Field(repr=False)
    not_before: float | None = None
    not_after: float | None = None

    @field_validator("secret")
    @classmethod
    def _validate_secret(cls, value: str) -> str:
        try:
            raw = base64.b64decode(value, validate=True)
        except binascii.Error:
            raise ValueError("secret is not base64") from None
        if len(raw) < MIN_SECRET_BYTES:
            raise ValueError(f"secret has fewer than {MIN_SECRET_BYTES} bytes")
        return value

    @property
    def secret_bytes(self) -> bytes:
        """Decoded secret."""
        return base64.b64decode(self.secret)


class KeyFile(BaseModel):
    """Content of a key file."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    keys: tuple[KeyEntry, ...] = Field(min_length=1, max_length=MAX_KEYS)

    @field_validator("keys")
    @classmethod
    def _validate_ids(cls, value: tuple[KeyEntry, ...]) -> tuple[KeyEntry, ...]:
        if len({entry.id for entry in value}) != len(value):
            raise ValueError("two keys have the same id")
        return value


@dataclass(frozen=True, slots=True)
class KeyFileError:
    """Reason why a key file cannot be used; contains no secret."""

    path: str
    detail: str


def load_key_file(path: str | Path) -> Result[KeyFile, KeyFileError]:
    """Read and validate a key file.

    Parameters
    ----------
    path : str or Path
        JSON file of the form `{"keys": [{"id": ..., "secret": ...}]}`.

    Returns
    -------
    result : Result of KeyFile, KeyFileError
    """
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        return Err(KeyFileError(str(path), exc.strerror or "cannot be read"))
    try:
        return Ok(KeyFile.model_validate_json(data))
    except ValidationError as exc:
        first_error = exc.errors(include_input=False, include_url=False)[0]
        field_path = ".".join(str(part) for part in first_error["loc"])
        return Err(KeyFileError(str(path), f"{field_path}: {first_error['msg']}"))


def generate_key_file(path: str | Path, *, key_id: str = "k1") -> KeyFile:
    """Create a key file with one random secret, readable only by its owner.

    Parameters
    ----------
    path : str or Path
        Must not exist.
    key_id : str, default="k1"

    Returns
    -------
    keys : KeyFile

    Raises
    ------
    FileExistsError
        If the file already exists; it is left unchanged.
    """
    secret = base64.b64encode(secrets.token_bytes(SECRET_BYTES)).decode()
    keys = KeyFile(keys=(KeyEntry(id=key_id, secret=secret),))
    text = keys.model_dump_json(indent=2, exclude_none=True)
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
    with os.fdopen(fd, "w") as file:
        file.write(text + "\n")
    return keys
