"""Stand-ins and processes for the scripts of the second review; standard library only.

The store, the upstream servers and the clients do what the users' pages describe. The
program itself is started as the deploy file does: `python3 -m papayadyke_adapter.main`
with `target/deps` on Python's path and one settings file per VM.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
SERVICE = "engine"
QUEUE_HOST = "quotes.example"


class Server:
    """HTTP/1.1 server; `handle` returns (status, body), "silent", or None to close."""

    def __init__(self, host, handle):
        self.host, self.port, self.handle = host, 0, handle
        self._conns, self._lock, self._listener = set(), threading.Lock(), None
        self.is_cut = False
        self.open()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def open(self):
        if self._listener is not None or self.is_cut:
            return
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(512)
        self.port, self._listener = listener.getsockname()[1], listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def close(self):
        """Stop listening and reset all connections, as the end of a process does."""
        listener, self._listener = self._listener, None
        if listener is not None:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        with self._lock:
            conns, self._conns = self._conns, set()
        for conn in conns:
            try:
                conn.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            conn.close()

    def _accept(self, listener):
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._conns.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            with conn, conn.makefile("rb") as stream:
                while self._serve_one(conn, stream):
                    pass
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._conns.discard(conn)

    def _serve_one(self, conn, stream):
        line = stream.readline()
        if not line.strip():
            return False
        method, target, _ = line.decode("latin-1").split()
        headers = {}
        while line := stream.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        answer = self.handle(method, parts.path, query, headers, body)
        if answer == "silent":
            # The connection stays open, and no answer comes.
            time.sleep(30)
            return False
        if answer is None:
            return False
        status, fields = answer
        data = json.dumps(fields).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        conn.sendall(head.encode() + data)
        return True


class Store:
    """The platform's key-value service."""

    def __init__(self, host):
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.next_lease, self.oldest = 1, 1, 1
        # Returns None, or the fault of a call: "busy" or "silent".
        self.fault = lambda method, path, body: None
        # Whether the answer to a write is lost; seconds that an answer takes longer.
        self.lose, self.slow = lambda: False, lambda: 0.0
        self.cond = threading.Condition()
        self.server = Server(host, self._answer)
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value):
        """Write a key for the operator or an upstream; return the revision."""
        with self.cond:
            return self._apply([(key, json.dumps(value).encode(), 0)], [])

    def remove(self, key):
        with self.cond:
            return self._apply([], [key])

    def _apply(self, writes, removed):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append((self.revision, key, dict(item)))
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append((self.revision, key, event))
        self.cond.notify_all()
        return self.revision

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.cond:
                now = time.monotonic()
                for lease in [i for i, row in self.leases.items() if row[1] < now]:
                    self._end_lease(lease)

    def _answer(self, method, path, query, headers, body):
        time.sleep(self.slow())
        answer = self._handle(method, path, query, headers, body)
        return None if method == "POST" and self.lose() else answer

    def _handle(self, method, path, query, headers, body):
        fault = self.fault(method, path, body)
        if fault == "busy":
            return 503, {}
        if fault == "silent":
            time.sleep(30)
            return None
        name, _, tail = path.removeprefix("/api/").partition("/")
        if name == "kv-watch":
            return self._watch(query)
        with self.cond:
            if name == "kv-key":
                item = self.items.get(query["key"])
                return (
                    (404, {}) if item is None else (200, {**item, "at": self.revision})
                )
            if name == "kv-range":
                prefix, after = query["prefix"], query.get("after", "")
                keys = sorted(
                    k for k in self.items if k.startswith(prefix) and k > after
                )
                page = [self.items[k] for k in keys[:500]]
                return 200, {
                    "items": page,
                    "has_more": len(keys) > 500,
                    "at": self.revision,
                }
            if name == "kv-txn":
                return self._commit(json.loads(body))
            if name == "kv-lease":
                ttl_ms = max(1000, json.loads(body)["ttl_ms"])
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            lease = int(tail)
            if lease not in self.leases:
                return 404, {}
            if name == "kv-keep":
                ttl_s = self.leases[lease][0]
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            else:
                self._end_lease(lease)
            return 200, {}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.cond:
            while True:
                events = [
                    e for r, k, e in self.history if r > after and k.startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.cond.wait(left)

    def _commit(self, txn):
        expected, writes = txn.get("expected_rev", []), txn.get("writes", [])
        removed = txn.get("remove", [])
        if len(expected) + len(writes) + len(removed) > 32:
            return 400, {}
        rows = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, rows):
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in rows if item]}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        rows = [
            (w["key"], base64.b64decode(w["value"]), w.get("lease", 0)) for w in writes
        ]
        return 200, {"revision": self._apply(rows, removed)}


