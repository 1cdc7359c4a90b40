"""The progress of one large job outgrows a value of the store."""

import json
import os
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import OTHER_PREFIX, PREFIX, Unable, run_case  # noqa: E402

WORKERS = [f"i-{number:010x}" for number in range(8)]
CORES = 64
LARGE = "b16b00b5b16b00b5"
SMALL = [f"{number:016x}" for number in range(1, 11)]
LARGE_TASKS, FEWER_TASKS = 5_400, 2_000
LARGE_CPU = 90
STORE_PATH = (
    "s3://quote-engine-checkpoints-launceston/production/2026/12/07/full-board-upgrade/"
    "heritage-home-rewiring-estimates/switchboard-pricing-v7/overnight-tally/"
    "customers-of-the-year-2026/house-and-sheds-and-workshop/price-lists/runs"
)
ACK_S = 4.0
SHARE = 0.2
END_S = 12.0


def count(lab, kind):
    """Return how many runs of the large job have begun or ended."""
    with lab.lock:
        return lab.quiet_events.get(kind, 0)


def play(lab):
    lab.quiet_job = LARGE
    for name in lab.vms:
        lab.start_vm(name)
    for worker in WORKERS:
        lab.start_worker(worker, cores=CORES)
    lab.put_config(second={"priority": 0})
    lab.wait_ready()
    time.sleep(3.0)
    tasks = LARGE_TASKS if lab.trouble else FEWER_TASKS
    spec = {"work_ms": 300_000, "store": STORE_PATH, "short_every": 200,
            "short_ms": 25_000}
    step = {"count": tasks, "cpu": LARGE_CPU, "mem_mb": 20, "estimate_ms": 300_000,
            "checkpointing": True}
    status, _ = lab.send("edge-1", "POST", PREFIX + LARGE,
                         {"spec": json.dumps(spec), "job_steps": [step]})
    if status != 200:
        raise Unable("the large job was not accepted")
    lab.wait(lambda: count(lab, "start") >= tasks, 60, "its tasks do not run")
    lab.note(f"all {tasks} tasks of {LARGE} run")
    lab.wait(lambda: count(lab, "end") > 0, 60, "none of its tasks ends")
    time.sleep(6.0)
    began = lab.now()
    small = [{"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300}]
    for job_id in SMALL:
        if not lab.submit(job_id, small, work_ms=300, prefix=OTHER_PREFIX):
            raise Unable("a small job was not accepted")
        time.sleep(0.2)
    lab.sleep_until(lab.now() + END_S)
    now = lab.now()
    with lab.lock:
        ends = {(e["worker"], e["task"], e["attempt"]) for e in lab.events
                if e["event"] == "end" and began < e["at"] < now - ACK_S}
        noted = {(e["worker"], e["task"], e["attempt"]) for e in lab.events
                 if e["event"] == "noted"}
    states = [lab.state(job_id, prefix=OTHER_PREFIX, quiet=False) for job_id in SMALL]
    missing = len(ends - noted)
    lab.note(f"of {len(ends)} ends that workers have listed for {ACK_S} s or longer, "
             f"{missing} are not taken note of; states of the small jobs: {states}")
    lab.note(f"store: {len(lab.store.refused)} writes refused, a value has at most "
             f"1048576 bytes: {lab.store.refused[:1]}")
    for line in lab.logs("commit failed")[:2]:
        lab.note(line)
    if len(ends) < 10:
        raise Unable("too few runs have ended")
    if missing > SHARE * len(ends):
        return [f"Acks: {missing} of {len(ends)} ends that workers list are not taken "
                f"note of after {ACK_S} s without any disruption"]
    return []


run_case(Path(__file__).resolve().parent, play, has_links=False)
