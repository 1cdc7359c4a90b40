"""Rate, latency and processor time of calls between two daemons on loopback.

    python benchmarks/peer_calls.py --calls 4000

The server is a process of its own. Processor time is that of the calling
process, receiving threads included.
"""

from __future__ import annotations

import base64
import multiprocessing
import threading
import time
from multiprocessing.connection import Connection

import typer
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from papayadyke_clients.keys import Authenticator, KeyEntry, KeyFile, Keyring
from papayadyke_daemon.peers import Handler, PeerEndpoint, PeerSettings

MAX_LATENCY_US = 10_000_000
TIMEOUT_S = 10.0


class Payload(Struct, tag="payload", frozen=True, array_like=True):
    """A message of a given size."""

    data: bytes


def make_endpoint(name: str, handlers: tuple[Handler, ...] = ()) -> PeerEndpoint:
    secret = base64.b64encode(b"0" * 32).decode()
    keyring = Keyring(KeyFile(keys=(KeyEntry(id="k", secret=secret),)))
    authenticator = Authenticator(
        keyring,
        sender=name,
        incarnation=time.time_ns(),
        started_unix_s=time.time() - 1,
    )
    return PeerEndpoint(handlers, authenticator=authenticator, settings=PeerSettings())


def serve(pipe: Connection) -> None:
    endpoint = make_endpoint("b", (Handler(Payload, lambda message, _: message),))
    endpoint.start()
    pipe.send(endpoint.address)
    pipe.recv()
    endpoint.stop()


def run(endpoint: PeerEndpoint, *, calls: int, threads: int, size: int) -> None:
    message = Payload(b"x" * size)
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    lock = threading.Lock()

    def work() -> None:
        for _ in range(calls // threads):
            begin_s = time.perf_counter()
            endpoint.call("b", message, Payload, timeout_s=TIMEOUT_S).unwrap()
            with lock:
                histogram.record_value((time.perf_counter() - begin_s) * 1e6)

    workers = [threading.Thread(target=work) for _ in range(threads)]
    begin_s, begin_cpu_s = time.perf_counter(), time.process_time()
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    wall_s = time.perf_counter() - begin_s
    cpu_us = (time.process_time() - begin_cpu_s) * 1e6 / calls
    p50, p99 = (histogram.get_value_at_percentile(p) for p in (50, 99))
    print(
        f"threads={threads} bytes={size} calls_per_s={calls / wall_s:.0f} "
        f"p50_us={p50} p99_us={p99} cpu_us_per_call={cpu_us:.0f}"
    )


def main(calls: int = 4000) -> None:
    context = multiprocessing.get_context("spawn")
    near, far = context.Pipe()
    server = context.Process(target=serve, args=(far,))
    server.start()
    endpoint = make_endpoint("a")
    endpoint.add_peer("b", near.recv())
    for threads in (1, 8):
        for size in (200, 20_000):
            run(endpoint, calls=calls, threads=threads, size=size)
    before = endpoint.stats()
    endpoint.call("b", Payload(b""), Payload, timeout_s=TIMEOUT_S).unwrap()
    after = endpoint.stats()
    print(
        "empty_call_bytes "
        f"sent={after.sent_bytes - before.sent_bytes} "
        f"received={after.received_bytes - before.received_bytes}"
    )
    endpoint.stop()
    near.send(None)
    server.join()


if __name__ == "__main__":
    typer.run(main)
