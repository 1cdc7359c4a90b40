"""Keys of teams, held as digests."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass, field

KEY_SECRET_BYTES = 32  # length of the output of SHA-256; a longer key adds nothing


@dataclass(frozen=True, slots=True, repr=False)
class TeamKeys:
    """Teams by the digests of their keys.

    Only HMAC-SHA-256 digests are held, so that neither a memory dump nor the time of
    a lookup reveals a key. The representation contains neither digests nor the
    secret.

    Parameters
    ----------
    secret : bytes
        Random key of the digests, of `KEY_SECRET_BYTES` bytes.
    teams : dict of bytes to str
        Names of the teams by the digests of their keys.
    """

    secret: bytes = b""
    teams: dict[bytes, str] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.teams)

    def __repr__(self) -> str:
        return f"TeamKeys({len(self.teams)} keys)"

    def find_team(self, key: str) -> str | None:
        """Return the name of the team that a key belongs to, or None if unknown."""
        return self.teams.get(_digest(self.secret, key))


def make_team_keys(keys: Iterable[tuple[str, str]], *, secret: bytes) -> TeamKeys:
    """Return the digest table of keys.

    Parameters
    ----------
    keys : iterable of (str, str)
        Key and name of its team. Empty keys are left out, since a request without a
        key would match them. A key of several teams belongs to the first.
    secret : bytes
        Random key of the digests, of `KEY_SECRET_BYTES` bytes.
    """
    teams: dict[bytes, str] = {}
    for key, team in keys:
        if key:
            teams.setdefault(_digest(secret, key), team)
    return TeamKeys(secret, teams)


def _digest(secret: bytes, key: str) -> bytes:
    # Headers may hold bytes that are not UTF-8, which arrive as lone surrogates.
    return hmac.digest(secret, key.encode(errors="surrogatepass"), "sha256")
