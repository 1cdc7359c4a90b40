"""Clients of the platform: store, upstreams, list of VMs."""
