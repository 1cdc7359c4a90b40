"""Stand-in for the platform's list of live and leaving VMs."""

from papayadyke_standins.vm_list._list import LaggingList
from papayadyke_standins.vm_list._server import VmListServer, VmListServerSettings

__all__ = ["LaggingList", "VmListServer", "VmListServerSettings"]
