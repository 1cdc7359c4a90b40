"""Amounts of processors, memory and accelerators."""

from papayadyke_core.resources._resources import NOTHING, Resources

__all__ = ["NOTHING", "Resources"]
