"""Decisions of the papayadyke scheduler, without I/O."""
