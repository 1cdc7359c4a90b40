"""Stand-in upstream that restarts under its name and address."""

import socket
import time

from papayadyke_standins.upstream import UpstreamStandin


def find_free_port():
    # A server that has chosen its port itself does not let another one bind it.
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class RestartingUpstream:
    """Upstream that can restart at its address; it keeps the records of all lives."""

    def __init__(self, spec):
        self.spec = spec
        self.lives = []
        self.address = ("127.0.0.1", find_free_port())
        self.start()

    def start(self, clock=time.monotonic):
        self.lives.append(UpstreamStandin(self.spec, port=self.address[1], clock=clock))
        self.lives[-1].start()

    def restart(self, clock=time.monotonic):
        self.stop()
        self.start(clock)

    def stop(self):
        self.lives[-1].stop()

    def list_runs(self):
        return [
            [record.request_id for record in life.registry.list_records()]
            for life in self.lives
        ]
