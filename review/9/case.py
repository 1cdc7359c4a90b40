"""A job whose upstreams crash twice is shown as failed; none of its runs has failed."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import CannotRun, main, route

JOB = "00000000000000a1"
DOWN_S = 3.0


def case(lab):
    for number in range(1, 9):
        lab.add_worker(f"i-{number:04d}")
    lab.configure([route("/batch/", max_attempts=3, stretch=4.0)])
    lab.start_vms()
    step = {"count": 1, "cpu": 18000, "mem_mb": 4096, "estimate_ms": 12000}
    lab.submit(f"/batch/{JOB}", [step], {"run_s": [12.0]})
    for crash in range(2):
        if not lab.wait(lambda: len(lab.starts) == crash + 1, 20.0):
            if crash:
                break
            raise CannotRun("the task did not start")
        time.sleep(3.0)
        if not lab.trouble:
            break
        worker = next(w for w in lab.workers if w.runs)
        worker.crash(DOWN_S)
        time.sleep(DOWN_S)
    state = lab.wait_state(f"/batch/{JOB}", {"complete", "failed"}, 50.0)
    failed = [e for e in lab.ends if e[3] == "failed"]
    lab.note(f"the job is {state}; ends `failed`: {len(failed)}, max_attempts 3")
    if state == "failed" and not failed:
        return "LOST, shown as failed without cause"
    return "" if state == "complete" else f"LOST, the job is {state}"


main(case)
