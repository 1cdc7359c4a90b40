"""Memory that further jobs may take."""

from __future__ import annotations

from typing import NamedTuple


class JobRoom(NamedTuple):
    """Memory that further jobs may take on each VM, in bytes.

    Parameters
    ----------
    all_jobs : int
    later_jobs : int
        Of these, for jobs that are due at later times. They keep their memory for
        long, so that a part is left to jobs that start at once.
    """

    all_jobs: int
    later_jobs: int
