"""Stand-ins of the platform (store, workers, clients) and the VMs of the system.

Only the standard library is used. Everything listens on loopback addresses. The store
has one port for each VM, so that it can turn single VMs away, as the pages say.
"""

import base64
import hashlib
import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLD_MAX_MS = 10_000
VALUE_BYTES = 1_048_576
MEMORY_MB = 300  # of a VM, as on all VMs of limonadi-ajo
MAX_LISTED_ENDS = 500  # PROTOCOL.md: "500 at a time"
QUEUE_HOST, PREFIX, SERVICE = "quotes.example", "/quotes/", "service-a"


def make_route(**changes):
    """Return a route of a configuration."""
    return {
        "name": "r-1", "host": QUEUE_HOST, "prefix": PREFIX,
        "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
        "priority": 1, "service": SERVICE, "max_attempts": 3, "stretch": 4.0, **changes,
    }


class Record:
    """The file `record.txt`: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._began

    def write(self, *words):
        with self._lock:
            line = " ".join(str(word) for word in words)
            self._file.write(f"{self.now():8.3f} {line}\n")
            self._file.flush()

    def say(self, *words):
        self.write(*words)
        print(*words)


class _Closed(Exception):
    """Raised to close a connection without an answer."""


def serve(answer, host="127.0.0.1"):
    """Serve `answer(method, path, query, headers, body)` on a free port."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _do(self):
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length) if length else b""
            url = urlsplit(self.path)
            query = {name: row[0] for name, row in parse_qs(url.query).items()}
            try:
                status, reply = answer(
                    self.command, url.path, query, self.headers,
                    json.loads(raw) if raw else {},
                )
            except _Closed:
                self.close_connection = True
                return
            data = json.dumps(reply).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = _do

        def log_message(self, *args):
            pass

        def handle(self):
            try:
                super().handle()
            except (ConnectionError, ValueError):
                self.close_connection = True

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, request, client_address):
            pass

    server = Server((host, 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server.server_address[1]


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 100
        self.items = {}  # key: (value, revision, created, lease)
        self.events = []
        self.leases = {}  # lease: (end, ttl)
        self.modes = {}  # name of a VM: "busy" (503), "reset", "silent"; "*" is all
        self.slow_s = 0.004
        self.too_large = []  # writes with a value of over `value_bytes`
        self._numbers = itertools.count(1000)
        threading.Thread(target=self._expire, daemon=True).start()

    def port_for(self, vm):
        return serve(lambda *call: self._answer(vm, *call))

    def mode_of(self, vm):
        return self.modes.get(vm) or self.modes.get("*")

    def put(self, key, value):
        with self.changed:
            self._apply([(key, json.dumps(value).encode(), 0)], [])

    def remove(self, key):
        with self.changed:
            self._apply([], [key])

    def read(self, key):
        with self.changed:
            item = self.items.get(key)
            return None if item is None else json.loads(item[0])

    def keys(self, prefix):
        with self.changed:
            return sorted(key for key in self.items if key.startswith(prefix))

    def _apply(self, writes, removed):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.events.append((self.revision, key, value))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None))
        self.changed.notify_all()
        return self.revision

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                for lease in [n for n, (end, _) in self.leases.items() if end < now]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self._apply([], keys)

    def _check(self, vm):
        mode = self.mode_of(vm)
        if mode == "reset":
            raise _Closed
        while self.mode_of(vm) == "silent":
            time.sleep(0.05)
        return mode

    def _answer(self, vm, method, path, query, headers, body):
        was = self._check(vm)
        if was == "busy":
            return 503, {}
        if was == "silent":
            raise _Closed
        time.sleep(self.slow_s)
        call, _, tail = path.removeprefix("/api/").partition("/")
        if call == "kv-watch":
            return self._watch(vm, query)
        with self.changed:
            if call == "kv-key":
                key = query["key"]
                if key not in self.items:
                    return 404, {"at": self.revision}
                return 200, {**self._show(key), "at": self.revision}
            if call == "kv-range":
                return self._range(query)
            if call == "kv-txn":
                return self._txn(vm, body)
            if call == "kv-lease":
                lease, ttl_s = next(self._numbers), body["ttl_ms"] / 1000
                self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            lease = int(tail)
            if lease not in self.leases:
                return 404, {}
            if call == "kv-keep":
                ttl_s = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttl_ms": int(ttl_s * 1000)}
            self._end_lease(lease)
            return 200, {}

    def _show(self, key):
        value, revision, created, lease = self.items[key]
        return {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": revision, "created": created, "lease": lease,
        }

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        items = [self._show(key) for key in keys[:500]]
        return 200, {"items": items, "has_more": len(keys) > 500, "at": self.revision}

    def _watch(self, vm, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                events = []
                for revision, key, value in reversed(self.events):
                    if revision <= after:
                        break
                    if key.startswith(prefix):
                        event = {"key": key, "revision": revision}
                        if value is None:
                            event["deleted"] = True
                        else:
                            event["value"] = base64.b64encode(value).decode()
                        events.append(event)
                if self.mode_of(vm):
                    raise _Closed
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events[::-1], "at": self.revision}
                self.changed.wait(min(left, 0.2))

    def _txn(self, vm, body):
        expected = body.get("expected_rev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                shown = [self._show(r["key"]) for r in expected if r["key"] in self.items]
                return 412, {"items": shown, "at": self.revision}
        writes = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body.get("writes", [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        for key, value, _ in writes:
            if len(value) > VALUE_BYTES:
                self.too_large.append((self.record.now(), vm, key, len(value)))
                self.record.write("store: refused, too large:", vm, key, len(value))
                return 400, {}
        for key, value, _ in writes:
            self.record.write("store: write by", vm, key, len(value))
        return 200, {"revision": self._apply(writes, body.get("remove", []))}


class Run:
    """One run of a task at a worker."""

    def __init__(self, worker, task, attempt, token, spec, began):
        self.worker, self.task, self.attempt, self.token = worker, task, attempt, token
        self.spec, self.began = spec, began
        self.number = self.ended = self.how = self.noted = None
        self.saved = ""
        self.is_lapsed = False  # the worker's lease ended between its end and `noted`


class Worker:
    """A worker, as PROTOCOL.md describes it ("Running tasks")."""

    def __init__(self, lab, name, cpu=64_000, mem_mb=262_144, beats=True):
        self.lab, self.name, self.cpu, self.mem_mb = lab, name, cpu, mem_mb
        self.lock = threading.Condition()
        self.is_down = False  # crashed and not back: connections are closed
        self.is_silent = False  # cut off: no answers, packets are lost
        self.state = "ready"
        self._begin()
        self.port = serve(self._answer)
        self.address = f"127.0.0.1:{self.port}"
        self._sequence = 0
        threading.Thread(target=self._advance, daemon=True).start()
        if beats:
            threading.Thread(target=self._beat, daemon=True).start()

    def _begin(self):
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token = 0
        self.deadline_ms = 0.0
        self.running = {}
        self.highest = {}
        self.finished = []
        self.numbers = itertools.count(1)
        self.seen = 0

    def crash(self):
        """The process dies; what runs ends with it, and nothing is told."""
        with self.lock:
            for run in self.running.values():
                run.ended, run.how = self.lab.now(), "crashed"
                self.lab.record.write("worker", self.name, "crashed under", run.task,
                                      "attempt", run.attempt)
            self.is_down = True
            self.running, self.finished = {}, []
            self.lock.notify_all()

    def restart(self):
        """Start again, under the same id and address, knowing nothing."""
        with self.lock:
            self._begin()
            self.is_down = False
        self.lab.record.write("worker", self.name, "is back")
        self.write_entry()

    def write_entry(self):
        self._sequence += 1
        self.lab.store.put(f"servers/{self.name}", {
            "service": SERVICE, "address": self.address, "zone": "zone-1",
            "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": ["a", "r1"], "clock_ms": self.clock_ms(),
            "sequence": self._sequence, "born": self.born,
        })

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    def _beat(self):
        while True:
            if not self.is_down and not self.is_silent and not self.lab.store_is_away:
                self.write_entry()
            time.sleep(1.5)

    def _check(self):
        if self.is_down:
            raise _Closed
        while self.is_silent:
            time.sleep(0.02)

    def _answer(self, method, path, query, headers, body):
        was_silent = self.is_silent
        self._check()
        if was_silent:
            raise _Closed
        if headers.get("X-Expect-Instance") not in (None, self.name):
            return 421, {"clock_ms": self.clock_ms()}
        with self.lock:
            if self.is_down:
                raise _Closed
            call = {"/api/hold": self._hold, "/api/run-start": self._start,
                    "/api/run-stop": self._stop}.get(path)
            status, reply = call(body) if call else (404, {})
            reply |= {"clock_ms": self.clock_ms(), "born": self.born}
        # An answer that the worker can't send is lost.
        was_silent = self.is_silent
        self._check()
        if was_silent:
            raise _Closed
        return status, reply

    def _is_fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, body):
        deadline_ms = min(body.get("deadline_ms", 0), self.clock_ms() + HOLD_MAX_MS)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def _hold(self, body):
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        self._extend(body)
        for run in self.finished:
            if run.number <= body["last_seen"] and run.noted is None:
                run.noted = self.lab.now()
                self.lab.record.write("worker", self.name, "end", run.number, "of",
                                      run.task, run.attempt, "is noted")
        self.finished = [r for r in self.finished if r.number > body["last_seen"]]
        born, end = self.born, time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.finished and self.born == born and not self.is_down:
            left = end - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(min(left, 0.2))
        running = [[r.task, r.attempt, self._save(r), 0, 0]
                   for r in self.running.values()]
        finished = [[r.number, r.task, r.attempt, r.how, r.saved]
                    for r in self.finished[:MAX_LISTED_ENDS]]
        return 200, {"running": running, "finished": finished}

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        if body["deadline_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body)
        current = self.running.get(task)
        if current is not None and current.attempt == attempt:
            return 200, {}
        if attempt <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        self.highest[task] = attempt
        run = Run(self, task, attempt, body["fencing_token"], json.loads(body["spec"]),
                  self.lab.now())
        self.running[task] = run
        self.lab.runs.append(run)
        self.lab.record.write("worker", self.name, "starts", task, "attempt", attempt,
                              "token", run.token)
        return 200, {}

    def _stop(self, body):
        task, attempt = body["task"], body["attempt"]
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            self._end(run, "stopped")
        return 200, {}

    def _end(self, run, how):
        del self.running[run.task]
        self._save(run)
        run.number, run.how, run.ended = next(self.numbers), how, self.lab.now()
        self.finished.append(run)
        self.lab.record.write("worker", self.name, "end", run.number, "of", run.task,
                              run.attempt, how)
        self.lock.notify_all()

    def _save(self, run):
        """Return the checkpoint of a run: a new one with each `save_ms` of work."""
        every = run.spec.get("save_ms")
        if every:
            saves = int((self.lab.now() - run.began) * 1000 // every)
            if saves:
                digest = hashlib.sha256(f"{run.task} {run.attempt} {saves}".encode())
                run.saved = digest.hexdigest()
        return run.saved

    def _find_end(self, run):
        """Return how a run ends: `how`, or failed for the first `failures` runs."""
        earlier = [r for r in list(self.lab.runs) if r.task == run.task and r.how]
        if len(earlier) < run.spec.get("failures", 0):
            return "failed"
        return run.spec.get("how", "done")

    def _advance(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                if self.is_down:
                    continue
                if self.clock_ms() > self.deadline_ms:
                    for run in self.finished:
                        run.is_lapsed = True
                    for run in list(self.running.values()):
                        self._end(run, "lapsed")
                for run in list(self.running.values()):
                    if (self.lab.now() - run.began) * 1000 >= run.spec["ms"]:
                        self._end(run, self._find_end(run))


class Lab:
    """A small deployment: VMs, store, workers and a client."""

    def __init__(self, folder, vms=3, status_s=120):
        self.record = Record(folder)
        self.now = self.record.now
        self.store = Store(self.record)
        self.store_is_away = False
        self.runs, self.workers, self.answers = [], [], []
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        # The logs of the VMs; kept if REVIEW_LOGS names a folder.
        self.logs = Path(os.environ.get("REVIEW_LOGS") or self.temp.name)
        self.vms = {}
        self._status_s = status_s
        # One loopback address for each VM: the port of the metrics is fixed.
        net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.hosts = {f"edge-{n}": f"{net}.{n + 10}" for n in range(1, vms + 1)}
        self.ports = self._free_ports(list(self.hosts.values())[0])

    @staticmethod
    def _free_ports(host):
        socks = [socket.socket() for _ in range(3)]
        for sock in socks:
            sock.bind((host, 0))
        ports = [sock.getsockname()[1] for sock in socks]
        for sock in socks:
            sock.close()
        return ports

    def configure(self, version=1, routes=None, **route):
        routes = [make_route(**route)] if routes is None else routes
        self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "admission_check": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        })

    def add_workers(self, count, **kw):
        for n in range(count):
            worker = Worker(self, f"w-{len(self.workers) + 1}", **kw)
            worker.write_entry()
            self.workers.append(worker)

    def start_vm(self, name):
        host = self.hosts[name]
        callers, ready, control = self.ports
        if name not in self.vms:
            store = self.store.port_for(name)
            first = random.randrange(20_000, 30_000)
            if not hasattr(self, "peers_port"):
                self.peers_port = first
            conf = Path(self.temp.name) / f"{name}.conf"
            conf.write_text("".join(f"{k}={v}\n" for k, v in {
                "node_name": name, "role": "edge", "machine_class": "edge",
                "serves": "edge", "ip": host, "zone": "zone-1", "region": "region-1",
                "bind_addrs.frontend": f"{host}:{callers}",
                "bind_addrs.readiness": f"{host}:{ready}",
                "bind_addrs.control": f"{host}:{control}",
                "port_range": f"{self.peers_port},{self.peers_port + 15}",
                "limits.cpu_share": "1.0", "limits.cores": "1",
                "limits.memory_mb": str(MEMORY_MB), "limits.max_fds": "4100",
                "limits.link_mbps": "1000.0", "limits.disk_mb": "0",
                "discovery": "platform", "entry": "vip", "heartbeat_ms": "1500",
                "contracts": "base,drain,config,cost,recover,sched,platform",
                "bounds.contact_ms": "3000", "bounds.grace_s": "6",
                "bounds.hold_max_ms": str(HOLD_MAX_MS),
                "bounds.stop_timeout_ms": "200", "bounds.status_s": self._status_s,
                "commands": "invoke", "advice": "",
                "platform.address": f"127.0.0.1:{store}", "platform.form": "kv",
                "platform.writes_per_s": "400", "platform.reads_per_s": "2000",
                "platform.history_s": "20", "platform.value_bytes": str(VALUE_BYTES),
                "platform.ttl_min_ms": "1000",
            }.items()))
            self.vms[name] = [None, conf, open(self.logs / f"{name}.log", "ab")]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PAPAYADYKE_NODE_FILE"] = str(self.vms[name][1])
        self.vms[name][0] = subprocess.Popen(
            ["python3", "-m", "papayadyke_adapter.main"], cwd=ROOT, env=env,
            stdout=self.vms[name][2], stderr=subprocess.STDOUT,
        )
        self.record.write("vm", name, "started")

    def start_vms(self):
        for name in self.hosts:
            self.start_vm(name)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all(self.is_ready(name) for name in self.hosts) and self.decider():
                time.sleep(1.0)
                return True
            time.sleep(0.1)
        return False

    def is_ready(self, name):
        return self.call(name, "GET", "/api/readyz", port=self.ports[1], quiet=True) == 200

    def decider(self):
        record = self.store.read("papayadyke/decider")
        return record and record["vm"]

    def signal(self, name, number):
        self.record.write("vm", name, "gets", signal.Signals(number).name)
        self.vms[name][0].send_signal(number)

    def call(self, vm, method, path, body=None, *, port=None, quiet=False, wait_s=3.0):
        """Send one request to a VM; return the status, 0 without an answer."""
        return self.ask(vm, method, path, body, port=port, quiet=quiet, wait_s=wait_s)[0]

    def ask(self, vm, method, path, body=None, *, port=None, quiet=False, wait_s=3.0):
        conn = http.client.HTTPConnection(
            self.hosts[vm], port or self.ports[0], timeout=wait_s
        )
        status, reply = 0, {}
        try:
            data = None if body is None else json.dumps(body)
            conn.request(method, path, data, {
                "Host": QUEUE_HOST, "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(wait_s * 1000)),
            })
            answer = conn.getresponse()
            status, raw = answer.status, answer.read()
            reply = json.loads(raw) if raw else {}
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            conn.close()
        if not quiet:
            self.record.write("client:", method, path, "at", vm, "->", status, reply)
            self.answers.append((self.now(), vm, method, path, status, reply))
        return status, reply

    def submit(self, vm, job_id, steps, spec, prefix=PREFIX, **more):
        body = {"spec": json.dumps(spec), "job_steps": steps, **more}
        return self.call(vm, "POST", prefix + job_id, body)

    def state(self, job_id, vm=None):
        vms = [vm] if vm else list(self.hosts)
        for name in vms:
            status, reply = self.ask(name, "GET", PREFIX + job_id)
            if status == 200:
                return reply["state"]
            if status == 410:
                return "410"
        return None

    def wait_state(self, job_id, states, timeout_s):
        end, state = time.monotonic() + timeout_s, None
        while time.monotonic() < end:
            state = self.state(job_id)
            if state in states:
                return state
            time.sleep(0.5)
        return state

    def find_twice(self):
        """Starts of a task after a run of it had ended `done`, which was taken note of.

        RULES.md, TWICE: "a start after a run has ended `done`, if that end is taken
        note of then or later", and two runs at the same time on workers that are up.
        """
        found, by_task = [], {}
        for run in sorted(list(self.runs), key=lambda run: run.began):
            by_task.setdefault(run.task, []).append(run)
        for task, runs in by_task.items():
            for first, later in itertools.combinations(runs, 2):
                is_done = (
                    first.how == "done" and first.noted is not None
                    and not first.is_lapsed and first.ended < later.began
                )
                is_beside = first.ended is None or first.ended > later.began
                if is_done or is_beside:
                    found.append((task, first, later, "done" if is_done else "beside"))
        return found

    def close(self):
        for process, _, log in self.vms.values():
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
            log.close()
        self.temp.cleanup()


def main(folder, play, **settings):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    lab = None
    code = 2
    # The processes are ended also if the script is asked to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        lab = Lab(folder, **settings)
        lab.record.write("TROUBLE =", int(TROUBLE))
        code = play(lab)
    except Exception as exc:  # the case could not run
        import traceback
        traceback.print_exc()
        if lab is not None:
            lab.record.write("could not run:", repr(exc))
    finally:
        if lab is not None:
            lab.close()
            lab.record.say("result:", {0: "held", 1: "broken", 2: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
