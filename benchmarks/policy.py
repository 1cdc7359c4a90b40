"""Compares scheduling policies over seeded loads, in virtual time.

    python benchmarks/policy.py --seeds 1 2 3 --plot docs/img/policy.png
    python benchmarks/policy.py --earlier COMMIT --scenarios flood-most

Every run is a process of its own, so that an earlier version of the project can
stand beside the present one.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from policy_baselines import BaselineScheduler, rank_all_alike, rank_by_urgency
from policy_drive import Drive
from policy_loads import DEPLOYMENTS, SCENARIOS, concerns
from policy_report import Run, print_report, write_plot

from papayadyke_core.scheduling import SchedulerProtocol

SOURCE = "packages/core/src"
DEPLOYMENT_OF = {item.name: item for item in DEPLOYMENTS}
SCENARIO_OF = {item.name: item for item in SCENARIOS}


def make_project() -> SchedulerProtocol:
    from papayadyke_core.scheduling import Scheduler

    return Scheduler()


POLICIES: dict[str, Callable[[], SchedulerProtocol]] = {
    "first-come": lambda: BaselineScheduler(rank_of=rank_all_alike),
    "strict-priority": lambda: BaselineScheduler(rank_of=rank_by_urgency),
    "earlier": make_project,
    "papayadyke": make_project,
}


def run_one(policy: str, deployment: str, scenario: str, seed: int) -> None:
    """Do one run and print its measures as JSON."""
    where = DEPLOYMENT_OF[deployment]
    what = SCENARIO_OF[scenario]
    drive = Drive(POLICIES[policy](), where, what, seed)
    json.dump(drive.run().condense(what), sys.stdout)


def run_in_process(run: Run, earlier: str | None) -> dict[str, object]:
    """Do one run in a process of its own and return its measures."""
    env = dict(os.environ)
    if run.policy == "earlier" and earlier is not None:
        env["PYTHONPATH"] = earlier
    command = [sys.executable, __file__, "--one", *map(str, run.key())]
    done = subprocess.run(command, env=env, capture_output=True, text=True)
    if done.returncode != 0:
        last = done.stderr.strip().splitlines()[-1:]
        print(f"FAILED {run.key()}: {last}", file=sys.stderr)
        return {"error": last}
    return json.loads(done.stdout)


def unpack(commit: str, folder: str) -> str:
    """Write an earlier version of the core into a folder and return its path."""
    archive = subprocess.run(
        ["git", "archive", commit, SOURCE], check=True, capture_output=True
    )
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    return str(Path(folder) / SOURCE)


def parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--scenarios", nargs="+", default=list(SCENARIO_OF))
    parser.add_argument("--deployments", nargs="+", default=list(DEPLOYMENT_OF))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--earlier", help="commit of the version to compare with")
    parser.add_argument("--workers", type=int, default=2, help="runs at a time")
    parser.add_argument("--plot", help="where to write a PNG")
    parser.add_argument("--one", nargs=4, help=argparse.SUPPRESS)
    return parser.parse_args()


def main() -> None:
    """Do all runs and print the report."""
    args = parse_args()
    if args.one:
        policy, deployment, scenario, seed = args.one
        run_one(policy, deployment, scenario, int(seed))
        return
    policies = [p for p in args.policies if p != "earlier" or args.earlier]
    scenarios = list(dict.fromkeys(["ordinary", *args.scenarios]))
    runs = [
        Run(policy, deployment, scenario, seed)
        for deployment in args.deployments
        for scenario in scenarios
        if concerns(SCENARIO_OF[scenario], DEPLOYMENT_OF[deployment])
        for policy in policies
        for seed in args.seeds
    ]
    with tempfile.TemporaryDirectory() as folder:
        earlier = unpack(args.earlier, folder) if args.earlier else None
        with ThreadPoolExecutor(args.workers) as pool:
            found = pool.map(lambda run: run_in_process(run, earlier), runs)
            results = dict(zip(runs, found, strict=True))
    failed = [run for run, result in results.items() if "error" in result]
    print_report({k: v for k, v in results.items() if k not in failed}, failed)
    if args.plot:
        write_plot(results, args.plot, seed=args.seeds[0])
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
