"""Which partitions of the log this VM owns, and taking them over."""

from papayadyke_daemon.partitions._keeper import KeeperSettings, PartitionKeeper

__all__ = ["KeeperSettings", "PartitionKeeper"]
