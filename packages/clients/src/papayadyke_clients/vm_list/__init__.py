"""Client of the platform's list of live and leaving VMs, which lags behind."""

from papayadyke_clients.vm_list._client import (
    VmListClient,
    VmListError,
    VmListSettings,
)

__all__ = ["VmListClient", "VmListError", "VmListSettings"]
