"""Settings that limit what clients may use of the HTTP server."""

import pydantic

from basiljunction.protocol import _model


class Limits(_model.StrictModel):
    """Limits of the HTTP server on requests and connections."""

    body_bytes: int = pydantic.Field(
        default=1 << 20,
        ge=1,
        le=64 << 20,
        description="Largest body of a request, in bytes.",
    )
    bodies_bytes: int = pydantic.Field(
        default=256 << 20,
        ge=1,
        le=1 << 40,
        description="Most bytes of the bodies of all requests together; a body"
        " that would exceed it gets 503.",
    )
    receive_buffer_bytes: int = pydantic.Field(
        default=65_536,
        ge=4096,
        le=16 << 20,
        description="Bytes that the system keeps of a connection until they are"
        " read, at most; Linux doubles the number.",
    )
    header_bytes: int = pydantic.Field(
        default=16_384,
        ge=512,
        le=1 << 20,
        description="Largest header of a request, in bytes.",
    )
    header_timeout_s: float = pydantic.Field(
        default=5.0,
        gt=0,
        le=60,
        description="Seconds in which a header must arrive.",
    )
    body_timeout_s: float = pydantic.Field(
        default=20.0,
        gt=0,
        le=600,
        description="Seconds in which a body must arrive.",
    )
    write_timeout_s: float = pydantic.Field(
        default=20.0,
        gt=0,
        le=600,
        description="Seconds in which the client must read an answer.",
    )
    http_threads: int = pydantic.Field(
        default=64,
        ge=2,
        le=1024,
        description="Threads, that is, requests handled at once.",
    )
    waiting_connections: int = pydantic.Field(
        default=256,
        ge=1,
        le=65_536,
        description="Connections that wait for a thread before more get 503.",
    )
    idle_connections: int = pydantic.Field(
        default=512,
        ge=0,
        le=65_536,
        description="Largest number of idle keep-alive connections.",
    )
    drain_s: float = pydantic.Field(
        default=30.0,
        gt=0,
        le=3600,
        description="Seconds for requests in progress to finish at shutdown.",
    )
