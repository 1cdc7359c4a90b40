"""Run the stand-in store as a process of its own, for failure tests."""

from __future__ import annotations

import argparse
import signal
import threading
from pathlib import Path

from papayadyke_standins.store import StoreStandin


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="papayadyke_standins.store")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", type=Path)
    args = parser.parse_args()
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    standin = StoreStandin(host=args.host, port=args.port).start()
    if args.port_file is not None:
        _write_whole(args.port_file, standin.address.rpartition(":")[2])
    print(standin.address, flush=True)
    stopped.wait()
    standin.stop()


def _write_whole(path: Path, text: str) -> None:
    part = path.with_name(path.name + ".part")
    part.write_text(text)
    part.replace(path)


if __name__ == "__main__":
    main()
