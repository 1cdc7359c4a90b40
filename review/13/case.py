"""An order gets no answer and is carried out late, by the next life of its worker."""

import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import OTHER_PREFIX, Unable, run_case  # noqa: E402

WORKERS = [f"i-{number:010x}" for number in range(8)]
CORES = 64
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
LONG, SHORTER, URGENT = "1000000000000001", "1000000000000002", "1000000000000003"
WORK_MS = 9_000
# Seconds after the order that got no answer.
CUT_S, CRASH_S, LATE_S, HEAL_S = 6.2, 6.6, 8.5, 11.7
END_S = 25.0


def step(cpu, work_ms, count=1):
    return [{"count": count, "cpu": cpu, "mem_mb": 8000, "estimate_ms": work_ms}]


def find_runs(lab):
    """Return worker, life, start and end of each run of the task."""
    runs = {}
    with lab.lock:
        events, killed = list(lab.events), dict(lab.killed_at)
    for event in events:
        if event.get("task") != TASK or event["event"] not in ("start", "end"):
            continue
        key = event["worker"], event["born"], event["attempt"]
        if event["event"] == "start":
            runs[key] = [event["at"], killed.get(key[:2], lab.now())]
        else:
            runs[key][1] = event["at"]
    return runs


def play(lab):
    for name in lab.vms:
        lab.start_vm(name)
    for worker in WORKERS:
        lab.start_worker(worker, cores=CORES, late=TASK if lab.trouble else "")
    lab.put_config(second={"priority": 0})
    lab.wait_ready()
    time.sleep(3.0)
    # The fleet is busy: all workers but one are full, and that one has room for the task.
    count = 4 * (len(WORKERS) - 2)
    accepted = lab.submit(LONG, step(15_000, 60_000, count), work_ms=60_000)
    accepted &= lab.submit(SHORTER, step(60_000, 12_000), work_ms=12_000)
    tasks = [f"{LONG}.0.0.{number}" for number in range(count)] + [f"{SHORTER}.0.0.0"]
    lab.wait(lambda: all(lab.runs_of(task) for task in tasks), 10,
             "the first jobs do not run")
    time.sleep(2.0)
    accepted &= lab.submit(JOB, step(40_000, WORK_MS), work_ms=WORK_MS)
    if lab.trouble:
        lab.wait(lambda: any(e["event"] == "late" for e in list(lab.events)), 5,
                 "the task was not ordered")
        order = next(e for e in lab.events if e["event"] == "late")
        victim, began = order["worker"], order["at"]
    else:
        lab.wait(lambda: lab.runs_of(TASK), 5, "the task was not ordered")
        began = lab.now()
    # An urgent job takes the room that the unanswered order has not used.
    accepted &= lab.submit(URGENT, step(60_000, 30_000), work_ms=30_000,
                           prefix=OTHER_PREFIX)
    if not accepted:
        raise Unable("a job was not accepted")
    if lab.trouble:
        lab.sleep_until(began + CUT_S)
        lab.cut_worker(victim)
        lab.sleep_until(began + CRASH_S)
        lab.crash_worker(victim)
        lab.restart_worker(victim)
        lab.sleep_until(began + LATE_S)
        lab.carry_out_late(victim, order["body"])
        lab.sleep_until(began + HEAL_S)
        lab.cut_worker(victim, is_cut=False)
    lab.sleep_until(began + END_S)
    runs = find_runs(lab)
    for (worker, _, attempt), (start, end) in runs.items():
        lab.note(f"run {attempt} of {TASK} on {worker}: {start:.3f} s to {end:.3f} s")
    if not runs:
        raise Unable("the task has not run")
    spans = sorted(runs.values())
    with lab.lock:
        orders = [e for e in lab.events if e["event"] in ("start", "late")
                  and began - 5.5 < e["at"] < began + 5.5]
    lab.note(f"orders within 5.5 s of the late one: {len(orders)}")
    return [
        f"TWICE: two runs of {TASK} at the same time for {min(end, other) - start:.3f} s"
        for (_, end), (start, other) in zip(spans, spans[1:])
        if start < end
    ]


run_case(Path(__file__).resolve().parent, play)
