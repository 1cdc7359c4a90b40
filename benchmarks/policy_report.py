"""Tables, targets and a plot from the measures of many runs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import numpy as np
from policy_loads import DEPLOYMENTS, FLOOD, SCENARIOS, Deployment

FLOODS = ("flood-least", "flood-most", "flood-both")
MAX_WAIT_RATIO = 1.2
MIN_FLOOR_KEPT = 0.95
MIN_GOODPUT = 0.95
MIN_PACKING = 0.9
MIN_GOODPUT_WITH_BAD_UPSTREAM = 0.99

Result = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Run:
    """One run, by what it was of."""

    policy: str
    deployment: str
    scenario: str
    seed: int

    def key(self) -> tuple[str, str, str, int]:
        """Return the fields in order."""
        return self.policy, self.deployment, self.scenario, self.seed


class Table:
    """The results of one deployment, looked up by scenario and policy."""

    def __init__(self, results: dict[Run, Result], deployment: Deployment) -> None:
        self.deployment = deployment
        self._results = results
        self.policies = _in_order(run.policy for run in results)
        self.scenarios = _in_order(run.scenario for run in results)
        self.names = [demand.workload.name for demand in deployment.demands]

    def per_seed(self, scenario: str, policy: str) -> list[Result]:
        """Return the results of all seeds."""
        return [
            result
            for run, result in self._results.items()
            if run.scenario == scenario
            and run.policy == policy
            and run.deployment == self.deployment.name
        ]

    def worst(
        self,
        scenario: str,
        policy: str,
        value: Callable[[Result], float],
        choose: Callable[[list[float]], float],
    ) -> float:
        """Return the worst value over the seeds, or NaN without any."""
        values = [value(result) for result in self.per_seed(scenario, policy)]
        return choose(values) if values else float("nan")

    def goodput_ratio(
        self, scenario: str, policy: str, names: list[str] | None = None
    ) -> float:
        """Return the goodput against that of the ordinary day, worst seed."""
        chosen = names or self.names
        pairs = zip(
            self.per_seed(scenario, policy),
            self.per_seed("ordinary", policy),
            strict=False,
        )
        ratios = [
            sum(one["goodput"][n] for n in chosen)
            / sum(other["goodput"][n] for n in chosen)
            for one, other in pairs
        ]
        return min(ratios, default=float("nan"))

    def others(self, scenario: str) -> list[str]:
        """Return the workloads that don't flood in a scenario."""
        flooding = next(s for s in SCENARIOS if s.name == scenario).flooding
        return [
            name
            for index, name in enumerate(self.names)
            if index not in flooding and index - len(self.names) not in flooding
        ]


def print_report(results: dict[Run, Result], failed: list[Run]) -> None:
    """Print all tables as Markdown."""
    for deployment in DEPLOYMENTS:
        if any(run.deployment == deployment.name for run in results):
            table = Table(results, deployment)
            _print_scenarios(table)
            _print_targets(table)
    for run in failed:
        print(f"FAILED: {run.key()}")


def _print_scenarios(table: Table) -> None:
    print(f"\n### {table.deployment.name}\n")
    waits = " | ".join(f"{name} wait ms p50/p95/p99" for name in table.names)
    print(
        f"| scenario | policy | {waits} | goodput | others' goodput | floor kept "
        "| packing | wasted | repeated | refused | decide us p50/p99 | us per start |"
    )
    print("|---" * (len(table.names) + 11) + "|")
    for scenario in table.scenarios:
        for policy in table.policies:
            if table.per_seed(scenario, policy):
                print(_row(table, scenario, policy))


def _row(table: Table, scenario: str, policy: str) -> str:
    found = table.per_seed(scenario, policy)
    cells = [scenario, policy]
    for name in table.names:
        waits = np.mean([result["waits_ms"][name] for result in found], axis=0)
        cells.append("/".join(_ms(value) for value in waits))
    others = table.others(scenario)
    cells.append(f"{table.goodput_ratio(scenario, policy):.3f}")
    cells.append(f"{table.goodput_ratio(scenario, policy, others):.3f}")
    cells.append(f"{min(_floor_kept(result) for result in found):.3f}")
    for key in ("packing", "wasted", "repeated"):
        cells.append(f"{np.mean([result[key] for result in found]):.3f}")
    cells.append(f"{np.mean([_refused_part(result) for result in found]):.3f}")
    p50 = np.mean([result["decide_p50_us"] for result in found])
    p99 = np.mean([result["decide_p99_us"] for result in found])
    cells.append(f"{p50:.0f}/{p99:.0f}")
    cells.append(f"{np.mean([result['start_us'] for result in found]):.0f}")
    return "| " + " | ".join(cells) + " |"


