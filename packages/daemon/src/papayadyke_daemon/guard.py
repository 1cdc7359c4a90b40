"""Keeping a thread alive when one of its steps fails."""

from __future__ import annotations

import logging
from collections.abc import Callable

LOG = logging.getLogger(__name__)


def guard_step(part: str, step: Callable[[], None]) -> bool:
    """Run a step; log a failure in place of ending the thread.

    Parameters
    ----------
    part : str
        Prefix of the log line.
    step : callable

    Returns
    -------
    done : bool
        False where the step failed.
    """
    try:
        step()
    except Exception:
        LOG.exception("%s: a step failed", part)
        return False
    return True
