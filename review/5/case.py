"""A queue is missing from the configuration for a few seconds."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab import PREFIX, QUEUE_HOST, SERVICE, TROUBLE, main

JOB, ATTEMPTS = "00000000000000d5", 3


def play(lab):
    lab.configure(1, max_attempts=ATTEMPTS)
    lab.add_workers(4)
    if not lab.start_vms():
        return 2
    vms = list(lab.hosts)
    steps = [{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 4000}]
    if lab.submit(vms[0], JOB, steps, {"ms": 4000, "failures": 1}) != 200:
        return 2
    time.sleep(1.5)
    if TROUBLE:
        lab.configure(5, routes=[])
        lab.record.write("config 5: the route is gone")
    time.sleep(4.0)
    lab.configure(9, max_attempts=ATTEMPTS)
    lab.record.write("config 9: the route is there")
    time.sleep(2.5)
    state = lab.wait_state(JOB, ("complete", "failed"), 20)
    ends = [(run.attempt, run.how) for run in lab.runs]
    failed = sum(how == "failed" for _, how in ends)
    lab.record.say("state:", state, "runs:", ends)
    if state == "failed" and failed < ATTEMPTS:
        lab.record.say(f"LOST: shown as failed after {failed} of {ATTEMPTS} attempts")
        return 1
    return 0 if state == "complete" else 2


main(Path(__file__).resolve().parent, play)