class Worker:
    """An upstream server without admission control.

    `spec` of a job is JSON: `run_s` is a list of the run time of a task by step, and
    `fails` is true if every run fails.
    """

    def __init__(self, lab, name, *, cpu=64000, mem_mb=262144, labels=("a", "r1-1")):
        self.lab, self.name, self.cpu, self.mem_mb = lab, name, cpu, mem_mb
        self.labels = list(labels)
        self.cond = threading.Condition()
        self.is_up, self.is_gone, self.state, self.extra = False, False, "ready", {}
        # Returns the seconds by which a call is carried out late and not answered.
        self.delay = lambda path, call: None
        self.server = Server(lab.host, self._handle)
        self._begin()
        threading.Thread(target=self._run, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    # Lives

    def _begin(self):
        self.born = int(time.time() * 1000)
        self.origin, self.sequence = time.monotonic(), 0
        self.token, self.deadline_ms, self.end_count = 0, 0, 0
        self.runs, self.ended, self.latest = {}, [], {}
        self.is_up = True

    def crash(self, down_s):
        """End the process; it starts again at the same address after `down_s`."""
        with self.cond:
            lost = sorted(self.runs)
            self.is_up = False
            self.runs = {}
            self.server.close()
            self.cond.notify_all()
        self.lab.note(f"{self.name} crashes, is down for {down_s:.1f} s; ran {lost}")
        threading.Timer(down_s, self._return).start()

    def _return(self):
        with self.cond:
            self._begin()
            self.server.open()
        self.lab.note(f"{self.name} is back, born {self.born}, with no runs")
        self.write_entry()

    def reborn(self, cut_s):
        """Crash behind a cut from all VMs, and start again there."""
        self.crash(0.2)
        self.server.is_cut = True
        self.lab.note(f"{self.name} is cut off for {cut_s:.1f} s")
        threading.Timer(cut_s, self._heal).start()

    def leave(self):
        """Be lost for good: the process ends and its entry expires."""
        with self.cond:
            lost = sorted(self.runs)
            self.is_up, self.is_gone, self.runs = False, True, {}
            self.server.close()
            self.cond.notify_all()
        self.lab.note(f"{self.name} is lost for good; ran {lost}")
        threading.Timer(4.5, self.lab.store.remove, [f"servers/{self.name}"]).start()

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": SERVICE,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "born": self.born,
            **self.extra,
        }
        self.lab.store.put(f"servers/{self.name}", entry)

    def _beat(self):
        while not self.is_gone:
            if self.is_up:
                self.write_entry()
            time.sleep(1.5)

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    # Runs

    def _run(self):
        while not self.is_gone:
            time.sleep(0.01)
            with self.cond:
                if not self.is_up:
                    continue
                now = time.monotonic()
                if self.clock_ms() > self.deadline_ms:
                    for key in list(self.runs):
                        self._end(key, "lapsed")
                for key, run in list(self.runs.items()):
                    if run["gang"]:
                        self._check_gang(key, run, now)
                    if key not in self.runs or run["began"] is None:
                        continue
                    if now - run["began"] >= run["run_s"]:
                        self._end(key, "failed" if run["fails"] else "done")

    def _check_gang(self, key, run, now):
        """Begin once all members are there; end with the others."""
        step = key[0].rpartition(".")[0], key[1]
        if step in self.lab.done_gangs:
            self._end(key, "done")
        elif len(self.lab.gang(key)) >= run["gang"]:
            if run["began"] is None:
                run["began"] = now
            elif now - run["began"] >= run["run_s"]:
                self.lab.done_gangs.add(step)
        elif run["began"] is not None:
            self._end(key, "broken")
        elif now - run["at"] > 3.0:
            self._end(key, "alone")

    def _end(self, key, how):
        run = self.runs.pop(key)
        self.end_count += 1
        self.ended.append([self.end_count, key[0], key[1], how, ""])
        self.lab.ran(self.name, key, how, run)
        self.cond.notify_all()

    def _handle(self, method, path, query, headers, body):
        call = json.loads(body) if body else {}
        with self.cond:
            if not self.is_up:
                return None
            life = self.born
            if headers.get("x-expect-instance", self.name) != self.name:
                return 421, {"clock_ms": self.clock_ms()}
            late_s = self.delay(path, call)
            if late_s is not None:
                text = f"{path} {call.get('task')} attempt {call.get('attempt')}"
                self.lab.note(
                    f"{self.name} does not answer {text}; carries it out {late_s:.1f} s later"
                )
                threading.Timer(late_s, self._carry_out_late, [path, call]).start()
                return "silent"
            answer = self._carry_out(path, call)
            if not self.is_up or self.born != life:
                return None
            return answer[0], {**answer[1], "clock_ms": self.clock_ms()}

    def _carry_out(self, path, call):
        if path == "/api/hold":
            return self._hold(call)
        if path == "/api/run-start":
            return self._start(call)
        return self._stop(call) if path == "/api/run-stop" else (404, {})

    def _carry_out_late(self, path, call):
        with self.cond:
            if self.is_up:
                status, answer = self._carry_out(path, {**call, "wait_ms": 0})
                text = f"{path} {call.get('task')} attempt {call.get('attempt')}"
                self.lab.note(
                    f"{self.name} carries out late: {text} -> {status} {answer.get('reason', '')}"
                )

    def cut(self, seconds):
        """Be cut off from all VMs; what runs goes on."""
        self.lab.note(f"{self.name} is cut off for {seconds:.1f} s")
        self.server.is_cut = True
        self.server.close()
        threading.Timer(seconds, self._heal).start()

    def _heal(self):
        self.server.is_cut = False
        if self.is_up:
            self.server.open()
            self.lab.note(f"{self.name} is no longer cut off")

    def _fenced(self, call):
        if call.get("fencing_token", 0) < self.token:
            return True
        self.token = call.get("fencing_token", 0)
        return False

    def _extend(self, call):
        until = min(call.get("deadline_ms", 0), self.clock_ms() + 10000)
        self.deadline_ms = max(self.deadline_ms, until)

    def _hold(self, call):
        if self._fenced(call):
            return 409, {"reason": "fence"}
        self._extend(call)
        seen = call.get("last_seen", 0)
        for number, task, _, how, _ in self.ended:
            if number <= seen and how == "done":
                self.lab.noted.setdefault(task, self.lab.now())
        self.ended = [e for e in self.ended if e[0] > seen]
        until, life = time.monotonic() + call.get("wait_ms", 0) / 1000, self.born
        while not self.ended and self.is_up and self.born == life:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.cond.wait(left)
        running = [[t, a, "", 50, 0] for t, a in self.runs]
        return 200, {
            "born": self.born,
            "running": running,
            "finished": self.ended[:500],
        }

    def _start(self, call):
        key = call["task"], call["attempt"]
        if self._fenced(call):
            return 409, {"reason": "fence"}
        if call["deadline_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(call)
        if key in self.runs:
            return 200, {}
        if key[1] <= self.latest.get(key[0], 0):
            return 409, {"reason": "old"}
        self.latest[key[0]] = key[1]
        spec, step = json.loads(call["spec"]), int(key[0].split(".")[2])
        gang = spec.get("gang", {}).get(str(step), 0)
        now = time.monotonic()
        run = {
            "at": now,
            "began": None if gang else now,
            "gang": gang,
            "run_s": self.lab.draw_run_s(key, spec["run_s"][step]),
            "fails": spec.get("fails", False),
        }
        self.runs[key] = run
        self.lab.started(self.name, key, call)
        return 200, {}

    def _stop(self, call):
        if self._fenced(call):
            return 409, {"reason": "fence"}
        key = call["task"], call["attempt"]
        self.latest[key[0]] = max(key[1], self.latest.get(key[0], 0))
        if key in self.runs:
            self._end(key, "stopped")
        return 200, {}


class Lab:
    """A small deployment: VMs, store, upstreams and clients on loopback addresses."""

    def __init__(self, folder, *, vms=3):
        self.record = open(Path(folder) / "record.txt", "w")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.host = f"{self.net}.1"
        self._lock = threading.Lock()
        self.starts, self.ends, self.workers = [], [], []
        self.done_gangs = set()  # steps and attempts
        self.noted = {}  # tasks whose end `done` was reached by `last_seen`, and when
        self.config_version = 0
        self.store = Store(self.host)
        self.vms = {f"edge-z1-{n}": f"{self.net}.{10 + n}" for n in range(1, vms + 1)}
        self.processes = {}
        self._turn = 0

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self._lock:
            if not self.record.closed:
                self.record.write(f"{self.now():8.3f} {text}\n")
                self.record.flush()

    # What upstreams have seen

    def started(self, worker, key, call):
        self.starts.append((self.now(), worker, key))
        token = call.get("fencing_token")
        self.note(f"{worker} starts {key[0]} attempt {key[1]}, fencing_token {token}")

    def ran(self, worker, key, how, run):
        self.ends.append((self.now(), worker, key, how))
        self.note(f"{worker} ends {key[0]} attempt {key[1]}: {how}")

    def draw_run_s(self, key, run_s):
        """Return how long a run takes; a case may draw it."""
        return run_s

    def gang(self, key):
        step = key[0].rpartition(".")[0]
        return [
            k
            for worker in self.workers
            for k in list(worker.runs)
            if k[1] == key[1] and k[0].rpartition(".")[0] == step
        ]

    def used_cpu(self, cpu_by_job):
        """Return the thousandths of a core that are in use on all upstreams."""
        return sum(
            cpu_by_job.get(task.split(".")[0], 0)
            for worker in self.workers
            for task, _ in list(worker.runs)
        )

    # Processes and settings

    def add_worker(self, name, **options):
        self.workers.append(Worker(self, name, **options))
        return self.workers[-1]

    def configure(self, routes):
        """Write the next configuration; the answer of the store acknowledges it."""
        self.config_version += 7
        config = {
            "version": self.config_version,
            "routes": routes,
            "services": [{"name": SERVICE, "admission_check": False, "standby": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op/config", config)
        prefixes = [route["prefix"] for route in routes]
        self.note(
            f"operator: configuration {self.config_version} acknowledged, routes {prefixes}"
        )

    def start_vm(self, name):
        host = self.vms[name]
        path = self.folder / f"{name}.conf"
        if not path.exists():
            path.write_text(self._settings(name, host))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PAPAYADYKE_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self.folder / f"{name}.log", "a")
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", "papayadyke_adapter.main"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        self.note(f"{name} started as process {self.processes[name].pid}")

    def _settings(self, name, host):
        fields = {
            "node_name": name,
            "role": "edge",
            "machine_class": "edge",
            "serves": "edge",
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones.z1": "r1",
            "bind_addrs.frontend": f"{host}:8161",
            "bind_addrs.readiness": f"{host}:8167",
            "port_range": "7720,7735",
            "seeds": "",
            "bootstrap": "true",
            "limits.cpu_share": "1.0",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,platform",
            "bounds.contact_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "2000",
            "bounds.hold_max_ms": "10000",
            "bounds.stop_timeout_ms": "200",
            "bounds.gang_timeout_ms": "3000",
            "bounds.cancel_ms": "3000",
            "bounds.visible_ms": "3000",
            "bounds.finish_s": "14",
            "bounds.status_s": "120",
            "bounds.fencing": "false",
            "commands": "invoke",
            "platform.address": self.store.server.address,
            "platform.form": "kv",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
        }
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    def start_vms(self):
        for name in self.vms:
            self.start_vm(name)
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if all(self.ready(name) for name in self.vms):
                self.note("all VMs are ready")
                time.sleep(2.0)
                return
            time.sleep(0.2)
        raise CannotRun("the VMs did not become ready")

    def ready(self, name):
        try:
            conn = http.client.HTTPConnection(self.vms[name], 8167, timeout=1)
            conn.request("GET", "/api/readyz")
            status = conn.getresponse().status
            conn.close()
            return status == 200
        except OSError:
            return False

    def leader(self):
        """Return the VM that holds the project's leader key in the store."""
        item = self.store.items.get("papayadyke/decider")
        return json.loads(base64.b64decode(item["value"]))["vm"] if item else None

    def signal(self, name, number):
        self.note(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    # Clients

    def call(self, method, path, body=None, *, vm=None, timeout=3.0, quiet=False):
        """Send one request; return (status, body), status 0 without an answer."""
        if vm is None:
            names = sorted(self.vms)
            self._turn += 1
            vm = names[self._turn % len(names)]
        data = b"" if body is None else json.dumps(body).encode()
        headers = {
            "Host": QUEUE_HOST,
            "Content-Type": "application/json",
            "X-Deadline-Ms": "3000",
        }
        try:
            conn = http.client.HTTPConnection(self.vms[vm], 8161, timeout=timeout)
            conn.request(method, path, body=data, headers=headers)
            reply = conn.getresponse()
            answer = reply.status, json.loads(reply.read() or b"{}")
            conn.close()
        except (OSError, http.client.HTTPException, ValueError) as exc:
            answer = 0, {"error": type(exc).__name__}
        if not quiet:
            self.note(
                f"client: {method} {path} at {vm} -> {answer[0]} {json.dumps(answer[1])}"
            )
        return answer

    def submit(self, path, steps, spec):
        """Submit a job until it is accepted; the same id is sent again after no answer."""
        body = {"spec": json.dumps(spec), "job_steps": steps}
        self.note(
            f"client: job {path} steps {json.dumps(steps)} spec {json.dumps(spec)}"
        )
        for _ in range(20):
            if self.call("POST", path, body)[0] == 200:
                return
            time.sleep(0.5)
        raise CannotRun(f"{path} was not accepted")

    def state(self, path, *, quiet=False):
        status, body = self.call("GET", path, quiet=quiet)
        return body.get("state") if status == 200 else status

    def wait_state(self, path, states, timeout):
        until, state = time.monotonic() + timeout, None
        while time.monotonic() < until:
            state = self.state(path, quiet=True)
            if state in states:
                break
            time.sleep(0.1)
        self.note(f"client: GET {path} -> {state}")
        return state

    def stalls(self, job, tasks, cpu, *, needs, seconds):
        """Return whether a job has nothing running for a time although it could run.

        Looks every 50 ms: no run of the job on any upstream, tasks of it that have not
        ended `done`, free capacity for `needs` thousandths of a core twice over, and
        under half of the capacity in use. `cpu` is the need of a task by job id.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            running = [
                k for w in self.workers for k in list(w.runs) if k[0].startswith(job)
            ]
            done = {
                key[0]
                for _, _, key, how in self.ends
                if how == "done" and key[0].startswith(job)
            }
            total = sum(w.cpu for w in self.workers if w.is_up)
            used = self.used_cpu(cpu)
            if (
                running
                or len(done) >= tasks
                or total - used < 2 * needs
                or 2 * used >= total
            ):
                return False
            time.sleep(0.05)
        self.note(
            f"for {seconds:.1f} s nothing of {job} ran; {len(done)} of {tasks} tasks done, "
            f"{used} of {total} thousandths of a core in use"
        )
        return True

    def wait(self, check, timeout):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if check():
                return True
            time.sleep(0.02)
        return False

    def close(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up."""


def route(prefix, **fields):
    """Return a route of a configuration."""
    row = {
        "name": prefix.strip("/"),
        "host": QUEUE_HOST,
        "prefix": prefix,
        "service": SERVICE,
        "priority": 1,
        "max_attempts": 2,
        "stretch": 2.2,
        "target_latency_ms": 1000,
        "timeout_ms": 3000,
    }
    return {**row, **fields}


def main(case, **options):
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, 2 on trouble."""
    lab = Lab(Path(sys.argv[0]).resolve().parent, **options)
    code = 2
    try:
        broken = case(lab)
        lab.note(f"verdict: {'broken: ' + broken if broken else 'the rule held'}")
        code = 1 if broken else 0
    except CannotRun as exc:
        lab.note(f"the case could not run: {exc}")
    finally:
        lab.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
