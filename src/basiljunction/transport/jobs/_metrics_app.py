"""The WSGI application that serves the metrics of this instance."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import werkzeug

from basiljunction.transport import _metrics

PATH = "/metrics"

_MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsApp:
    """Answers with all metrics as text.

    Args:
        metrics: What is served.
    """

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answers one request."""
        request = werkzeug.Request(environ)
        if request.path != PATH:
            response = werkzeug.Response(status=404)
        elif request.method not in ("GET", "HEAD"):
            response = werkzeug.Response(
                status=405, headers={"Allow": "GET, HEAD"}
            )
        else:
            response = werkzeug.Response(
                self._metrics.exposition(), content_type=_MEDIA_TYPE
            )
        return response(environ, start_response)
