"""Run the journal's state machine for long, and print seed, steps and faults.

python benchmarks/journal_machine.py --seed 1 --examples 500 --steps 80
"""

from __future__ import annotations

import argparse
import time

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from papayadyke_daemon.journal.tests import test_journal_machine as machine


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=time.time_ns() % 2**32)
    parser.add_argument("--examples", type=int, default=500)
    parser.add_argument("--steps", type=int, default=80)
    parser.add_argument("--shrink", action="store_true", help="simplify a failure")
    args = parser.parse_args()
    print(f"seed {args.seed}, {args.examples} examples of up to {args.steps} steps")
    phases = (Phase.generate, Phase.shrink) if args.shrink else (Phase.generate,)
    started = time.monotonic()
    try:
        run_state_machine_as_test(
            seed(args.seed)(machine.JournalMachine),
            settings=settings(
                max_examples=args.examples,
                stateful_step_count=args.steps,
                deadline=None,
                phases=phases,
                database=None,
                derandomize=False,
                report_multiple_bugs=False,
                suppress_health_check=list(HealthCheck),
            ),
        )
    finally:
        print(f"{time.monotonic() - started:.0f} s")
        for name, count in sorted(machine.counts.items()):
            print(f"{count:8d} {name}")


if __name__ == "__main__":
    main()
