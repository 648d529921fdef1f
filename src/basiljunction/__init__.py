"""Scheduler for colocated latency-critical and batch work."""

__all__ = ["__version__"]

__version__ = "0.1.0"
