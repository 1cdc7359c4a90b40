"""Variants of the dispatcher's settings, and what to set to do without a mechanism."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from types import MappingProxyType
from typing import Any

from papayadyke_core.dispatch import DispatchSettings

# Settings without each mechanism.
MECHANISMS: Mapping[str, Mapping[str, Any]] = MappingProxyType(
    {
        "learned_run_times": {"learns_run_times": False},
        "gang_reservation": {"reserving_gangs": 0, "reserved_share": 0.0},
        "short_tasks_on_reserved": {"short_task_s": 0.0},
        "even_gang_speeds": {"evens_gang_speeds": False},
        "rank_by_work_left": {"job_rank": "arrival"},
        "rank_late_urgent_first": {"job_rank": "lateness"},
        "quick_advice_slots": {"quick_advice_slots": 0},
        "preemption": {"preempts": False},
        "setting_aside": {"sets_upstreams_aside": False},
        "fast_left_to_urgent": {"upstream_order": "fastest"},
        "waiting_for_speed": {"speed_waits": "none"},
        "urgent_reserve": {"urgent_share": 0.0},
    }
)
BASE = "base"
WITHOUT = "without:"


class VariantError(ValueError):
    """A variant names an unknown setting or mechanism, or has an invalid value."""


@dataclass(frozen=True, slots=True)
class Variant:
    """A named set of settings that differ from the defaults."""

    name: str
    settings: Mapping[str, Any]


def parse_variant(text: str) -> Variant:
    """Return the variant that a text describes.

    Parameters
    ----------
    text : str
        `base`, `without:MECHANISM`, or settings as in `speed_waits=all,stop_s=1`.

    Raises
    ------
    VariantError
        If a name is unknown, or a value does not have the type of its setting.
    """
    if text == BASE:
        return Variant(text, {})
    if text.startswith(WITHOUT):
        name = text.removeprefix(WITHOUT)
        if name not in MECHANISMS:
            known = ", ".join(MECHANISMS)
            raise VariantError(f"there is no mechanism {name}; there are {known}")
        return Variant(text, MECHANISMS[name])
    settings = dict(_parse_setting(part) for part in text.split(","))
    return Variant(text, settings)


def _parse_setting(text: str) -> tuple[str, Any]:
    name, separator, value = text.partition("=")
    defaults: dict[str, Any] = {f.name: f.default for f in fields(DispatchSettings)}
    if not separator or name not in defaults:
        raise VariantError(f"{text}: not a setting of the dispatcher with a value")
    default = defaults[name]
    try:
        if isinstance(default, bool):
            return name, {"true": True, "false": False}[value]
        return name, type(default)(value)
    except (KeyError, ValueError, TypeError) as exc:
        raise VariantError(f"{name}: {value!r} is not valid") from exc
