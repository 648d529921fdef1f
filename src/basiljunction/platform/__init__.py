"""Adapter to the users' platform: field names, formats and HTTP calls.

It converts between the platform's formats and the scheduler's types, and
contains no scheduling decisions.
"""
