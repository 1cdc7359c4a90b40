"""A short run of real processes, and every seed that once failed."""

import json
import random
from pathlib import Path

import pytest

from papayadyke_soak import FaultKind, SoakSettings, draw_faults, run_soak

CASES = json.loads((Path(__file__).parent / "cases.json").read_text())
# Faults of the seeds that failed before there were recuts.
WITHOUT_RECUTS = tuple(
    kind for kind in FaultKind if kind is not FaultKind.UPSTREAM_RECUT
)


@pytest.mark.parametrize(
    "case", CASES, ids=[f"seed-{case['seed']}-{case['cause'][:30]}" for case in CASES]
)
def test_no_promise_is_broken(case, tmp_path):
    kinds = {"all": tuple(FaultKind), "without recuts": WITHOUT_RECUTS}
    kinds["recuts"] = (FaultKind.UPSTREAM_RECUT,)
    cfg = SoakSettings(
        seed=case["seed"],
        minutes=case["minutes"],
        processes=case["processes"],
        upstreams=case["upstreams"],
        kinds=kinds[case["kinds"]],
        long_share=case["long_share"],
    )
    report = run_soak(cfg, tmp_path)
    assert report.violations == []
    assert report.accepted > 0


def test_faults_are_of_the_kinds_that_were_asked_for():
    kinds = (FaultKind.UPSTREAM_RECUT, FaultKind.VM_KILL)
    for kind in kinds:
        faults = draw_faults(random.Random(7), 60.0, [kind])
        assert {fault.kind for fault in faults} == {kind}
    faults = draw_faults(random.Random(7), 60.0, kinds)
    assert {fault.kind for fault in faults} == set(kinds)


# A seed that once failed would have had other faults with each new kind.
def test_faults_of_a_seed_do_not_depend_on_recuts():
    with_recuts = draw_faults(random.Random(319), 18.0)
    without = draw_faults(random.Random(319), 18.0, WITHOUT_RECUTS)
    assert [fault for fault in with_recuts if fault.kind in WITHOUT_RECUTS] == without
    assert len(with_recuts) > len(without)


def test_faults_are_the_same_for_a_seed():
    first = draw_faults(random.Random(7), 30.0)
    assert first == draw_faults(random.Random(7), 30.0)
    assert all(fault.at_s + fault.for_s <= 32.0 for fault in first)
