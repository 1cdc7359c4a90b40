"""More than 500 ends at one worker while the store is down."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab import TROUBLE, main

JOB, TASKS = "00000000000000a1", 1200


def play(lab):
    lab.configure()
    lab.add_workers(2)
    if not lab.start_vms():
        return 2
    vms = list(lab.hosts)
    # 1,200 tasks of a tenth of a core, 4 s each: 600 for each of two workers.
    steps = [{"count": TASKS, "cpu": 100, "mem_mb": 64, "estimate_ms": 4000}]
    if lab.submit(vms[0], JOB, steps, {"ms": 4000}) != 200:
        return 2
    end = time.monotonic() + 20
    while len(lab.runs) < TASKS and time.monotonic() < end:
        time.sleep(0.02)
    lab.record.say("started:", len(lab.runs))
    if TROUBLE:
        lab.store.modes["*"], lab.store_is_away = "busy", True
        lab.record.write("the store is down (503)")
        time.sleep(4.5)
        lab.store.modes.clear()
        lab.store_is_away = False
        lab.record.write("the store is up")
    state = lab.wait_state(JOB, ("complete", "failed"), 40)
    time.sleep(1.0)
    twice = lab.find_twice()
    lab.record.say("state:", state, "runs:", len(lab.runs), "of", TASKS, "tasks;",
                   "TWICE:", len(twice))
    for task, first, later, why in twice[:10]:
        lab.record.say(
            f"{task}: attempt {first.attempt} at {first.worker.name} ended done at "
            f"{first.ended:.3f}, noted {first.noted}; attempt {later.attempt} at "
            f"{later.worker.name} began at {later.began:.3f} ({why})")
    if state != "complete" and not twice:
        return 2
    return 1 if twice else 0


main(Path(__file__).resolve().parent, play)
