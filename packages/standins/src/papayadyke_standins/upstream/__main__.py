"""Run a stand-in upstream as a separate process, for failure tests."""

from __future__ import annotations

import argparse
import signal
import threading
from pathlib import Path

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_standins.upstream._server import UpstreamStandin


def main() -> None:
    """Serve requests until SIGTERM arrives."""
    options = _parse_options()
    spec = UpstreamSpec(
        name=options.name,
        availability_zone=options.availability_zone,
        rack=options.rack,
        capacity=Resources(options.cpu_millis, options.memory_mb, options.accelerators),
        slots=options.slots,
        speed=options.speed,
    )
    standin = UpstreamStandin(
        spec, port=options.port, default_work_s=options.work_seconds
    )
    standin.start()
    if options.port_file is not None:
        options.port_file.write_text(str(standin.address[1]))
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    stopped.wait()
    standin.stop()


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="upstream-1")
    parser.add_argument("--availability-zone", default="loopback")
    parser.add_argument("--rack", default="rack-1")
    parser.add_argument("--cpu-millis", type=int, default=64_000)
    parser.add_argument("--memory-mb", type=int, default=262_144)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--work-seconds", type=float, default=0.0)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", type=Path)
    return parser.parse_args()


if __name__ == "__main__":
    main()
