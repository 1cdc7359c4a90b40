"""Teams of callers: their policies, their keys, and what each of them has running."""

from papayadyke_core.teams._keys import KEY_SECRET_BYTES, TeamKeys, make_team_keys
from papayadyke_core.teams._ledger import UNKNOWN_TEAM, TeamLedger, can_ever_run
from papayadyke_core.teams._policy import TeamPolicy

__all__ = [
    "KEY_SECRET_BYTES",
    "UNKNOWN_TEAM",
    "TeamKeys",
    "TeamLedger",
    "TeamPolicy",
    "can_ever_run",
    "make_team_keys",
]
