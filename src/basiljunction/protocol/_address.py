"""Parsing of network addresses of the form ``ip:port``."""


def split_host_and_port(text: str) -> tuple[str, int]:
    """Splits ``ip:port`` or ``[ipv6]:port`` into host and port.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)
