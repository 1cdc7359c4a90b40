"""Five jobs with many due times take the memory of every VM that decides."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab import MEMORY_MB, TROUBLE, main

TIMED = [f"00000000000007{n:02x}" for n in range(5)]
QUICK = [f"00000000000008{n:02x}" for n in range(5)]
TEN_MINUTES_MS = 600_000
OCCURRENCES = 365 * 24 * 6 if TROUBLE else 6  # for a year, or for an hour
FINISH_S = 14.0  # finish_s of the site
RESTART_S = 0.5


def read_memory_mb(pid):
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills a process that is over its memory, and starts it again after a delay."""

    def __init__(self, lab):
        self.lab, self.kills, self.most_mb = lab, {}, 0.0
        self.is_stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.is_stopped:
            time.sleep(0.05)
            for name in self.lab.hosts:
                process = self.lab.vms[name][0]
                try:
                    memory_mb = read_memory_mb(process.pid)
                except OSError:
                    memory_mb = 0.0
                self.most_mb = max(self.most_mb, memory_mb)
                if memory_mb > MEMORY_MB:
                    process.kill()
                    process.wait()
                    self.kills[name] = self.kills.get(name, 0) + 1
                    self.lab.record.write("vm", name, "killed: uses", int(memory_mb),
                                          "of", MEMORY_MB, "MB")
                    time.sleep(RESTART_S)
                    self.lab.start_vm(name)

    def stop(self):
        self.is_stopped = True
        self.thread.join()


def submit(lab, job, steps, spec, timeout_s=10.0, **more):
    """Send a job to one VM after the other until it is accepted, as a client does."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        for vm in lab.hosts:
            if lab.submit(vm, job, steps, spec, **more) == 200:
                return True
        time.sleep(0.3)
    return False


def play(lab):
    lab.configure()
    lab.add_workers(4)
    if not lab.start_vms():
        return 2
    platform = Platform(lab)
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]
    first_ms = int((time.time() + 3600) * 1000)
    for job in TIMED:
        if not submit(lab, job, steps, {"ms": 500}, repeat_count=OCCURRENCES,
                      first_run_ms=first_ms, interval_ms=TEN_MINUTES_MS):
            return 2
        time.sleep(1.0)
    time.sleep(2.0)
    accepted = [job for job in QUICK if submit(lab, job, steps, {"ms": 500})]
    if not accepted:
        return 2
    sent = lab.now()
    lab.record.say("quick jobs accepted:", len(accepted), "of", len(QUICK))
    time.sleep(FINISH_S + 3.0)
    idle = [job for job in accepted
            if not any(run.task.startswith(job) for run in list(lab.runs))]
    states = {job: lab.state(job) for job in accepted}
    platform.stop()
    lab.record.say("VMs killed for their memory:", platform.kills, "most MB:",
                   int(platform.most_mb), "of", MEMORY_MB)
    lab.record.say("states:", states)
    if idle:
        lab.record.say(f"LOST: {len(idle)} accepted jobs had nothing running in the "
                       f"{lab.now() - sent:.0f} s since; 4 workers were up and idle")
        return 1
    return 0 if set(states.values()) == {"complete"} else 2


main(Path(__file__).resolve().parent, play)
