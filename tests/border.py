"""HTTP API over a fake backend, and builders of its documents."""

import dataclasses
from typing import Any

from werkzeug import test

from basiljunction.coordination import _views
from basiljunction.protocol import _contract_document
from basiljunction.protocol import _credentials
from basiljunction.protocol import _settings
from basiljunction.state import _contract
from basiljunction.transport import _metrics
from basiljunction.transport import _routes
from basiljunction.transport import _routes_context
import builders
import fake_backend
import fakes

OPERATOR_TOKEN = "operator-token"  # noqa: S105 - a token of tests
CALLER_TOKEN = "caller-token"  # noqa: S105 - a token of tests
OTHER_TOKEN = "other-token"  # noqa: S105 - a token of tests

# Request headers of the operator and of the callers of two customers.
OPERATOR = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
CALLER = {"Authorization": f"Bearer {CALLER_TOKEN}"}
OTHER = {"Authorization": f"Bearer {OTHER_TOKEN}"}


def settings(**changes: Any) -> _settings.Settings:
    """Returns the settings of one instance with one operator."""
    operator = _settings.Operator(
        name="ana", credential_hash=_credentials.hash_token(OPERATOR_TOKEN)
    )
    base = _settings.Settings(
        instance="dunedin-1",
        region="south",
        zone="dunedin",
        group="south",
        http_listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        log_url="http://127.0.0.1:1",
        platform_url="http://127.0.0.1:2",
        operators=(operator,),
    )
    return base.model_copy(update=changes)


def contract(customer: str = "kowhai", **changes: Any) -> _contract.Contract:
    """Returns a contract that accepts the token of its customer's caller."""
    token = CALLER_TOKEN if customer == "kowhai" else OTHER_TOKEN
    base = builders.contract(
        customer=customer, credential_hashes=(_credentials.hash_token(token),)
    )
    return dataclasses.replace(base, **changes)


def contract_body(**changes: Any) -> dict[str, Any]:
    """Returns the JSON document of the default contract."""
    return {**_contract_document.contract_to_dict(contract()), **changes}


def job_body(**changes: Any) -> dict[str, Any]:
    """Returns the JSON document of a job with one task."""
    task = {
        "name": "day",
        "demand": {"millicores": 1000, "memory_mib": 512},
        "run_time_s": 60.0,
    }
    base = {"name": "week-1", "class_name": "coding", "tasks": [task]}
    return {**base, **changes}


def ordered_job_body() -> dict[str, Any]:
    """Returns the document of a job of one task and a gang of two after it."""
    (task,) = job_body()["tasks"]
    return job_body(
        tasks=[
            {**task, "name": "day", "after": [], "gang": ""},
            {**task, "name": "week", "after": ["day"], "gang": "roll"},
            {**task, "name": "table", "after": ["day"], "gang": "roll"},
        ]
    )


class Border:
    """The HTTP API of one instance with a fake backend and a test client.

    Attributes:
        backend: Fake backend that answers the API.
        metrics: Metrics of the API.
        api: WSGI application under test.
        client: Test client that calls the application.
    """

    def __init__(self) -> None:
        """Creates a ready API with the contracts of two customers."""
        self.backend = fake_backend.FakeBackend()
        self.metrics = _metrics.Metrics()
        services = _routes_context.ServerDependencies(
            backend=self.backend,
            clock=fakes.FakeClock(),
            metrics=self.metrics,
            settings=settings(),
        )
        self.api = _routes.HttpApi(services)
        self.client = test.Client(self.api)
        for customer in ("kowhai", "signalwise"):
            self.backend.log.append(
                builders.contract_published(contract=contract(customer))
            )
        self.refresh()

    def refresh(self, **changes: Any) -> None:
        """Passes a fleet view of the backend's current state to the API."""
        contracts = self.backend.log.state.contract_by_customer
        view = _views.FleetView(
            instance="dunedin-1",
            incarnation=1,
            ready=True,
            contract_by_customer={
                customer: each.contract for customer, each in contracts.items()
            },
        )
        self.api.update_view(dataclasses.replace(view, **changes))

    def join(self, http_address: str) -> None:
        """Appends the join record of the instance with an HTTP address."""
        record = builders.instance_joined(
            "dunedin-1", http_address=http_address
        )
        self.backend.log.append(record, author="dunedin-1")

    def follow(self) -> None:
        """Makes each append refresh the fleet view, as in a daemon."""
        self.backend.on_append = self.refresh
