"""Clients of the project's own protocols: store, upstreams and VM list."""
