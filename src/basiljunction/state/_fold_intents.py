"""Fold rules for intents: at most one request per idempotency key.

An intent is recorded before a non-idempotent request is sent, and blocks other
requests with the same key until it expires or is released.
"""

from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict


def intent_key(customer: str, key: str) -> str:
    """Returns the state's key for a customer's idempotency key.

    Two customers may use the same idempotency key.
    """
    return f"{customer}\n{key}"


def _fold_intent_recorded(
    state: _system.SystemState,
    record: _records.IntentRecorded,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Records an intent, unless its key is in use or has expired."""
    if record.expires_wall_s <= state.wall_s:
        return _outcomes.Reason.KEY_TOO_OLD
    key = intent_key(record.customer, record.key)
    if key in state.intent_by_key:
        return _outcomes.Reason.KEY_IN_USE
    _drop_expired_intents(state)
    state.intent_by_key[key] = _system.RequestIntent(
        request_id=record.request_id,
        author=origin.author.name,
        expires_wall_s=record.expires_wall_s,
    )
    return None


def _fold_intent_released(
    state: _system.SystemState,
    record: _records.IntentReleased,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Deletes an intent whose request was certainly not sent."""
    key = intent_key(record.customer, record.key)
    intent = state.intent_by_key.get(key)
    if intent is None or intent.request_id != record.request_id:
        return _outcomes.Reason.UNKNOWN_SUBJECT
    if intent.author != origin.author.name:
        # Only the instance that recorded the intent knows that it did not
        # send the request; callers may reuse a request id on another instance.
        return _outcomes.Reason.NOT_OWNER
    del state.intent_by_key[key]
    return None


def _drop_expired_intents(state: _system.SystemState) -> None:
    """Deletes expired intents, oldest first.

    Stops at the first that has not expired, as insertion order is age.
    """
    while state.intent_by_key:
        key = next(iter(state.intent_by_key))
        if state.intent_by_key[key].expires_wall_s > state.wall_s:
            return
        del state.intent_by_key[key]


HANDLER_BY_TYPE: dict[type, _verdict.FoldHandler] = {
    _records.IntentRecorded: _fold_intent_recorded,
    _records.IntentReleased: _fold_intent_released,
}
"""Fold rule for each type of intent record."""
