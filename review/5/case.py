"""A gang that doesn't fit beside tasks that last keeps all other work from the fleet."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab import TROUBLE, main, make_route

LASTING, GANG, PLAIN = "00000000000000e6", "00000000000000e7", "00000000000000e8"
URGENT = "/urgent/"
WORKERS = 8
WAIT_S = 40


def runs_of(lab, job):
    return [run for run in list(lab.runs) if run.task.startswith(job)]


def play(lab):
    urgent = make_route(name="r-0", prefix=URGENT, priority=0)
    lab.configure(routes=[urgent, make_route(priority=1)])
    lab.add_workers(WORKERS)
    if not lab.start_vms():
        return 2
    vms = list(lab.hosts)
    # One task on each worker, which leaves 54 of its 64 cores.
    lasting = [{"count": WORKERS, "cpu": 10_000, "mem_mb": 1024, "estimate_ms": 600_000,
                "long_running": True, "anti_affinity": 1}]
    if lab.submit(vms[0], LASTING, lasting, {"ms": 600_000}) != 200:
        return 2
    time.sleep(3.0)
    if len(runs_of(lab, LASTING)) != WORKERS:
        return 2
    if TROUBLE:
        # Three of its tasks fit on an empty worker, and two beside a task that lasts.
        gang = [{"count": 3 * WORKERS, "cpu": 20_000, "mem_mb": 1024,
                 "estimate_ms": 20_000, "gang": True}]
        if lab.submit(vms[1], GANG, gang, {"ms": 20_000}, URGENT) != 200:
            return 2
        time.sleep(2.0)
    plain = [{"count": 4, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 4000}]
    if lab.submit(vms[2], PLAIN, plain, {"ms": 4000}) != 200:
        return 2
    state = lab.wait_state(PLAIN, ("complete", "failed"), WAIT_S)
    lab.record.say("plain job:", state, "runs:", len(runs_of(lab, PLAIN)),
                   "gang's runs:", len(runs_of(lab, GANG)))
    if not runs_of(lab, PLAIN):
        lab.record.say(f"LOST: an accepted job had nothing running for {WAIT_S} s, while "
                       f"{WORKERS * 54} of {WORKERS * 64} cores were idle")
        return 1
    return 0 if state == "complete" else 2


main(Path(__file__).resolve().parent, play)
