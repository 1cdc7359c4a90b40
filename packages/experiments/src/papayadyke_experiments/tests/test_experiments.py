"""Experiments: scenarios and variants are checked, and simulations can be repeated."""

import json
import random
from pathlib import Path

import pytest
from typer.testing import CliRunner

from papayadyke_core.dispatch import (
    RunEnd,
    StartOrder,
    StepSpec,
    StopOrder,
    TaskId,
)
from papayadyke_experiments import (
    MECHANISMS,
    Crash,
    Fleet,
    JobOutcome,
    Kind,
    LogNormal,
    Scenario,
    ScenarioError,
    Silence,
    Simulation,
    StoreOutage,
    Takeover,
    VariantError,
    compare_paired,
    measure,
    parse_variant,
    read_scenario,
    simulate,
)
from papayadyke_experiments._upstreams import RESTORE_S, SimulatedFleet, make_upstreams
from papayadyke_experiments.main import app

SCENARIOS = Path(__file__).parents[1] / "scenarios"


def make_scenario(*events, load=0.5, **fields):
    kind = Kind(
        name="lookup",
        priority=0,
        jobs_per_s=5.0,
        run_s=LogNormal(mean=0.5, spread=0.3),
        width=LogNormal(mean=2.0, spread=0.5, max=4.0),
        gang_share=0.5,
        **fields,
    )
    fleet = Fleet(upstreams=6, cores=4, speeds=(0.8, 1.0, 1.2))
    return Scenario(
        name="small",
        fleet=fleet,
        kinds=(kind,),
        events=events,
        duration_s=6.0,
        drain_s=20.0,
        load=load,
    )


def test_same_seed_gives_the_same_outcomes():
    scenario = make_scenario(Takeover(at_s=2.0), Crash(at_s=3.0, for_s=1.0, share=0.3))
    assert simulate(scenario, seed=3) == simulate(scenario, seed=3)
    assert simulate(scenario, seed=3) != simulate(scenario, seed=4)


def test_variants_are_compared_on_the_same_arrivals():
    rows = [
        simulate(make_scenario(), seed=1, settings={"job_rank": rank})
        for rank in ("priority", "arrival")
    ]
    first, second = ([(o.kind, o.at_s, o.value) for o in row] for row in rows)
    assert first == second


@pytest.mark.parametrize(
    "event",
    [
        Takeover(at_s=2.0),
        StoreOutage(at_s=2.0, for_s=2.0),
        Crash(at_s=2.0, for_s=2.0, share=0.5),
        Silence(at_s=2.0, for_s=3.0, share=0.5),
    ],
    ids=lambda event: event.type,
)
def test_every_job_ends_or_is_refused(event):
    outcomes = simulate(make_scenario(event), seed=5)
    assert outcomes
    assert all(o.age_s is not None or o.is_refused for o in outcomes)


def test_no_task_runs_twice_at_a_time_across_a_takeover_and_silence(monkeypatch):
    scenario = make_scenario(
        Silence(at_s=1.0, for_s=3.0, share=0.5), Takeover(at_s=1.5), load=0.8
    )
    simulation = Simulation(scenario, seed=2)
    fleet = simulation._fleet
    start = fleet.start
    starts = []

    def check_and_start(order, now):
        elsewhere = [
            name
            for name, upstream in fleet.upstreams.items()
            if name != order.upstream_id and order.task in upstream.runs
        ]
        assert not elsewhere
        starts.append(order.task)
        return start(order, now)

    monkeypatch.setattr(fleet, "start", check_and_start)
    simulation.run()
    assert len(starts) > 20


def test_failed_runs_are_tried_again():
    outcomes = simulate(make_scenario(error_share=0.2), seed=1)
    assert measure(outcomes).whole > 0.8


def test_stopped_task_resumes_from_its_checkpoint():
    upstreams = make_upstreams(
        1, cores=4, memory_mb=100, speeds=(1.0,), rack_size=1, rng=random.Random(0)
    )
    fleet = SimulatedFleet(
        upstreams,
        run_s=lambda task: 4.0,
        get_step=lambda task: StepSpec(1, is_checkpointing=True),
        draw_end=lambda task, attempt: RunEnd.DONE,
    )
    (upstream,) = upstreams
    task = TaskId("job", 0, 0, 0)
    fleet.start(StartOrder(upstream.name, task, 1, "p"), 0.0)
    fleet.stop(StopOrder(upstream.name, task, 1, "room"), 3.0)
    checkpoint = upstream.ended[-1].checkpoint
    fleet.start(StartOrder(upstream.name, task, 2, "p", checkpoint), 10.0)
    assert upstream.runs[task].end_s == pytest.approx(10.0 + 1.0 + RESTORE_S)


