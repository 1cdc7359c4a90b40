import importlib
from pathlib import Path

import pytest

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, Refuse, Request, Scheduler, Start
from papayadyke_core.workloads import Config, Kind, Urgency, Workload

BENCHMARKS = Path(__file__).parents[1] / "benchmarks"


@pytest.fixture
def load(monkeypatch):
    monkeypatch.syspath_prepend(str(BENCHMARKS))
    return importlib.import_module


def make_baseline(load, rank_name, *, cores=4, slots=8):
    module = load("policy_baselines")
    scheduler = module.BaselineScheduler(rank_of=getattr(module, rank_name))
    one = Resources(1000, 1000)
    workloads = {
        "slow": Workload("slow", Kind.BATCH, one * 4, urgency=Urgency.DEFERRABLE),
        "quick": Workload("quick", Kind.SERVICE, one, urgency=Urgency.URGENT),
        "gang": Workload("gang", Kind.GANG, one, queue_limit=1),
    }
    scheduler.apply_config(Config(revision=1, workloads=workloads), 0.0)
    spec = UpstreamSpec("u0", "hobart", "r0", one * cores, slots)
    scheduler.add_upstream(spec, 0.0)
    return scheduler


def submit(scheduler, *names, tasks=1):
    for number, name in enumerate(names):
        scheduler.submit(Request(f"{name}{number}", name, 9.0, tasks=tasks), 0.0)


def started(decisions):
    return [item.request_id for item in decisions if isinstance(item, Start)]


def test_first_come_keeps_the_order_and_waits_behind_its_head(load):
    scheduler = make_baseline(load, "rank_all_alike")
    submit(scheduler, "quick", "slow", "quick")
    assert started(scheduler.decide(0.0)) == ["quick0"]
    scheduler.finish("quick0.1.0", Outcome.ANSWERED, 1.0)
    assert started(scheduler.decide(1.0)) == ["slow1"]


def test_strict_priority_starts_the_most_urgent_first(load):
    scheduler = make_baseline(load, "rank_by_urgency")
    submit(scheduler, "slow", "quick")
    assert started(scheduler.decide(0.0)) == ["quick1"]


def test_baselines_refuse_full_queues_and_passed_deadlines(load):
    scheduler = make_baseline(load, "rank_all_alike")
    submit(scheduler, "gang", tasks=5)
    assert scheduler.submit(Request("more", "gang", 9.0), 0.0) is not None
    assert scheduler.decide(0.0) == []
    refused = scheduler.decide(9.0)
    assert [type(item) for item in refused] == [Refuse]


@pytest.mark.parametrize("deployment", ["BRANNOCK", "LIMONADIKOULU"])
def test_bound_is_never_below_a_mix_that_fits(load, deployment):
    measures = load("policy_measures")
    where = getattr(load("policy_loads"), deployment)
    workloads = where.config.workloads
    capacity, slots = where.upstreams[0].capacity * 4, 32
    small, middle, big = workloads.values()
    for one in range(0, 33, 4):
        for two in range(0, 33, 4):
            for three in range(0, 17, 2):
                held = small.demand * one + middle.demand * two + big.demand * three
                if not held.fits_in(capacity) or one + two + three > slots:
                    continue
                present = {small.name: one, middle.name: two, big.name: three}
                use = sum(
                    measures.share_of_task(w.demand, capacity, slots) * present[name]
                    for name, w in workloads.items()
                )
                best = measures.most_useful_mix(workloads, present, capacity, slots)
                assert best == pytest.approx(use)


def test_ordinary_part_of_a_load_is_the_same_in_a_flood(load):
    loads = load("policy_loads")
    scenarios = {item.name: item for item in loads.SCENARIOS}
    drawn = {
        name: loads.draw_arrivals(loads.LIMONADIKOULU, scenarios[name], 3)
        for name in ("ordinary", "flood-most")
    }
    flood = [item for item in drawn["flood-most"] if "-o" in item.request_id]
    assert flood == drawn["ordinary"]
    urgent = [item for item in drawn["flood-most"] if "-x" in item.request_id]
    assert len(urgent) > 30_000


class BadScheduler(Scheduler):
    """A scheduler whose starts are tampered with."""

    def __init__(self, tamper):
        super().__init__()
        self.tamper = tamper

    def decide(self, now):
        return self.tamper(super().decide(now))


@pytest.mark.parametrize(
    ("tamper", "message"),
    [
        (lambda decisions: decisions * 2, "twice"),
        (lambda decisions: decisions[: 3 if len(decisions) > 3 else None], "in parts"),
        (
            lambda decisions: [
                Start(d.task_id, d.request_id, d.index, "u0", d.demand)
                for d in decisions
            ],
            "more than it holds",
        ),
    ],
)
def test_driver_catches_what_may_never_happen(load, monkeypatch, tamper, message):
    drive, loads = load("policy_drive"), load("policy_loads")
    monkeypatch.setattr(drive, "DURATION_S", 20.0)
    run = drive.Drive(BadScheduler(tamper), loads.LIMONADIKOULU, loads.SCENARIOS[0], 1)
    with pytest.raises(drive.BenchmarkError, match=message):
        run.run()
