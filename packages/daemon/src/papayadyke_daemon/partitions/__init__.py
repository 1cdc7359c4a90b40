"""Ownership of log partitions by this VM: takeover and release."""

from papayadyke_daemon.partitions._manager import (
    PartitionManager,
    PartitionManagerSettings,
)

__all__ = ["PartitionManager", "PartitionManagerSettings"]
