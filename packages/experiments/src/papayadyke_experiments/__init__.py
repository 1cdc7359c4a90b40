"""Experiments on the decisions of the dispatcher, in virtual time.

A scenario describes a fleet, the jobs that arrive and what fails. The real dispatcher
decides; upstreams, the store, the advisory service and callers are simulated. All
random draws depend on the seed alone, so that variants of the settings are compared on
the same arrivals, run times and failures.
"""

from papayadyke_experiments._outcomes import JobOutcome, Measures, measure
from papayadyke_experiments._scenario import (
    Advice,
    Burst,
    Crash,
    Fleet,
    Kind,
    LogNormal,
    Scenario,
    ScenarioError,
    Silence,
    Slowdown,
    StoreOutage,
    Takeover,
    read_scenario,
)
from papayadyke_experiments._simulation import Simulation, simulate
from papayadyke_experiments._statistics import PairedDifference, compare_paired
from papayadyke_experiments._variants import (
    MECHANISMS,
    Variant,
    VariantError,
    parse_variant,
)

__all__ = [
    "MECHANISMS",
    "Advice",
    "Burst",
    "Crash",
    "Fleet",
    "JobOutcome",
    "Kind",
    "LogNormal",
    "Measures",
    "PairedDifference",
    "Scenario",
    "ScenarioError",
    "Silence",
    "Simulation",
    "Slowdown",
    "StoreOutage",
    "Takeover",
    "Variant",
    "VariantError",
    "compare_paired",
    "measure",
    "parse_variant",
    "read_scenario",
    "simulate",
]
