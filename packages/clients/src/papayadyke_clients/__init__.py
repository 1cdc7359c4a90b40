"""Clients of our own protocols: store, upstreams, list of VMs."""
