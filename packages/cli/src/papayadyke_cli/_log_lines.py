"""Events of the structured logs of edge VMs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

# Event of a request that was not carried out, and of a job that ended.
REFUSED = "callers: refused"
JOB_ADDED = "decider: job added"
JOB_ENDED = "decider: job ended"
INTAKE = "intake: job"
OBJECT_START = '{"ts":'


def parse_events(
    lines: Iterable[str], *, vm: str = ""
) -> tuple[list[dict[str, Any]], int]:
    """Return the events of log lines and the number of lines that are unreadable.

    Parameters
    ----------
    lines : iterable of str
        Text before the JSON object of a line, such as a time and the name of a VM, is
        skipped; its last word is taken for the name of the VM. So is an object that
        was cut off by the next line.
    vm : str, default=""
        Name of the VM of lines without such a text.

    Returns
    -------
    events : list of dict
        Each has the time `ts` in Unix seconds, the name `msg` and the name `vm`.
    unreadable : int
        Non-empty lines without a JSON object that has a time and a name.
    """
    events: list[dict[str, Any]] = []
    unreadable = 0
    for line in lines:
        offset = max(line.find("{"), line.rfind(OBJECT_START))
        if offset < 0:
            unreadable += bool(line.strip())
            continue
        try:
            event = msgspec.json.decode(line[offset:])
            words = line[:offset].split()
            named = {"vm": words[-1] if words else vm}
            events.append(
                {**named, **event, "ts": float(event["ts"]), "msg": event["msg"]}
            )
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            unreadable += 1
    events.sort(key=lambda event: event["ts"])
    return events, unreadable