def test_late_and_unfinished_jobs_lose_value_to_their_largest_delay():
    outcomes = [
        JobOutcome("k", 0.0, 1.0, 1.0, 0.5, False),
        JobOutcome("k", 0.1, 1.0, 1.0, 2.0, False, {"room": 1.0, "store": 0.2}),
        JobOutcome("k", 0.2, 2.0, 1.0, None, True),
    ]
    measures = measure(outcomes)
    assert measures.whole == pytest.approx((1.0 + 0.2) / 4.0)
    assert measures.causes == {
        "room": pytest.approx(0.8 / 4.0),
        "refused": pytest.approx(2.0 / 4.0),
    }


def test_interval_of_a_clear_difference_excludes_zero():
    base = [0.5, 0.6, 0.7, 0.8]
    better = compare_paired([value + 0.1 for value in base], base)
    assert better.is_clear
    assert better.mean == pytest.approx(0.1)
    assert not compare_paired([0.6, 0.5, 0.7, 0.8], base).is_clear
    with pytest.raises(ValueError, match="same seeds"):
        compare_paired([0.1], base)


@pytest.mark.parametrize("name", MECHANISMS)
def test_each_mechanism_can_be_switched_off(name):
    variant = parse_variant(f"without:{name}")
    assert simulate(make_scenario(), seed=1, settings=dict(variant.settings))


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("without:luck", "there is no mechanism luck"),
        ("speed", "not a setting"),
        ("luck=1", "not a setting"),
        ("stop_s=soon", "stop_s"),
        ("learns_run_times=perhaps", "learns_run_times"),
    ],
)
def test_unknown_variants_are_errors(text, message):
    with pytest.raises(VariantError, match=message):
        parse_variant(text)


def test_variant_values_have_the_type_of_their_setting():
    variant = parse_variant("learns_run_times=false,reserving_gangs=3,stop_s=1")
    assert variant.settings == {
        "learns_run_times": False,
        "reserving_gangs": 3,
        "stop_s": 1.0,
    }


@pytest.mark.parametrize("name", ["mixed.json", "troubled.json", "wide.json"])
def test_scenarios_of_the_package_are_valid(name):
    scenario = read_scenario(SCENARIOS / name)
    assert scenario.rate_factor > 0


def test_errors_of_a_scenario_name_their_place(tmp_path):
    path = tmp_path / "scenario.json"
    with pytest.raises(ScenarioError, match="No such file"):
        read_scenario(path)
    path.write_text("{")
    with pytest.raises(ScenarioError, match=r"scenario\.json"):
        read_scenario(path)
    data = json.loads((SCENARIOS / "troubled.json").read_text())
    data["fleet"]["cores"] = 0
    path.write_text(json.dumps(data))
    with pytest.raises(ScenarioError, match=r"fleet\.cores"):
        read_scenario(path)
    data["fleet"]["cores"] = 4
    data["events"] = [
        {"type": "burst", "at_s": 1, "for_s": 1, "kind": "x", "factor": 2}
    ]
    path.write_text(json.dumps(data))
    with pytest.raises(ScenarioError, match="unknown kind x"):
        read_scenario(path)


def test_command_compares_variants_and_writes_a_plot(tmp_path):
    path, plot = tmp_path / "scenario.json", tmp_path / "plot.svg"
    path.write_text(make_scenario().model_dump_json())
    options = ["--seeds", "2", "--jobs", "1", "--plot", str(plot)]
    result = CliRunner().invoke(
        app, ["compare", str(path), "base", "job_rank=arrival", *options]
    )
    assert result.exit_code == 0, result.output
    assert "job_rank=arrival" in result.output
    assert plot.read_text().startswith("<?xml")


def test_command_refuses_an_unknown_variant(tmp_path):
    path = tmp_path / "scenario.json"
    path.write_text(make_scenario().model_dump_json())
    result = CliRunner().invoke(app, ["compare", str(path), "without:luck"])
    assert result.exit_code == 2
    assert "there is no mechanism luck" in result.output


def make_outcome(work_core_s, *, is_served, kind="k"):
    age_s = 1.0 if is_served else None
    return JobOutcome(kind, 0.0, 1.0, 2.0, age_s, False, work_core_s=work_core_s)


def test_large_jobs_that_are_passed_over_show_in_their_own_measure():
    """A mean over all jobs of a kind hid that only its largest were lost."""
    jobs = [make_outcome(float(n), is_served=n < 18) for n in range(20)]
    assert measure(jobs).large_served == 0.0
    jobs = [make_outcome(float(n), is_served=n not in (15, 16)) for n in range(20)]
    assert measure(jobs).large_served == pytest.approx(0.5 / 0.9)
    assert measure([make_outcome(1.0, is_served=False)]).large_served == 1.0


def test_largest_jobs_are_served_at_least_half_as_often_as_all_of_their_kind():
    """Guards against wide gangs that are passed over when there is too much work.

    The bound is that of the users: half of the share of all jobs of the kind.
    """
    scenario = read_scenario(SCENARIOS / "wide.json")
    assert measure(simulate(scenario, seed=1)).large_served >= 0.5
