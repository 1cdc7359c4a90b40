"""Ownership of log partitions by this VM: takeover and release."""

from papayadyke_daemon.partitions._keeper import KeeperSettings, PartitionKeeper

__all__ = ["KeeperSettings", "PartitionKeeper"]
