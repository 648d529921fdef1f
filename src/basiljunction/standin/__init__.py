"""Small stand-ins for the external systems, for tests and the demo.

They answer requests, record them in a journal, and simulate delays and faults
on request. The only effect of a real cluster that they model is how work on
the same worker slows each other down.
"""
