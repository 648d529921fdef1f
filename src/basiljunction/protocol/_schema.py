"""Loads the Cap'n Proto schema at import, without generated code."""

import pathlib
from typing import Any

import capnp

_SCHEMA_PATH = pathlib.Path(__file__).with_name("messages.capnp")
"""Schema file of log records and messages between peers."""

capnp.remove_import_hook()
message_schema: Any = capnp.load(str(_SCHEMA_PATH))
"""The loaded schema; each struct is an attribute."""
