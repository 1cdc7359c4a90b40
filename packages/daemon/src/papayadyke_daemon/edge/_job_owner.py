"""Which team a job belongs to, and who may ask for it."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from papayadyke_core.dispatch import Catalog, JobState, decode_progress
from papayadyke_daemon.edge._keys import JOB_PREFIX, decode_job
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._ports import Record

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job and its team, which is empty if it belongs to none."""

    state: JobState
    team: str = ""


def checks_owners(catalog: Catalog | None) -> bool:
    """Return whether jobs are accessible to their own team only."""
    return catalog is not None and catalog.teams is not None


def is_owner_unknown(catalog: Catalog | None, owner: str) -> bool:
    """Return whether a job has a team, and the configuration tells no teams.

    Who may cancel the job is then not known: the configuration may have lost its teams
    for some seconds.

    Parameters
    ----------
    catalog : Catalog or None
    owner : str
        Team of the job; empty for none.
    """
    return bool(owner) and not checks_owners(catalog)


def may_access(catalog: Catalog | None, *, owner: str, team: str) -> bool:
    """Return whether a team may see, cancel and resubmit a job.

    Jobs without a team, such as those that the build before stored, are accessible
    to every caller that the queue admits.

    Parameters
    ----------
    catalog : Catalog or None
    owner, team : str
        Teams of the job and of the caller; empty for none.
    """
    return not checks_owners(catalog) or owner in ("", team)


def read_owner(records: Iterable[Record]) -> str:
    """Return the team in the records of a job, its declaration or its progress.

    A decider of the build before stores progress without the team, so any record
    that has one counts. A record that cannot be decoded has none.
    """
    for record in records:
        try:
            data = record.value or b""
            is_job = record.key.startswith(JOB_PREFIX)
            owner = decode_job(data).team if is_job else decode_progress(data).team
        except (msgspec.DecodeError, ValueError) as exc:
            log_event(LOG, "intake: unreadable record", key=record.key, why=str(exc))
            continue
        if owner:
            return owner
    return ""
