"""Two crashes of workers end a job that lasts; none of its runs has failed."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import CannotRun, main, route

JOB = "00000000000000a1"
TASKS = 2
CPU = {JOB: 18000}
DOWN_S = 3.0


def case(lab):
    for number in range(1, 9):
        lab.add_worker(f"i-{number:04d}")
    lab.configure([route("/batch/", max_attempts=3, stretch=4.0)])
    lab.start_vms()
    step = {
        "count": TASKS,
        "cpu": 18000,
        "mem_mb": 4096,
        "estimate_ms": 5000,
        "long_running": True,
    }
    lab.submit(f"/batch/{JOB}", [step], {"run_s": [1e9]})
    for crash in range(2):
        if not lab.wait(lambda: len(lab.starts) >= TASKS * (crash + 1), 20.0):
            raise CannotRun("the tasks did not start")
        time.sleep(3.0)
        if not lab.trouble:
            break
        worker = next(w for w in lab.workers if w.runs)
        worker.crash(DOWN_S)
        time.sleep(DOWN_S)
    time.sleep(9.0)
    state = lab.state(f"/batch/{JOB}")
    failed = [e for e in lab.ends if e[3] == "failed"]
    running = sum(len(w.runs) for w in lab.workers)
    lab.note(f"the job is {state}; {running} tasks run; ends `failed`: {len(failed)}")
    if state == "failed" and not failed:
        return "LOST, shown as failed without cause"
    if lab.stalls(JOB, TASKS, CPU, needs=36000, seconds=3.0):
        return "LOST, no task of the job runs"
    return "" if running == TASKS else "LOST"


main(case)
