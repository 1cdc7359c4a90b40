"""One of twenty services fails right after each start, and a sound job comes last."""

import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import Unable, run_case  # noqa: E402

WORKERS = 8
CORES = 64
SOUND = [f"5c0e7a21d94b3{number:03x}" for number in range(18)]
HOPELESS = "0badc0de0badc0de"
LAST = "7743ec88f6216eee"
SERVICE_CPU = 2000
LAST_CPU, LAST_WORK_MS = 4000, 1000
LONG_MS = 10_000_000
FINISH_S, LOST_S = 14.0, 3.0


def starts(lab, task):
    with lab.lock:
        return [e["at"] for e in lab.events
                if e["event"] == "start" and e.get("task") == task]


def wait_for_quiet(lab):
    """Wait until the failing service has not been started for 6 s, after 26 s of it."""
    began = lab.now()
    while lab.now() < began + 75.0:
        at = starts(lab, f"{HOPELESS}.0.0.0")
        if at and at[-1] > began + 26.0 and lab.now() > at[-1] + 6.0:
            return
        time.sleep(0.1)
    raise Unable("the failing service is started all the time")


def play(lab):
    for name in lab.vms:
        lab.start_vm(name)
    for number in range(WORKERS):
        lab.start_worker(f"i-{number:010x}", cores=CORES)
    lab.put_config()
    lab.wait_ready()
    time.sleep(2.0)
    service = {"count": 1, "cpu": SERVICE_CPU, "mem_mb": 4000, "long_running": True}
    for job_id in SOUND:
        if not lab.submit(job_id, [service], work_ms=LONG_MS):
            raise Unable("a job was not accepted")
    lab.wait(lambda: all(lab.runs_of(f"{j}.0.0.0") for j in SOUND), 20,
             "the services do not run")
    if lab.trouble:
        accepted = lab.submit(HOPELESS, [service], work_ms=50, how="failed")
    else:
        accepted = lab.submit(HOPELESS, [service], work_ms=LONG_MS)
    if not accepted:
        raise Unable("a job was not accepted")
    if lab.trouble:
        wait_for_quiet(lab)
    else:
        time.sleep(10.0)
    step = {"count": 1, "cpu": LAST_CPU, "mem_mb": 8000, "estimate_ms": LAST_WORK_MS}
    if not lab.submit(LAST, [step], work_ms=LAST_WORK_MS):
        raise Unable("the last job was not accepted")
    end = lab.now()
    lab.note("the traffic ends")
    lab.sleep_until(end + FINISH_S)
    state = lab.state(LAST, quiet=False)
    at = starts(lab, f"{LAST}.0.0.0")
    running = [job for job in (*SOUND, HOPELESS) if lab.runs_of(f"{job}.0.0.0")]
    used = len(running) * SERVICE_CPU
    total = WORKERS * CORES * 1000
    lab.note(f"at {FINISH_S} s after the end of the traffic: {LAST} is {state}, "
             f"started at {at}; in use {used} of {total} thousandths of a core; "
             f"all {WORKERS} workers run and answer")
    with lab.lock:
        failed = [e["worker"] for e in lab.events
                  if e["event"] == "end" and e["how"] == "failed"]
    lab.note(f"starts of the failing service: {len(failed)}, on {len(set(failed))} workers")
    for line in lab.logs("set aside"):
        lab.note(line)
    if not at:
        return [f"LOST: {LAST} was accepted {FINISH_S} s ago and has nothing running, "
                f"for {LOST_S} s and longer, with room for it many times over and under "
                "half of the capacity in use"]
    if state != "complete":
        raise Unable(f"the job is shown as {state!r}")
    return []


run_case(Path(__file__).resolve().parent, play)
