"""Two workers crash, one after the other, under the one task of a job."""

import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import Unable, run_case  # noqa: E402

WORKERS = 8
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
WORK_MS = 9_000
DOWN_S = 2.0


def crash_under_task(lab):
    """Kill the worker that has run the task for 3 s, and start it again."""
    lab.wait(lambda: lab.runs_of(TASK), 25, "the task does not run")
    run = lab.runs_of(TASK)[0]
    lab.sleep_until(run["at"] + 3.0)
    lab.crash_worker(run["worker"])
    time.sleep(DOWN_S)
    lab.restart_worker(run["worker"])


def play(lab):
    for name in lab.vms:
        lab.start_vm(name)
    for number in range(WORKERS):
        lab.start_worker(f"i-{number:010x}")
    lab.put_config(max_attempts=5)
    lab.wait_ready()
    time.sleep(3.0)
    step = {"count": 1, "cpu": 18000, "mem_mb": 37000, "estimate_ms": WORK_MS}
    if not lab.submit(JOB, [step], work_ms=WORK_MS):
        raise Unable("the job was not accepted")
    if lab.trouble:
        for _ in range(2):
            crash_under_task(lab)
    until = lab.now() + 60.0
    state = ""
    while lab.now() < until:
        state = lab.state(JOB)
        if state in ("complete", "failed", "canceled", "410"):
            break
        time.sleep(0.25)
    lab.state(JOB, quiet=False)
    with lab.lock:
        ends = [e["how"] for e in lab.events if e["event"] == "end"]
    lab.note(f"state of the job: {state}; ends that workers listed: {ends}")
    for line in lab.logs("upstream crashed under tasks"):
        lab.note(line)
    broken = []
    if state in ("failed", "canceled") and "failed" not in ends:
        broken.append(f"LOST: the job is shown as {state} without cause; "
                      "no run of its task has ended 'failed'")
    elif state != "complete":
        raise Unable(f"the job is shown as {state!r}")
    return broken


run_case(Path(__file__).resolve().parent, play)
