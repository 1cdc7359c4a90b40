"""The progress of one large job outgrows a value; then a rack loses power."""

import base64
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
ACK_S, CONTACT_S = 4.0, 3.0
NOTED_S = 0.1  # after which a listed end counts as taken note of, if all is calm
END_S = 8.0
RESTART_S = 0.5  # until the platform starts what was killed again
RERUN_S = 25.0


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
            "short_ms": 20_000}
    step = {"count": tasks, "cpu": LARGE_CPU, "mem_mb": 20, "estimate_ms": 300_000,
            "checkpointing": True}
    status, _ = lab.send("edge-1", "POST", PREFIX + LARGE,
                         {"spec": json.dumps(spec), "job_steps": [step]})
    if status != 200:
        raise Unable("the large job was not accepted")
    lab.wait(lambda: count(lab, "start") >= tasks, 45, "its tasks do not run")
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
    calm = lab.now()
    states = [lab.state(job_id, prefix=OTHER_PREFIX, quiet=False) for job_id in SMALL]
    with lab.lock:
        done = {e["task"]: e for e in lab.events
                if e["event"] == "end" and e["how"] == "done" and e["at"] > began
                and e["task"].split(".")[0] in SMALL}
        ends = {(e["worker"], e["task"], e["attempt"]) for e in lab.events
                if e["event"] == "end" and e["at"] < calm - ACK_S}
        noted = {(e["worker"], e["task"], e["attempt"]) for e in lab.events
                 if e["event"] == "noted"}
    lab.note(f"{len(done)} tasks of the small jobs have ended done, the last one "
             f"{calm - max(e['at'] for e in done.values()):.1f} s ago; states: {states}")
    lab.note(f"of {len(ends)} ends that workers have listed for {ACK_S} s or longer, "
             f"last_seen has not reached {len(ends - noted)}")
    lab.note(f"store: {len(lab.store.refused)} writes refused, a value has at most "
             f"1048576 bytes: {lab.store.refused[:1]}")
    for line in lab.logs("commit failed")[:1]:
        lab.note(line)
    if len(done) < 2 * len(SMALL):
        raise Unable("not all small jobs are done")
    if os.environ.get("TROUBLE", "1") != "0" or os.environ.get("POWER") == "1":
        lose_power(lab, done)
        lab.sleep_until(lab.now() + RERUN_S)
    with lab.lock:
        again = [e for e in lab.events if e["event"] == "start" and e["task"] in done
                 and e["at"] > done[e["task"]]["at"] + NOTED_S]
    return [
        f"TWICE: {e['worker']} starts run {e['attempt']} of {e['task']}, of which a run "
        f"ended done {e['at'] - done[e['task']]['at']:.1f} s before, with no disruption near"
        for e in again
        if calm > done[e["task"]]["at"] + CONTACT_S
    ]


def lose_power(lab, done):
    """Kill the VM that decides and the worker that has done most of the small tasks."""
    with lab.store.lock:
        item = lab.store.items["papayadyke/decider"]
    decider = json.loads(base64.b64decode(item["value"]))["vm"]
    workers = [e["worker"] for e in done.values()]
    worker = max(set(workers), key=workers.count)
    process = lab.vms[decider]["process"]
    process.kill()
    process.wait()
    lab.note(f"disruption: {decider} killed")
    lab.crash_worker(worker)
    time.sleep(RESTART_S)
    lab.start_vm(decider)
    lab.restart_worker(worker)


run_case(Path(__file__).resolve().parent, play, has_links=False)
