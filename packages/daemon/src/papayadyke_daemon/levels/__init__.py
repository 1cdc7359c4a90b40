"""Recording of service levels in the store, and reports over all VMs."""

from papayadyke_daemon.levels._archive import LevelArchive
from papayadyke_daemon.levels._keeper import LevelKeeper, LevelSettings
from papayadyke_daemon.levels._usage import UsageMeter

__all__ = ["LevelArchive", "LevelKeeper", "LevelSettings", "UsageMeter"]
