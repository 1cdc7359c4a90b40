"""Stand-ins and processes for the scripts of this review; standard library only.

The platform's store runs in the process of the script. Workers and edge VMs are
processes of their own. Times are seconds on the monotonic clock since the start of
the script.
"""

from __future__ import annotations

import base64
import http.client
import itertools
import json
import os
import random
import shutil
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
SERVICE = "service-1"
QUEUE_HOST = "queue.example"
PREFIX = "/jobs1/"
OTHER_PREFIX = "/jobs2/"
HEARTBEAT_S = 1.5
CHECKPOINT_S = 2.0
METRICS_PORT, FIRST_PORT = 9464, 7720
VALUE_BYTES = 1_048_576
GRACE_S = 6.0


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Say nothing of connections that a client or a killed VM has reset."""


class Handler(BaseHTTPRequestHandler):
    """Reads a JSON body, and answers with what `call` returns."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *args):
        pass

    def handle_any(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(size)) if size else {}
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        answer = self.server.call(self.command, url.path, query, body, self.headers)
        if answer is None:  # no answer
            self.close_connection = True
            return
        status, fields = answer
        data = json.dumps(fields).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = handle_any


def serve(host, port, call):
    server = Server((host, port), Handler)
    server.call = call
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: linearizable, with leases and watches."""

    def __init__(self, host):
        self.lock = threading.Condition()
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.lease_ids = itertools.count(1000)
        # Returns for a write how many seconds later it is done, without an answer, or
        # None if it is done at once and answered.
        self.choose_delay = lambda body: None
        self.tell = lambda text: None
        self.writes = self.late_writes = 0
        self.refused = []  # keys and sizes of values that were too large
        self.server = serve(host, 0, self.call)
        self.address = f"{host}:{self.server.server_address[1]}"
        threading.Thread(target=self._expire_loop, daemon=True).start()

    def put(self, key, value):
        with self.lock:
            self.commit([(key, value, 0)], [])

    def remove(self, key):
        with self.lock:
            if key in self.items:
                self.commit([], [key])

    def commit(self, writes, removed):
        self.revision += 1
        for key, value, lease in writes:
            old = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append(item)
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append(event)
        self.lock.notify_all()

    def call(self, method, path, query, body, headers):
        name, _, tail = path.removeprefix("/api/").partition("/")
        if name == "kv-txn":
            self.writes += 1
            delay = self.choose_delay(body)
            if delay is not None:
                self.late_writes += 1
                timer = threading.Timer(delay, self._write_late, (body,))
                timer.daemon = True
                timer.start()
                time.sleep(30)  # nothing further comes on this connection
                return None
        with self.lock:
            if name == "kv-key":
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (200, {**item, "at": self.revision})
            if name == "kv-range":
                prefix, after = query["prefix"], query.get("after", "")
                found = [
                    self.items[key]
                    for key in sorted(self.items)
                    if key.startswith(prefix) and key > after
                ]
                more = len(found) > 500
                return 200, {"items": found[:500], "has_more": more, "at": self.revision}
            if name == "kv-watch":
                return self._watch(query)
            if name == "kv-txn":
                return self._transact(body)
            if name == "kv-lease":
                lease, ttl_ms = next(self.lease_ids), int(body["ttl_ms"])
                self.leases[lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            lease = int(tail)
            if lease not in self.leases:
                return 404, {}
            if name == "kv-keep":
                ttl_ms = self.leases[lease][1]
                self.leases[lease][0] = time.monotonic() + ttl_ms / 1000
                return 200, {"ttl_ms": ttl_ms}
            if name == "kv-lease-end":
                self._end_lease(lease)
                return 200, {}
        return 404, {}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            self.lock.wait(left)

    def _write_late(self, body):
        with self.lock:
            status, _ = self._transact(body)
        keys = [row["key"] for row in body.get("writes", [])]
        self.tell(f"store: late write of {keys} -> {status}")

    def _transact(self, body):
        expected = body.get("expected_rev", [])
        current = [self.items.get(row["key"]) for row in expected]
        if any(
            (item["revision"] if item else 0) != row["revision"]
            for item, row in zip(current, expected)
        ):
            return 412, {"items": [item for item in current if item]}
        writes = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
            for row in body.get("writes", [])
        ]
        for key, value, _ in writes:
            if len(value) > VALUE_BYTES:
                self.refused.append((key, len(value)))
                return 400, {"error": "a value is too large"}
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        self.commit(writes, body.get("remove", []))
        return 200, {"revision": self.revision}

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.commit([], keys)

    def _expire_loop(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [n for n, row in self.leases.items() if row[0] < now]:
                    self._end_lease(lease)


class WorkerLife:
    """One life of a worker, which runs in a process of its own.

    It prints one JSON line for each of its events. `spec` of a job is a JSON text;
    its `work_ms` is how long each task runs, and `how` the way in which it ends, if it
    is not "done". With `store` the task has a checkpoint after 2 s, a path that begins
    with it; with `short_every` each so many-th task ends after `short_ms`.
    """

    def __init__(self, worker_id, host, port, cores, late=""):
        self.worker_id = worker_id
        self.cores = cores
        self.late = late  # task whose first attempt gets no answer
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.lock = threading.Condition()
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.highest = {}  # of the runs that have ended or were stopped, by task
        self.server = serve(host, port, self.call)
        self.address = f"{host}:{self.server.server_address[1]}"
        self.tell("up", address=self.address)
        threading.Thread(target=self._scan, daemon=True).start()

    def tell(self, event, **fields):
        line = {"event": event, "worker": self.worker_id, "born": self.born, **fields}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    def call(self, method, path, query, body, headers):
        if path == "/healthz":
            return 200, {}
        expected = headers.get("X-Expect-Instance")
        if expected and expected != self.worker_id:
            return 421, {}
        with self.lock:
            is_first = body.get("attempt") == 1
            if path == "/api/run-start" and is_first and body["task"] == self.late:
                self.late = ""
                self.tell("late", task=body["task"], attempt=body["attempt"], body=body)
                return None
            status, fields = self._carry_out(path, body)
            return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def _carry_out(self, path, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/api/hold":
            self._extend(body)
            seen = body.get("last_seen", 0)
            noted = [row for row in self.ended if row[0] <= seen]
            self.ended = [row for row in self.ended if row[0] > seen]
            for row in noted:
                self.tell("noted", task=row[1], attempt=row[2], how=row[3])
            until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
            while not self.ended and (left := until - time.monotonic()) > 0:
                self.lock.wait(left)
            running = [
                [task, run["attempt"], self._find_checkpoint(run), run["percent"]]
                for task, run in self.runs.items()
            ]
            return 200, {"running": running, "finished": self.ended[:500]}
        if path == "/api/run-stop":
            task, attempt = body["task"], body["attempt"]
            self.highest[task] = max(self.highest.get(task, 0), attempt)
            if task in self.runs and self.runs[task]["attempt"] == attempt:
                self._end(task, "stopped")
            return 200, {}
        if path != "/api/run-start":
            return 404, {}
        return self._start(body)

    def _find_checkpoint(self, run):
        has_any = run["path"] and time.monotonic() - run["began"] >= CHECKPOINT_S
        return run["path"] if has_any else ""

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body)
        run = self.runs.get(task)
        if run is not None and run["attempt"] == attempt:
            return 200, {}
        if run is not None or attempt <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        now = time.monotonic()
        work_ms = spec["work_ms"]
        number = int(task.rpartition(".")[2])
        if spec.get("short_every") and number % spec["short_every"] == 0:
            work_ms = spec["short_ms"]
        path = f"{spec['store']}/{task.replace('.', '/')}" if "store" in spec else ""
        self.runs[task] = {"attempt": attempt, "ends": now + work_ms / 1000,
                           "began": now, "percent": 0, "path": path,
                           "how": spec.get("how", "done")}
        self.tell("start", task=task, attempt=attempt, token=body["fencing_token"])
        return 200, {}

    def _extend(self, body):
        if "deadline_ms" in body:
            wanted = min(body["deadline_ms"], self.clock_ms() + 10_000)
            self.deadline_ms = max(self.deadline_ms, wanted)

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.ended.append([next(self.numbers), task, run["attempt"], how, ""])
        self.tell("end", task=task, attempt=run["attempt"], how=how)
        self.lock.notify_all()

    def _scan(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                lapsed = self.clock_ms() > self.deadline_ms
                for task, run in list(self.runs.items()):
                    whole = run["ends"] - run["began"]
                    run["percent"] = int(100 * (now - run["began"]) / whole)
                    if now >= run["ends"]:
                        self._end(task, run["how"])
                    elif lapsed:
                        self._end(task, "lapsed")


def run_worker(worker_id, host, port, cores, late=""):
    life = WorkerLife(worker_id, host, int(port), int(cores), late)
    for sequence in itertools.count(1):
        life.tell("beat", address=life.address, cores=life.cores, sequence=sequence)
        time.sleep(HEARTBEAT_S)


class Link:
    """The way from the VMs to a worker; a cut is silent, and drops what is sent."""

    def __init__(self, host, target):
        self.is_cut = False
        self._target = target.rpartition(":")[0], int(target.rpartition(":")[2])
        self._listener = socket.create_server((host, 0), backlog=128)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client):
        if self.is_cut:
            self._hang(client)
            return
        try:
            server = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            reset(client)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._pump, args=(client, server), daemon=True).start()
        self._pump(server, client)

    def _pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if self.is_cut:
                    # What was under way is lost; the connection stays silent.
                    self._hang(source)
                    return
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        if not self.is_cut:
            reset(source)
            reset(sink)

    def _hang(self, sock):
        while self.is_cut:
            time.sleep(0.05)
        reset(sock)


def reset(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


class Lab:
    """All processes of one script, what they did, and the record of it."""

    def __init__(self, folder, *, vms=3, has_links=True):
        """`has_links` tells whether workers can be cut off."""
        self.has_links = has_links
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []
        self.events = []
        self.processes = []
        self.workers = {}
        self.quiet_events = {}
        self.quiet_job = ""  # job whose runs are too many for the record
        self.dead = set()  # lives of workers that were killed
        self.killed_at = {}
        net = find_free_net(vms)
        self.store = Store(f"{net}.1")
        self.store.tell = self.note
        self.net = net
        self.vms = {}
        for number in range(vms):
            self._plan_vm(f"edge-{number + 1}", f"{net}.{10 + number}")
        threading.Thread(target=self._watch_beats, daemon=True).start()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self.lock:
            self.lines.append(f"{self.now():8.3f} {text}")

    # The configuration

    def put_config(self, version=7, *, has_first=True, second=None, **route):
        """Put a configuration with two routes to one service, or the second only.

        `second` holds what differs on the second route.
        """
        routes = [
            {
                "name": name, "host": QUEUE_HOST, "prefix": prefix,
                "kind": "non_idempotent", "timeout_ms": 3000,
                "target_latency_ms": 1000, "priority": 1, "service": SERVICE,
                "max_attempts": 2, "stretch": 2.2, **route, **other,
            }
            for name, prefix, other in (("r-1", PREFIX, {}),
                                        ("r-2", OTHER_PREFIX, second or {}))
            if has_first or prefix != PREFIX
        ]
        services = [
            {
                "name": SERVICE, "health_path": "/healthz", "max_conns": 64,
                "protocol": "h1", "tls": False, "admission_check": False,
                "standby": False,
            }
        ]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        config = {"version": version, "routes": routes, "services": services,
                  "limits": limits}
        self.store.put("op/config", json.dumps(config).encode())
        names = [row["name"] for row in routes]
        self.note(f"operator: configuration {version}, routes {names}")

    # Edge VMs, by the command of the deploy file

    def _plan_vm(self, name, host):
        ports = free_ports(host, 3)
        self.vms[name] = {"host": host, "frontend": ports[0], "readiness": ports[1],
                          "control": ports[2], "process": None}

    def start_vm(self, name):
        vm = self.vms[name]
        host = vm["host"]
        settings = self.temp / f"{name}.conf"
        settings.write_text(SETTINGS.format(
            name=name, host=host, frontend=vm["frontend"], readiness=vm["readiness"],
            control=vm["control"], first=FIRST_PORT, last=FIRST_PORT + 15,
            store=self.store.address, value_bytes=VALUE_BYTES,
        ))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"),
                        "PAPAYADYKE_NODE_FILE": str(settings)}
        log = open(self.temp / f"{name}.log", "ab")
        vm["process"] = subprocess.Popen(
            ["python3", "-m", "papayadyke_adapter.main"],
            cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
        )
        self.processes.append(vm["process"])
        self.note(f"{name}: started")

    def is_ready(self, name):
        vm = self.vms[name]
        try:
            return request(vm["host"], vm["readiness"], "GET", "/api/readyz",
                           timeout=1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, timeout=20.0):
        self.wait(lambda: all(self.is_ready(name) for name in self.vms), timeout,
                  "the VMs are not ready")

    def logs(self, text):
        """Return the log lines of all VMs that contain a text."""
        found = []
        for name in self.vms:
            path = self.temp / f"{name}.log"
            if path.exists():
                found += [f"{name}: {line}" for line in path.read_text().splitlines()
                          if text in line]
        return found

    # Workers

    def start_worker(self, worker_id, *, cores=64, port=0, late=""):
        """Start a worker; the first order to start the task `late` gets no answer."""
        host = f"{self.net}.200"
        process = subprocess.Popen(
            [sys.executable, __file__, "worker", worker_id, host, str(port), str(cores),
             late],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, stdin=subprocess.DEVNULL,
            text=True,
        )
        self.processes.append(process)
        old = self.workers.get(worker_id, {})
        worker = {"process": process, "address": "", "beat": time.monotonic(),
                  "cores": cores, "entry": None, "link": old.get("link")}
        self.workers[worker_id] = worker
        threading.Thread(target=self._read, args=(worker_id, worker), daemon=True).start()

    def _read(self, worker_id, worker):
        for line in worker["process"].stdout:
            event = json.loads(line)
            kind = event["event"]
            event["at"] = self.now()
            if kind == "beat":
                worker["address"] = event["address"]
                worker["beat"] = time.monotonic()
                if worker["link"] is None and self.has_links:
                    worker["link"] = Link(f"{self.net}.201", event["address"])
                link = worker["link"]
                entry = {
                    "service": SERVICE,
                    "address": event["address"] if link is None else link.address,
                    "zone": "zone-1",
                    "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": event["cores"] * 1000, "mem_mb": 262144,
                                 "gpu": 0},
                    "labels": ["a", "r1-1"], "born": event["born"],
                }
                if worker["entry"] != entry:
                    worker["entry"] = entry
                    data = {**entry, "sequence": event["sequence"]}
                    self.store.put(f"servers/{worker_id}", json.dumps(data).encode())
                continue
            if kind == "up":
                worker["address"] = event["address"]
            is_quiet = event.get("task", "").startswith(self.quiet_job or "-")
            with self.lock:
                if is_quiet:
                    self.quiet_events[kind] = self.quiet_events.get(kind, 0) + 1
                if not (is_quiet and kind == "start"):
                    self.events.append(event)
            if kind in ("start", "end", "noted", "late") and not is_quiet:
                self.note(f"worker {worker_id}: {kind} {event['task']} "
                          f"run {event['attempt']} {event.get('how', '')}".rstrip())
        self.note(f"worker {worker_id}: process ended")

    def _watch_beats(self):
        """Remove the entries of workers that were silent for three heartbeats."""
        while True:
            time.sleep(0.1)
            for worker_id, worker in list(self.workers.items()):
                silent = time.monotonic() - worker["beat"]
                if worker["entry"] is not None and silent > 3 * HEARTBEAT_S:
                    worker["entry"] = None
                    self.store.remove(f"servers/{worker_id}")
                    self.note(f"store: entry of {worker_id} removed")

    def crash_worker(self, worker_id):
        """Kill a worker; everything that it runs is gone."""
        process = self.workers[worker_id]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()
        with self.lock:
            life = worker_id, self.born_of(worker_id)
            self.dead.add(life)
            self.killed_at[life] = self.now()
        self.note(f"disruption: worker {worker_id} killed")

    def cut_worker(self, worker_id, is_cut=True):
        """Cut a worker off from all VMs, or end that."""
        self.workers[worker_id]["link"].is_cut = is_cut
        self.note(f"disruption: worker {worker_id} "
                  + ("is cut off from the VMs" if is_cut else "is reached again"))

    def carry_out_late(self, worker_id, body):
        """Have the present life of a worker carry out an order that got no answer."""
        host, _, port = self.workers[worker_id]["address"].rpartition(":")
        status, fields = request(host, int(port), "POST", "/api/run-start", body,
                                 headers={"X-Expect-Instance": worker_id})
        self.note(f"worker {worker_id}: late order of {body['task']} "
                  f"run {body['attempt']} -> {status} {json.dumps(fields)}")

    def restart_worker(self, worker_id):
        """Start a killed worker again, at its address and under its id."""
        old = self.workers[worker_id]
        port = int(old["address"].rpartition(":")[2])
        self.start_worker(worker_id, cores=old["cores"], port=port)
        self.note(f"worker {worker_id}: started again")

    def runs_of(self, task):
        """Return the runs of a task that have begun and not ended, with their worker."""
        with self.lock:
            events = list(self.events)
        live = {}
        for event in events:
            if event.get("task") != task:
                continue
            key = event["worker"], event["born"], event["attempt"]
            if event["event"] == "start":
                live[key] = event
            elif event["event"] == "end":
                live.pop(key, None)
        return [
            event for (worker, born, _), event in live.items()
            if (worker, born) not in self.dead
        ]

    def born_of(self, worker_id):
        """Return the latest life of a worker; the lock is held."""
        return next((e["born"] for e in reversed(self.events)
                     if e["event"] == "up" and e["worker"] == worker_id), None)

    # Clients

    def send(self, vm, method, path, body=None, *, timeout=3.0, quiet=False):
        """Send a request of a client; status 0 stands for no complete answer."""
        address = self.vms[vm]
        try:
            status, fields = request(
                address["host"], address["frontend"], method, path, body,
                headers={"Host": QUEUE_HOST, "X-Deadline-Ms": str(int(timeout * 1000))},
                timeout=timeout,
            )
        except (OSError, http.client.HTTPException) as exc:
            status, fields = 0, {"error": type(exc).__name__}
        if not quiet:
            self.note(f"client: {method} {path} at {vm} -> {status} {json.dumps(fields)}")
        return status, fields

    def submit(self, job_id, steps, *, work_ms, how="done", vms=None, prefix=PREFIX):
        """Hand a job in at one VM after the other until it is accepted."""
        spec = json.dumps({"work_ms": work_ms, "how": how})
        body = {"spec": spec, "job_steps": steps}
        for vm in itertools.islice(itertools.cycle(vms or self.vms), 8):
            status, _ = self.send(vm, "POST", prefix + job_id, body)
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def state(self, job_id, *, quiet=True, prefix=PREFIX):
        for vm in self.vms:
            status, fields = self.send(vm, "GET", prefix + job_id, quiet=quiet)
            if status in (200, 410):
                return fields.get("state", "410") if status == 200 else "410"
        return "none"

    # The script

    def wait(self, condition, timeout, what):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise Unable(what)

    def sleep_until(self, at):
        time.sleep(max(0.0, at - self.now()))

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        with self.lock:
            text = "\n".join(self.lines) + "\n"
        (self.folder / "record.txt").write_text(text)
        shutil.rmtree(self.temp, ignore_errors=True)


class Unable(Exception):
    """The case could not run."""


def run_case(folder, play, **options):
    """Play a case; exit with 1 if it returns broken rules, 0 if none, 2 if it failed."""
    lab = Lab(folder, **options)
    code = 2
    try:
        broken = play(lab)
        for text in broken:
            lab.note(f"BROKEN {text}")
        code = 1 if broken else 0
    except Unable as exc:
        lab.note(f"the case could not run: {exc}")
    except Exception as exc:
        lab.note(f"the case could not run: {exc!r}")
    lab.note(f"exit {code}")
    lab.close()
    print("\n".join(lab.lines[-3:]))
    sys.exit(code)


def request(host, port, method, path, body=None, *, headers=None, timeout=3.0):
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, body=data, headers={
            "Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}
    finally:
        connection.close()


def find_free_net(vms):
    """Return the first three numbers of loopback addresses that nothing uses.

    The program's port of metrics is fixed, so each VM has an address of its own.
    """
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        sockets = []
        try:
            for number in range(vms):
                for port in (METRICS_PORT, FIRST_PORT):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.bind((f"{net}.{10 + number}", port))
            return net
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise Unable("no loopback addresses are free")


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


SETTINGS = """\
node_name={name}
role=edge
machine_class=edge
serves=edge
ip={host}
zone=zone-1
region=region-1
zones.zone-1=region-1
bind_addrs.frontend={host}:{frontend}
bind_addrs.readiness={host}:{readiness}
bind_addrs.control={host}:{control}
port_range={first},{last}
seeds=
bootstrap=true
in_tolerance=false
limits.cpu_share=0.817
limits.cores=1
limits.memory_mb=235
limits.max_fds=1638
limits.link_mbps=375.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.region_count=0
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.recovery_s=12
bounds.hold_max_ms=10000
bounds.stop_timeout_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.fencing=false
commands=invoke
advice=
platform.address={store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes={value_bytes}
platform.ttl_min_ms=1000
"""


if __name__ == "__main__" and sys.argv[1:2] == ["worker"]:
    run_worker(*sys.argv[2:])
