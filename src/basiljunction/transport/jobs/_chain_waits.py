"""Waits that several chains of `_budget_chains` share."""

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _placer
from basiljunction.coordination.scheduling import _silent_executors
from basiljunction.platform import _clients
from basiljunction.protocol import _instance_settings
from basiljunction.transport.jobs import _call_pace
from basiljunction.transport.jobs import _cell_task
from basiljunction.transport.jobs import _checked_calls
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _journal
from basiljunction.transport.jobs import _order_sender
from basiljunction.transport.jobs import _renewal_patience
from basiljunction.transport.jobs import _time_budgets

MAX_PAGE_BYTES = 1_000_000
"""Largest page of the newest records of the store, in bytes."""

_BYTES_PER_S_PER_MBPS = 125_000

_Settings = _instance_settings.InstanceSettings
_Wait = _time_budgets.Wait
_constant = _time_budgets.constant
_join = _time_budgets.join
_source = _time_budgets.source


def answer(name: str) -> _Wait:
    """Returns the wait for an answer in the calm.

    It is the longest mean answer time for which the time-out of a call stays
    at its shortest.
    """
    return _Wait(
        name,
        _call_pace.MIN_TIMEOUT_S / _call_pace.ANSWER_TIME_FACTOR,
        (
            _source(_call_pace, "MIN_TIMEOUT_S"),
            _source(_call_pace, "ANSWER_TIME_FACTOR"),
        ),
    )


def transfer(
    name: str, byte_count: int, settings: _Settings, *sources: str
) -> _Wait:
    """Returns the time that a body takes over the link of an instance.

    Args:
        name: What is sent.
        byte_count: Its size, in bytes.
        settings: Settings, which tell the link.
        sources: What the size follows from.
    """
    mbps = settings.provision.link_mbps
    if mbps is None:
        rate = float(_call_pace.SLOW_LINK_BYTES_PER_S)
        link = _source(_call_pace, "SLOW_LINK_BYTES_PER_S")
    else:
        rate = mbps * _BYTES_PER_S_PER_MBPS
        link = "setting of the link"
    return _Wait(name, byte_count / rate, (*sources, link))


def tick() -> _Wait:
    """Returns the wait for the scheduler's next tick."""
    return _constant("tick", _cell_task, "LEADER_TICK_INTERVAL_S")


def follower_tick() -> _Wait:
    """Returns the wait for the next tick of another instance."""
    return _constant("tick", _cell_task, "FOLLOWER_TICK_INTERVAL_S")


def append(settings: _Settings, name: str) -> tuple[_Wait, ...]:
    """Returns the waits for an append of the largest chunk."""
    return (
        transfer(
            f"sending {name}",
            _journal.MAX_CHUNK_BYTES,
            settings,
            _source(_journal, "MAX_CHUNK_BYTES"),
        ),
        answer(name),
    )


def order() -> tuple[_Wait, ...]:
    """Returns the waits for an order that needs a new connection."""
    return answer("check of the connection"), answer("order")


def starts_body(settings: _Settings) -> _Wait:
    """Returns the time that the starts of one pass take over the link."""
    return transfer(
        "the starts of a pass",
        _placer.MAX_STARTS_PER_PASS * _clients.MAX_PAYLOAD_BYTES,
        settings,
        _source(_placer, "MAX_STARTS_PER_PASS"),
        _source(_clients, "MAX_PAYLOAD_BYTES"),
    )


def place(settings: _Settings) -> tuple[_Wait, ...]:
    """Returns the waits from room for a task until its start."""
    return (
        tick(),
        _constant("placement pass", _placer, "_IDLE_INTERVAL_S"),
        starts_body(settings),
        *order(),
    )


def report() -> tuple[_Wait, ...]:
    """Returns the waits for an executor's next report."""
    return (
        _constant("delay of a renewal", _limits, "RENEWAL_DELAY_S"),
        _constant("renewal", _limits, "RENEWAL_WAIT_S"),
        tick(),
    )


def notice_silence() -> tuple[_Wait, ...]:
    """Returns the waits until an executor counts as silent."""
    return (
        _constant("an answer is overdue", _limits, "CONTACT_TIMEOUT_S"),
        _constant("next check", _silent_executors, "CHECK_INTERVAL_S"),
    )


