"""Fold rules for contracts: each accepted publication adds one version."""

from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict

MAX_EARLIER_VERSIONS = 20
"""Maximum number of replaced contract versions kept per customer."""


def find_accepted_version(
    state: _system.SystemState, customer: str, publish_id: str
) -> int | None:
    """Returns the contract version that a publication created.

    Returns:
        The version, or None if no contract in force or kept earlier version
        has this ``publish_id``.
    """
    current = state.contract_by_customer.get(customer)
    if current is None:
        return None
    if current.publish_id == publish_id:
        return current.contract.version
    for contract, known_id in zip(
        current.earlier, current.earlier_publish_ids, strict=False
    ):
        if known_id == publish_id:
            return contract.version
    return None


def _fold_contract_published(
    state: _system.SystemState,
    record: _records.ContractPublished,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Puts a contract in force, unless another version was published first."""
    customer = record.contract.customer
    current = state.contract_by_customer.get(customer)
    if find_accepted_version(state, customer, record.publish_id) is not None:
        return _outcomes.Reason.DUPLICATE
    version = current.contract.version if current is not None else 0
    if record.base_version != version:
        return _outcomes.Reason.STALE_VERSION
    if record.contract.version != version + 1:
        return _outcomes.Reason.STALE_VERSION
    earlier = []
    earlier_ids = []
    if current is not None:
        earlier = [*current.earlier, current.contract][-MAX_EARLIER_VERSIONS:]
        earlier_ids = [*current.earlier_publish_ids, current.publish_id]
    state.contract_by_customer[customer] = _system.ContractInForce(
        contract=record.contract,
        offset=origin.offset,
        publish_id=record.publish_id,
        operator=record.operator,
        accepted_wall_s=origin.wall_s,
        earlier=earlier,
        earlier_publish_ids=earlier_ids[-MAX_EARLIER_VERSIONS:],
    )
    state.usage_by_customer.setdefault(customer, _system.CustomerUsage())
    return None


HANDLER_BY_TYPE: dict[type, _verdict.FoldHandler] = {
    _records.ContractPublished: _fold_contract_published
}
"""Fold rule for each type of contract record."""