def _print_targets(table: Table) -> None:
    print(f"\nTargets of {table.deployment.name}, by the worst seed:\n")
    print("| target | scenario | " + " | ".join(table.policies) + " |")
    print("|---" * (len(table.policies) + 2) + "|")
    urgent = table.names[0]
    for scenario in FLOODS:
        _print_target(
            table,
            f"p99 waiting of {urgent} <= {MAX_WAIT_RATIO} x ordinary",
            scenario,
            lambda policy, scenario=scenario: _wait_ratio(table, scenario, policy),
            lambda value: value <= MAX_WAIT_RATIO,
        )
    for scenario in FLOODS:
        _print_target(
            table,
            f"every other workload keeps >= {MIN_FLOOR_KEPT} of its floor in 5 s",
            scenario,
            lambda policy, scenario=scenario: table.worst(
                scenario, policy, _floor_kept, min
            ),
            lambda value: value >= MIN_FLOOR_KEPT,
        )
    for scenario in FLOODS:
        _print_target(
            table,
            f"goodput >= {MIN_GOODPUT} of no-flood goodput",
            scenario,
            lambda policy, scenario=scenario: table.goodput_ratio(scenario, policy),
            lambda value: value >= MIN_GOODPUT,
        )
    for scenario in FLOODS:
        _print_target(
            table,
            f"packing >= {MIN_PACKING} of the bound",
            scenario,
            lambda policy, scenario=scenario: table.worst(
                scenario, policy, lambda result: result["packing"], min
            ),
            lambda value: value >= MIN_PACKING,
        )
    _print_target(
        table,
        f"goodput >= {MIN_GOODPUT_WITH_BAD_UPSTREAM} of that without a bad upstream",
        "failing-upstream",
        lambda policy: table.goodput_ratio("failing-upstream", policy),
        lambda value: value >= MIN_GOODPUT_WITH_BAD_UPSTREAM,
    )


def _print_target(
    table: Table,
    target: str,
    scenario: str,
    value: Callable[[str], float],
    is_met: Callable[[float], bool],
) -> None:
    if scenario not in table.scenarios:
        return
    cells = []
    for policy in table.policies:
        found = value(policy)
        word = "met" if is_met(found) else "NOT met"
        cells.append("not run" if np.isnan(found) else f"{found:.3f} {word}")
    print(f"| {target} | {scenario} | " + " | ".join(cells) + " |")


def _wait_ratio(table: Table, scenario: str, policy: str) -> float:
    urgent = table.names[0]
    pairs = zip(
        table.per_seed(scenario, policy),
        table.per_seed("ordinary", policy),
        strict=False,
    )
    ratios = [
        one["waits_ms"][urgent][2] / other["waits_ms"][urgent][2]
        for one, other in pairs
    ]
    return max(ratios, default=float("nan"))


def _floor_kept(result: Result) -> float:
    return min(result["floor_kept"].values(), default=float("nan"))


def _refused_part(result: Result) -> float:
    return sum(result["refused"].values()) / sum(result["arrived"].values())


def _ms(value: float) -> str:
    return f"{value:.1f}" if value < 100 else f"{value:.0f}"


def _in_order(values: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(values))


def write_plot(results: dict[Run, Result], path: str, *, seed: int) -> None:
    """Draw what each workload holds through both floods, by policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    policies = _in_order(run.policy for run in results)
    shown = [
        deployment
        for deployment in DEPLOYMENTS
        if any(run.deployment == deployment.name for run in results)
        and not deployment.name.endswith("-owner")
    ]
    figure, axes = plt.subplots(
        len(shown),
        len(policies),
        figsize=(4.2 * len(policies), 3.4 * len(shown)),
        sharex=True,
        sharey=True,
        squeeze=False,
    )
    for row, deployment in enumerate(shown):
        for column, policy in enumerate(policies):
            axis = axes[row][column]
            result = results.get(Run(policy, deployment.name, "flood-both", seed))
            if result is not None and "error" not in result:
                _draw_shares(axis, deployment, result)
            axis.set_title(f"{deployment.name}: {policy}", fontsize=10)
        axes[row][0].set_ylabel("part of the fleet held")
        axes[row][-1].legend(fontsize=7, loc="upper right")
    for axis in axes[-1]:
        axis.set_xlabel("seconds")
    figure.suptitle(
        "Held share through a flood of the least urgent work, then of the most urgent"
        " (dashed: floors; shaded: floods)"
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def _draw_shares(axis: Any, deployment: Deployment, result: Result) -> None:
    series = result["series"]
    middle_s = sum(FLOOD) / 2
    axis.axvspan(FLOOD[0], middle_s, color="0.93")
    axis.axvspan(middle_s, FLOOD[1], color="0.86")
    for index, demand in enumerate(deployment.demands):
        name = demand.workload.name
        held = np.convolve(series[name], np.ones(10) / 10, "valid")
        axis.plot(
            series["at_s"][9:], held, color=f"C{index}", label=name, linewidth=1.2
        )
        axis.axhline(
            demand.workload.floor, color=f"C{index}", linestyle="--", linewidth=0.7
        )
    axis.set_ylim(0.0, 1.05)
