"""The platform's list of live and leaving VMs, which lags."""

from papayadyke_clients.vm_list._client import (
    VmListClient,
    VmListError,
    VmListSettings,
)

__all__ = ["VmListClient", "VmListError", "VmListSettings"]
