"""An entry of another writer holds up all accepted jobs when a leader is replaced."""

import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import CannotRun, main, route

JOB = "00000000000000a1"
CPU = {JOB: 4000}


def case(lab):
    for number in range(1, 9):
        lab.add_worker(f"i-{number:04d}")
    lab.configure([route("/batch/", stretch=4.0)])
    if lab.trouble and os.environ.get("ENTRY", "1") != "0":
        foreign = {
            "service": "another-service",
            "address": f"{lab.host}:9",
            "zone": "z1",
            "state": "ready",
            "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0},
            "labels": ["x", "r9-9"],
            "born": 1,
        }
        lab.store.put("servers/i-9999", foreign)
        lab.note(f"another writer stores servers/i-9999: {foreign}")
    lab.start_vms()
    step = {"count": 4, "cpu": 4000, "mem_mb": 4096, "estimate_ms": 4000}
    lab.submit(f"/batch/{JOB}", [step, {**step, "after": [0]}], {"run_s": [4.0, 1.0]})
    if not lab.wait(lambda: len(lab.starts) == 4, 5.0):
        raise CannotRun("the first step did not start")
    time.sleep(1.0)
    if lab.trouble:
        leader = lab.leader()
        lab.signal(leader, signal.SIGKILL)
        lab.processes[leader].wait()
        time.sleep(0.5)
        lab.start_vm(leader)
    back = time.monotonic()
    if not lab.wait(lambda: len([e for e in lab.ends if e[3] == "done"]) >= 4, 10.0):
        raise CannotRun("the first step did not end")
    lab.wait(lambda: False, max(back, time.monotonic()) + 4.0 - time.monotonic())
    lab.note("no disruption for 4 s, and the turn of the second step has come")
    if lab.stalls(JOB, 8, CPU, needs=16000, seconds=3.0):
        return "LOST, for 3 calm s nothing runs of a job whose turn has come"
    state = lab.wait_state(f"/batch/{JOB}", {"complete"}, 20.0)
    return "" if state == "complete" else "LOST"


main(case)
