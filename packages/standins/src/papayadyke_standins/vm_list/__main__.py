"""Run the stand-in VM list as a separate process, for failure tests."""

from __future__ import annotations

import argparse
import signal
import threading

from papayadyke_standins.vm_list import VmListServer, VmListServerSettings


def main() -> None:
    """Serve requests until SIGTERM or SIGINT arrives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lag-s", type=float, default=5.0)
    args = parser.parse_args()
    settings = VmListServerSettings(host=args.host, port=args.port, lag_s=args.lag_s)
    server = VmListServer(settings)
    stopped = threading.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stopped.set())
    server.start()
    print(server.url, flush=True)
    stopped.wait()
    server.stop()


if __name__ == "__main__":
    main()
