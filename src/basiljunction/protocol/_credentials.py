"""Finds the operator or customer that a bearer token belongs to."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import hashlib
import hmac

from basiljunction.protocol import _settings
from basiljunction.state import _contract

_INDEX_PREFIX_CHARS = 4
"""Leading hex digits that select candidates for the full comparison."""

_SCHEME = "bearer"
"""Scheme of the ``Authorization`` header, in lower case."""


class Role(enum.StrEnum):
    """Kind of principal, which determines its permissions."""

    OPERATOR = "operator"
    CALLER = "caller"


@dataclasses.dataclass(frozen=True, slots=True)
class Principal:
    """The authenticated sender of a request.

    Attributes:
        role: Operator or caller.
        name: Name of the operator, or of the customer for a caller.
    """

    role: Role
    name: str

    @property
    def is_operator(self) -> bool:
        """Whether it may read and change every customer's work."""
        return self.role is Role.OPERATOR

    def may_access_customer(self, customer: str) -> bool:
        """Returns whether it may access the customer's work."""
        return self.is_operator or self.name == customer


def hash_token(token: str) -> str:
    """Returns the SHA-256 of a token in hex, as contracts store it."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse_bearer_token(header: str | None) -> str | None:
    """Extracts the token of an ``Authorization`` header.

    Returns:
        The token, or None if the header holds no bearer token.
    """
    scheme, _, token = (header or "").partition(" ")
    if scheme.lower() != _SCHEME:
        return None
    return token.strip() or None


class CredentialIndex:
    """Finds principals by the hashes of their bearer tokens.

    Args:
        operators: Operators from the settings.
        contract_by_customer: Contracts in force, with the callers' hashes.
    """

    def __init__(
        self,
        operators: Iterable[_settings.Operator],
        contract_by_customer: Mapping[str, _contract.Contract],
    ) -> None:
        """Indexes the hashes of all operators and callers."""
        self._credentials_by_prefix: dict[str, list[tuple[str, Principal]]] = {}
        for operator in operators:
            principal = Principal(Role.OPERATOR, operator.name)
            self._add_credential(operator.credential_hash, principal)
        for customer, contract in contract_by_customer.items():
            for digest in contract.credential_hashes:
                self._add_credential(digest, Principal(Role.CALLER, customer))

    def find_principal(self, token: str) -> Principal | None:
        """Returns the principal of a token, or None if it is unknown.

        Hashes are compared in constant time.
        """
        digest = hash_token(token)
        found = None
        for known, principal in self._credentials_by_prefix.get(
            digest[:_INDEX_PREFIX_CHARS], []
        ):
            if hmac.compare_digest(known, digest) and found is None:
                found = principal
        return found

    def _add_credential(self, digest: str, principal: Principal) -> None:
        """Adds a hash under its leading digits."""
        prefix = digest[:_INDEX_PREFIX_CHARS]
        self._credentials_by_prefix.setdefault(prefix, []).append(
            (digest, principal)
        )
