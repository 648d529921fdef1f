"""Ensures that a non-idempotent request is sent to an executor at most once.

The instance that sends to the executor first appends an intent record to the
log, and sends only after it has read the record back as accepted. The fold
(the function from log records to state) accepts one intent for each key, so
duplicated or delayed messages and retries through other instances are refused
because the key is in use.
"""

import collections
import dataclasses
import uuid

from basiljunction.coordination import _events
from basiljunction.coordination import _urgent_request
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _time
from basiljunction.state import _verdict

KEY_RETENTION_S = 24 * 3600.0
"""Time for which an idempotency key stays in use, in seconds."""
MAX_FUTURE_KEY_S = 300.0
"""Largest clock skew accepted in the time inside a key, in seconds."""
MAX_REMEMBERED_ENDS = 10_000
"""Maximum number of keys whose result is remembered for retrying callers."""
MAX_OPEN_INTENTS = 10_000
"""Maximum number of intents that are appended but not settled."""

_CustomerKey = tuple[str, str]
"""Customer and idempotency key."""


def key_expiry_wall_s(key: str, wall_s: float) -> float:
    """Returns the Unix time at which an idempotency key expires.

    A version 7 UUID contains its creation time and expires relative to it, so
    it stays refused once it is too old. Any other key, or one whose creation
    time is too far in the future, expires relative to the current time.

    Args:
        key: The caller's idempotency key.
        wall_s: Current Unix time in seconds.
    """
    made_s = _uuid7_created_wall_s(key)
    if made_s is None or made_s > wall_s + MAX_FUTURE_KEY_S:
        return wall_s + KEY_RETENTION_S
    return made_s + KEY_RETENTION_S


