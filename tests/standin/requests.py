"""Calls to stand-ins without a socket."""

import json
from typing import Any

from werkzeug import datastructures
from werkzeug import test
from werkzeug import wrappers

from basiljunction.standin import _server


def call_stand_in(
    stand_in: _server.StandIn,
    path: str,
    *,
    data: bytes | None = None,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    query: dict[str, str] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Calls a stand-in and returns the status and the JSON answer.

    The method is POST if `data` or `body` (sent as JSON) is given, else GET.
    """
    payload = json.dumps(body).encode() if body is not None else data
    builder = test.EnvironBuilder(
        method="GET" if payload is None else "POST",
        data=payload,
        headers=datastructures.Headers(headers or {}),
        query_string=query,
    )
    request = wrappers.Request(builder.get_environ())
    response = stand_in.handle(request, path)
    return response.status_code, json.loads(response.get_data())
