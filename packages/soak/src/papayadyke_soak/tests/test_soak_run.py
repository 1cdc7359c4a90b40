"""A short run of real processes, and every seed that once failed."""

import json
import random
from pathlib import Path

import pytest

from papayadyke_soak import SoakSettings, draw_faults, run_soak

CASES = json.loads((Path(__file__).parent / "cases.json").read_text())


@pytest.mark.parametrize(
    "case", CASES, ids=[f"seed-{case['seed']}-{case['cause'][:30]}" for case in CASES]
)
def test_no_promise_is_broken(case, tmp_path):
    cfg = SoakSettings(
        seed=case["seed"], minutes=case["minutes"], processes=case["processes"]
    )
    report = run_soak(cfg, tmp_path)
    assert report.violations == []
    assert report.accepted > 0


def test_faults_are_the_same_for_a_seed():

    first = draw_faults(random.Random(7), 30.0)
    assert first == draw_faults(random.Random(7), 30.0)
    assert all(fault.at_s + fault.for_s <= 32.0 for fault in first)
