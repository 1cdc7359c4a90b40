"""Recording of service levels in the store, and reports over all VMs."""

from papayadyke_daemon.levels._archive import LevelArchive
from papayadyke_daemon.levels._recorder import LevelRecorder, LevelSettings
from papayadyke_daemon.levels._usage import UsageMeter

__all__ = ["LevelArchive", "LevelRecorder", "LevelSettings", "UsageMeter"]
