"""Runs both example deployments on loopback and checks the invariants."""
