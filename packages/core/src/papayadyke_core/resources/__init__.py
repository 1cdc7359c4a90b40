"""Amounts of processors, memory and accelerators."""

from papayadyke_core.resources._resources import ZERO_RESOURCES, Resources

__all__ = ["ZERO_RESOURCES", "Resources"]
