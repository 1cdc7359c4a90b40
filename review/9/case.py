"""A gang that has lost a machine for good keeps the whole idle fleet from other jobs."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import CannotRun, main, route

GANG, JOB = "00000000000000a1", "00000000000000b1"
CPU = {GANG: 60000, JOB: 16000}
FINISH_S = 14.0


def case(lab):
    # Machines of two kinds: one of kind a, seven of kind b.
    lab.add_worker("i-0001", labels=("a", "r1-1"))
    for number in range(2, 9):
        lab.add_worker(f"i-{number:04d}", labels=("b", "r1-1"))
    gangs = route("/gangs/", priority=1, stretch=4.0, max_attempts=3)
    lab.configure([gangs, route("/batch/", priority=2, stretch=4.0)])
    lab.start_vms()
    gang = {
        "count": 7,
        "cpu": 60000,
        "mem_mb": 4096,
        "estimate_ms": 10000,
        "gang": True,
        "constraints": "b",
    }
    lab.submit(f"/gangs/{GANG}", [gang], {"run_s": [10.0], "gang": {"0": 7}})
    if not lab.wait(lambda: len(lab.starts) == 7, 5.0):
        raise CannotRun("the gang did not start")
    time.sleep(2.0)
    if lab.trouble:
        lab.workers[-1].leave()
    # By then the leases of its runs are over, and so is the gang without the trouble.
    time.sleep(9.0)
    step = {"count": 2, "cpu": 16000, "mem_mb": 4096, "estimate_ms": 4000}
    lab.submit(f"/batch/{JOB}", [step], {"run_s": [4.0]})
    end = time.monotonic()
    lab.note("end of the traffic")
    lab.wait(lambda: False, end + FINISH_S - time.monotonic())
    lab.state(f"/batch/{JOB}")
    if lab.stalls(JOB, 2, CPU, needs=32000, seconds=20.0):
        return "LOST, the job has not started though all machines are idle"
    return "" if lab.state(f"/batch/{JOB}") == "complete" else "LOST"


main(case)
