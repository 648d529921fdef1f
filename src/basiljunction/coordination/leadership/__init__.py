"""Elects the instance that schedules a cell; no I/O and no clock."""
