"""Teams of callers: their policies, and the keys by which callers are identified."""

from papayadyke_core.teams._keys import KEY_SECRET_BYTES, TeamKeys, make_team_keys
from papayadyke_core.teams._policy import TeamPolicy

__all__ = ["KEY_SECRET_BYTES", "TeamKeys", "TeamPolicy", "make_team_keys"]
