"""The WSGI application that serves the metrics of this instance."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import werkzeug

from basiljunction.transport import _metrics

METRICS_PATH = "/metrics"
"""Path at which the metrics are served."""

_MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""


class MetricsApp:
    """WSGI application that serves all metrics in the Prometheus text format.

    Args:
        metrics: Registry of the metrics to serve.
    """

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Responds with the metrics; 404 for other paths, 405 for writes."""
        request = werkzeug.Request(environ)
        if request.path != METRICS_PATH:
            response = werkzeug.Response(status=404)
        elif request.method not in ("GET", "HEAD"):
            response = werkzeug.Response(
                status=405, headers={"Allow": "GET, HEAD"}
            )
        else:
            response = werkzeug.Response(
                self._metrics.render_prometheus_text(), content_type=_MEDIA_TYPE
            )
        return response(environ, start_response)
