"""A client gets 504 for its job and cancels it; the store does the write late."""

import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import PREFIX, Unable, run_case  # noqa: E402

WORKERS = [f"i-{number:010x}" for number in range(8)]
JOB = "5c0e7a21d94b36f8"
OTHERS = [f"{number:016x}" for number in range(1, 31)]
WORK_MS = 2_000
LATE_S = 5.5  # the store does lost writes 1 to 6 s later
CANCEL_S = 3.0  # bounds.cancel_ms
END_S = 12.0


def play(lab):
    for name in lab.vms:
        lab.start_vm(name)
    for worker in WORKERS:
        lab.start_worker(worker)
    lab.put_config()
    lab.wait_ready()
    time.sleep(3.0)

    def choose_delay(body):
        keys = [row["key"] for row in body.get("writes", [])]
        return LATE_S if any(key.endswith(JOB) for key in keys) else None

    writes = lab.store.writes
    if lab.trouble:
        lab.store.choose_delay = choose_delay
        lab.note("disruption: the store's answers to some writes are lost")
    began = lab.now()
    step = [{"count": 1, "cpu": 4000, "mem_mb": 8000, "estimate_ms": WORK_MS}]
    body = {"spec": '{"work_ms": %d}' % WORK_MS, "job_steps": step}
    for job_id in OTHERS:
        lab.submit(job_id, step, work_ms=WORK_MS, vms=["edge-2", "edge-3"])
    status, _ = lab.send("edge-1", "POST", PREFIX + JOB, body)
    lab.store.choose_delay = lambda body: None
    lab.note(f"the disruption has lasted {lab.now() - began:.1f} s: "
             f"{lab.store.late_writes} of {lab.store.writes - writes} writes were lost")
    if lab.trouble and status != 504:
        raise Unable(f"the client got {status}")
    # The client has no time left, and cancels what it has sent.
    for vm in ("edge-1", "edge-2", "edge-3", "edge-1"):
        status, _ = lab.send(vm, "DELETE", PREFIX + JOB)
        if status == 410 or 200 <= status < 300:
            break
        time.sleep(0.3)
    else:
        raise Unable("the cancellation was not acknowledged")
    acknowledged = lab.now()
    lab.sleep_until(acknowledged + END_S)
    lab.state(JOB, quiet=False)
    with lab.lock:
        starts = [e for e in lab.events
                  if e["event"] == "start" and e["task"].startswith(JOB)]
    return [
        f"UNASKED: {e['worker']} was told to start {e['task']} "
        f"{e['at'] - acknowledged:.3f} s after its cancelling was acknowledged"
        for e in starts
        if e["at"] > acknowledged + CANCEL_S
    ]


run_case(Path(__file__).resolve().parent, play)
