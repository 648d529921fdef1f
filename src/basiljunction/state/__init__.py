"""Defines the log records, the contracts and the state folded from the log."""
