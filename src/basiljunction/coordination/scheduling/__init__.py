"""Decides which task runs on which executor and when; no I/O and no clock."""
