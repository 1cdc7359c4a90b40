"""Where tasks run: the upstreams of one owner and what is reserved on them."""

from papayadyke_core.placement._spec import UpstreamSpec

__all__ = ["UpstreamSpec"]