def _uuid7_created_wall_s(key: str) -> float | None:
    """Returns when a version 7 UUID was created; None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000.0


@dataclasses.dataclass(slots=True)
class _OpenIntent:
    """An appended intent whose verdict has not been read back.

    Attributes:
        hop: Identifies the hop: one try of a request at the owner of executors.
        is_abandoned: Whether the hop must not be sent any more.
    """

    hop: _urgent_request.HopKey
    is_abandoned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IntentAccepted:
    """The log accepted the intent, so its hop may be sent once.

    Attributes:
        hop: Identifies the hop.
    """

    hop: _urgent_request.HopKey


@dataclasses.dataclass(frozen=True, slots=True)
class IntentRefused:
    """The intent was not recorded, so its hop must not be sent.

    Attributes:
        hop: Identifies the hop.
        reason: Why the intent was refused.
    """

    hop: _urgent_request.HopKey
    reason: _outcomes.Reason


class IntentTracker:
    """Tracks the intents that this process has appended.

    An intent is open until its verdict is read back from the log. After that
    the result of its request is remembered for callers that retry the key.

    Args:
        instance: Name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._incarnations: set[int] = set()
        self._open_by_key: dict[_CustomerKey, _OpenIntent] = {}
        self._end_by_key: collections.OrderedDict[_CustomerKey, str] = (
            collections.OrderedDict()
        )

    def add_incarnation(self, incarnation: int) -> None:
        """Adds an incarnation under which this process appends records.

        Verdicts on records of other incarnations are ignored, because an
        earlier process of this instance may have sent what it appended.
        """
        self._incarnations.add(incarnation)

    def open_intent(
        self, hop: _urgent_request.Hop, now: _time.Now
    ) -> _events.AppendRecords | _outcomes.Reason:
        """Opens an intent for a hop.

        Returns:
            The append of the intent record, or the reason for a refusal: the
            key is in use or too old, or too many intents are open.
        """
        key = (hop.customer, hop.idempotency_key)
        if key in self._open_by_key or key in self._end_by_key:
            return _outcomes.Reason.KEY_IN_USE
        if len(self._open_by_key) >= MAX_OPEN_INTENTS:
            return _outcomes.Reason.OVERLOADED
        expires_s = key_expiry_wall_s(hop.idempotency_key, now.wall_s)
        if expires_s <= now.wall_s:
            return _outcomes.Reason.KEY_TOO_OLD
        self._open_by_key[key] = _OpenIntent(hop.key)
        record = _records.IntentRecorded(
            customer=hop.customer,
            key=hop.idempotency_key,
            request_id=hop.key.request_id,
            expires_wall_s=expires_s,
        )
        return _events.AppendRecords((record,), hop.deadline_boot_s)

    def abandon_intent(self, hop: _urgent_request.Hop) -> None:
        """Marks the open intent of a hop so that the hop is never sent."""
        intent = self._open_by_key.get((hop.customer, hop.idempotency_key))
        if intent is not None and intent.hop == hop.key:
            intent.is_abandoned = True

    def release_key(self, hop: _urgent_request.Hop) -> _events.AppendRecords:
        """Returns the append that releases the key of a hop that never ran."""
        self._end_by_key.pop((hop.customer, hop.idempotency_key), None)
        return self._release_key(
            hop.customer, hop.idempotency_key, hop.key.request_id
        )

    def remember_end(self, hop: _urgent_request.Hop, end: str) -> None:
        """Remembers how the request with a key ended, for retrying callers.

        Args:
            hop: The hop that was sent.
            end: Human-readable result.
        """
        self._end_by_key[(hop.customer, hop.idempotency_key)] = end
        while len(self._end_by_key) > MAX_REMEMBERED_ENDS:
            self._end_by_key.popitem(last=False)

    def describe_earlier_request(self, hop: _urgent_request.Hop) -> str:
        """Returns a text on the earlier request that uses a hop's key."""
        key = (hop.customer, hop.idempotency_key)
        if key in self._end_by_key:
            return self._end_by_key[key]
        if key in self._open_by_key:
            return "the earlier request with this key is in progress"
        return "an earlier request with this key is on record"

    def settle_by_verdict(
        self, verdict: _verdict.Verdict
    ) -> IntentAccepted | IntentRefused | _events.AppendRecords | None:
        """Settles the open intent that a verdict read from the log refers to.

        Returns:
            Whether the hop may be sent; or the append that releases the key of
            an accepted intent whose hop was abandoned; or None if nothing is
            to be done.
        """
        record = verdict.record
        if not self._is_own(verdict.author):
            return None
        intent = self._remove_open_intent(record)
        if intent is None or not isinstance(record, _records.IntentRecorded):
            return None
        if verdict.rejection_reason is not None:
            if intent.is_abandoned:
                return None
            return IntentRefused(intent.hop, verdict.rejection_reason)
        if intent.is_abandoned:
            return self._release_key(
                record.customer, record.key, record.request_id
            )
        known = "the earlier request with this key is in progress"
        self._end_by_key[(record.customer, record.key)] = known
        return IntentAccepted(intent.hop)

    def settle_dropped_record(
        self, record: _records.Record
    ) -> IntentRefused | None:
        """Settles the intent of a record that was certainly not appended.

        Returns:
            The refusal of its hop; None if there is no such open intent or its
            hop was abandoned.
        """
        intent = self._remove_open_intent(record)
        if intent is None or intent.is_abandoned:
            return None
        return IntentRefused(intent.hop, _outcomes.Reason.LOG_UNAVAILABLE)

    def _is_own(self, author: _records.Author) -> bool:
        """Returns whether this process appended an author's records."""
        if author.name != self._instance:
            return False
        return author.incarnation in self._incarnations

    def _remove_open_intent(
        self, record: _records.Record
    ) -> _OpenIntent | None:
        """Removes and returns the open intent of a record, if there is one."""
        if not isinstance(record, _records.IntentRecorded):
            return None
        key = (record.customer, record.key)
        intent = self._open_by_key.get(key)
        if intent is None or intent.hop.request_id != record.request_id:
            return None
        del self._open_by_key[key]
        return intent

    def _release_key(
        self, customer: str, key: str, request_id: str
    ) -> _events.AppendRecords:
        """Returns the append of the record that releases a key."""
        record = _records.IntentReleased(
            customer=customer, key=key, request_id=request_id
        )
        return _events.AppendRecords((record,))
