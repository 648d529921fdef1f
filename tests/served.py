"""Serves the API over loopback and runs CLI commands against it."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses

from click import testing

from basiljunction import cli
from basiljunction.protocol import _http_limits
from basiljunction.transport import _http_server
import border

_LIMITS = _http_limits.Limits(http_threads=4)


@dataclasses.dataclass(slots=True)
class ServedApi:
    """The HTTP API of one instance, served on loopback.

    Attributes:
        harness: API and its fake backend.
        base_url: Base URL of the API.
    """

    harness: border.Border
    base_url: str

    def run_command(
        self, *arguments: str, token: str = border.OPERATOR_TOKEN
    ) -> testing.Result:
        """Runs a CLI command against this instance and returns its result."""
        environment = {
            "BASILJUNCTION_ENTRIES": self.base_url,
            "BASILJUNCTION_TOKEN": token,
        }
        return testing.CliRunner().invoke(
            cli.main, list(arguments), env=environment
        )


@contextlib.contextmanager
def serve_api() -> Iterator[ServedApi]:
    """Serves an API with a fake backend until the context ends."""
    here = border.Border()
    server = _http_server.HttpServer(
        listen="127.0.0.1:0", application=here.api, limits=_LIMITS
    )
    address = server.bind()
    here.join(address)
    with futures.ThreadPoolExecutor(1) as pool:
        done = server.start(pool)
        yield ServedApi(here, f"http://{address}")
        server.stop()
        done.result(timeout=10)