def lease(slowness: float) -> _Wait:
    """Returns the length of a lease on an executor's clock.

    Args:
        slowness: Factor by which the clock runs slow.
    """
    sources = ["coordination/scheduling/_limits.py LeaseTimes.lease_s"]
    if slowness != 1.0:
        sources.append(_source(_limits, "MAX_CLOCK_SLOWNESS"))
    return _Wait(
        "a lease", _limits.LeaseTimes().lease_s * slowness, tuple(sources)
    )


def await_lease() -> tuple[_Wait, ...]:
    """Returns the waits until runs under a lease have certainly ended."""
    return (
        lease(_limits.MAX_CLOCK_SLOWNESS),
        _constant("ending the runs", _limits, "LEASE_EXPIRY_MARGIN_S"),
    )


def stop(settings: _Settings) -> _Wait:
    """Returns the time that an executor needs to stop a run."""
    return _Wait(
        "stopping the run",
        settings.bounds.stop_timeout_s,
        ("setting of the stop",),
    )


def take_over(settings: _Settings) -> tuple[_Wait, ...]:
    """Returns the waits from the last renewal of a term to the next one.

    The next scheduler has then read one page of records; each further page
    takes as long again.
    """
    return (
        _constant("the term expires", _election, "TERM_EXPIRY_S"),
        _constant("provision", _election, "MAX_PROVISION_DELAY_S"),
        _constant("spread of claims", _election, "MAX_CLAIM_JITTER_S"),
        follower_tick(),
        answer("claim"),
        answer("fencing append"),
        answer("page of records"),
        transfer(
            "sending the page",
            MAX_PAGE_BYTES,
            settings,
            "transport/jobs/_chain_waits.py MAX_PAGE_BYTES",
        ),
    )


def read_again() -> tuple[_Wait, ...]:
    """Returns the waits for a topic after its connection has gone silent."""
    return (
        _constant("a read without an answer", _feeds, "READ_WAIT_S"),
        _constant("its margin", _feeds, "ANSWER_MARGIN_S"),
        _constant("repetition", _feeds, "RETRY_DELAY_S"),
        answer("read"),
    )


def read_executors(settings: _Settings) -> tuple[_Wait, ...]:
    """Returns the waits for the list of executors."""
    return (
        _constant("next read", _feeds, "EXECUTOR_READ_INTERVAL_S"),
        answer("list of executors"),
        transfer(
            "sending the list",
            MAX_PAGE_BYTES,
            settings,
            "transport/jobs/_chain_waits.py MAX_PAGE_BYTES",
        ),
    )


def lost_append() -> _Wait:
    """Returns what a lost answer to an append adds."""
    return _constant("an append is lost", _call_pace, "MIN_TIMEOUT_S")


def lost_read() -> _Wait:
    """Returns what a lost answer to a read of a topic adds."""
    return _join("a read is lost", *read_again())


def lost_page() -> _Wait:
    """Returns what a lost answer to a read of records adds."""
    return _join(
        "a page of records is lost",
        _constant("silence", _journal, "READ_SILENCE_LIMIT_S"),
        _constant("repetition", _journal, "RETRY_DELAY_S"),
    )


def lost_list() -> _Wait:
    """Returns what a lost answer to a read of the executors adds."""
    return _join(
        "a list of executors is lost",
        _constant("silence", _feeds, "ANSWER_MARGIN_S"),
        _constant("repetition", _feeds, "RETRY_DELAY_S"),
    )


def lost_renewal() -> _Wait:
    """Returns what a lease renewal without an answer adds."""
    return _join(
        "a renewal is lost",
        _constant("wait", _limits, "RENEWAL_WAIT_S"),
        _constant("margin", _renewal_patience, "MIN_MARGIN_S"),
        _constant("repetition", _limits, "RENEWAL_RETRY_S"),
    )


def unanswered_check() -> _Wait:
    """Returns what a check of a connection without an answer adds."""
    return _Wait(
        "a check is lost",
        _checked_calls.MAX_CHECK_SHARE * _order_sender.ORDER_TIMEOUT_S,
        (
            _source(_checked_calls, "MAX_CHECK_SHARE"),
            _source(_order_sender, "ORDER_TIMEOUT_S"),
        ),
    )
