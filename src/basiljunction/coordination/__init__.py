"""Coordination layer: decision logic without input or output.

Each core takes ``(state, event, now)`` and returns the actions that its caller
has to carry out.
"""
