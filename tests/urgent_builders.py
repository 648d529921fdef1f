"""Builders of test data for the urgent path."""

import dataclasses
import random
from typing import Any

from basiljunction.coordination import _admission
from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _urgent_core
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
import builders

OWNER_INSTANCE = "i1"
"""Instance that owns the executors."""

PEER_INSTANCE = "i2"
"""The other instance of the group."""


def request(
    request_id: str = "r1", **changes: Any
) -> _urgent_request.UrgentRequest:
    """Returns a request of class ``check``, which has a 2 s deadline."""
    base = _urgent_request.UrgentRequest(
        request_id=request_id,
        customer="kowhai",
        class_name="check",
        body=b"body",
        content_type="text/plain",
    )
    return dataclasses.replace(base, **changes)


def hop(request_id: str = "r1", **changes: Any) -> _urgent_request.Hop:
    """Returns the first try of a request that the peer forwards."""
    base = _urgent_request.Hop(
        key=_urgent_request.HopKey(PEER_INSTANCE, request_id, 1),
        customer="kowhai",
        class_name="check",
        contract_version=1,
        deadline_boot_s=102.0,
        idempotency_key="",
        body=b"body",
        content_type="text/plain",
    )
    return dataclasses.replace(base, **changes)


def executor_call(
    *, address: str, key: str = "", deadline_boot_s: float = 105.0
) -> _urgent_request.CallExecutor:
    """Returns a call to executor ``e1`` with a limit of one connection."""
    return _urgent_request.CallExecutor(
        call_id=1,
        executor="e1",
        address=address,
        connections=1,
        hop=hop(idempotency_key=key),
        deadline_boot_s=deadline_boot_s,
    )


def executor_view(name: str, **changes: Any) -> _views.ExecutorView:
    """Returns the view of an 8-slot executor that ``OWNER`` owns."""
    base = _views.ExecutorView(
        executor=name,
        machine=f"w-{name}",
        address=f"http://127.0.0.1:9/{name}",
        zone="dunedin",
        slots=8,
        connections=64,
        owner=OWNER_INSTANCE,
        epoch=1,
    )
    return dataclasses.replace(base, **changes)


def peer_view(name: str, **changes: Any) -> _views.PeerView:
    """Returns the view of another instance in the same group."""
    base = _views.PeerView(
        instance=name,
        incarnation=1,
        zone="dunedin",
        group="south",
        peer_address="127.0.0.1:8",
        leaving=False,
    )
    return dataclasses.replace(base, **changes)


def fleet_view(
    *executors: _views.ExecutorView, **changes: Any
) -> _views.FleetView:
    """Returns a ready fleet view of two instances and one contract."""
    base = _views.FleetView(
        instance=OWNER_INSTANCE,
        incarnation=1,
        next_offset=1,
        ready=True,
        contract_by_customer={"kowhai": builders.contract()},
        executor_by_id={each.executor: each for each in executors},
        peer_by_instance={PEER_INSTANCE: peer_view(PEER_INSTANCE)},
    )
    return dataclasses.replace(base, **changes)


def urgent_core(instance: str = OWNER_INSTANCE) -> _urgent_core.UrgentCore:
    """Returns an urgent core with a seeded source and no closing hours."""
    return _urgent_core.UrgentCore(
        instance=instance,
        executor_chooser=_executor_choice.LeastLatencyChooser(),
        owner_chooser=_executor_choice.LeastOutstandingChooser(),
        source=random.Random(7),
        seconds_until_open=_admission.always_open,
    )
