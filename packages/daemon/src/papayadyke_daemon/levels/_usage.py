"""Measurement of the processor time and memory of this process."""

from __future__ import annotations

import os
import time
from pathlib import Path

from papayadyke_core.slo import VmUsage

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_RESIDENT_FIELD = 1


class UsageMeter:
    """Measure the resource usage of this process between readings."""

    def __init__(self) -> None:
        self._cpu_s = time.process_time()

    def read(self) -> VmUsage:
        """Return the CPU time since the last call and the current resident memory."""
        cpu_s = time.process_time()
        used_cpu_s = cpu_s - self._cpu_s
        self._cpu_s = cpu_s
        pages = int(_STATM.read_text().split()[_RESIDENT_FIELD])
        return VmUsage(cpu_s=used_cpu_s, memory_bytes=pages * _PAGE_BYTES)
