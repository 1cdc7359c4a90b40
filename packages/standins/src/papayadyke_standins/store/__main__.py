"""Run the stand-in store as a separate process, for failure tests."""

from __future__ import annotations

import argparse
import signal
import threading
from pathlib import Path

from papayadyke_standins.store import StoreStandin


def main() -> None:
    """Serve calls until SIGTERM or SIGINT arrives."""
    parser = argparse.ArgumentParser(prog="papayadyke_standins.store")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", type=Path)
    args = parser.parse_args()
    stopped = threading.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stopped.set())
    standin = StoreStandin(host=args.host, port=args.port).start()
    if args.port_file is not None:
        _write_atomically(args.port_file, standin.address.rpartition(":")[2])
    print(standin.address, flush=True)
    stopped.wait()
    standin.stop()


def _write_atomically(path: Path, text: str) -> None:
    temporary = path.with_name(path.name + ".part")
    temporary.write_text(text)
    temporary.replace(path)


if __name__ == "__main__":
    main()
