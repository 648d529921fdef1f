"""Provision of an instance: the network link and processor that it has."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Provision:
    """Link and processor of one instance; None where unknown.

    Attributes:
        link_mbps: Bandwidth of its network link, in Mbit/s.
        cpu_cores: Processor time that it gets, in cores.
    """

    link_mbps: float | None = None
    cpu_cores: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether at least one of the resources is known."""
        return self.link_mbps is not None or self.cpu_cores is not None


UNKNOWN = Provision()
"""Provision of an instance whose settings do not tell it."""
