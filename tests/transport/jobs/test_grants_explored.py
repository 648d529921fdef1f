"""Explores whether leases are granted later than a successor assumes.

Instances share a simulated store in virtual time. Instances are killed, start
again and freeze; each may lose the store or the others; answers are lost, and
writes are carried out seconds late; the store forgets its history.
"""

from collections.abc import Callable
import functools
import json
import random
import struct
from typing import Any
import urllib.parse

import pytest

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.protocol import _http_call
from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _member_watch
from basiljunction.transport.jobs import _term_keeper
import platform_standin
import workload_builders as build

_TICK_S = 0.05

_NAMES = ("a", "b", "c")

_DAY_S = 300.0
"""Virtual time of one exploration, in seconds."""

_SEED_OF_UNREAD_REMOVAL = 39
"""Seed of a day on which an instance was taken off the list while it could not
read, and the store forgot the record of it."""

_MAX_START_DELAY_S = 15.0
"""Longest time until an instance starts for the first time, in seconds."""

_READ_LIMIT_S = _feeds.READ_WAIT_S + 1.0
"""Time after which a read without an answer fails, in seconds."""


class _World:
    """The store, the links and the instances, in virtual time.

    Attributes:
        now_s: Virtual time, in seconds.
        topic: The term topic of the store.
        first_offset: Offset of the first record that is still kept.
        rng: Random source.
        is_store_down: Whether the store serves nobody.
        instance_by_name: The instances that are up.
        grants: Epoch and time of each lease that was granted.
        bounds: Epoch of each term and by when leases of earlier terms had been
            granted, as its scheduler assumes.
        terms_with_short_bound: How many of these knew better than the longest
            time.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.topic = platform_standin.Topic()
        self.first_offset = 0
        self.is_store_down = False
        self.instance_by_name: dict[str, _Instance] = {}
        self.grants: list[tuple[int, float, str]] = []
        self.bounds: list[tuple[int, float, str]] = []
        self.terms_with_short_bound = 0
        self._events: list[tuple[float, Callable[[], None]]] = []
        for name in _NAMES:
            self.after(
                self.rng.uniform(0.0, _MAX_START_DELAY_S),
                functools.partial(self._start, name),
            )

    def _start(self, name: str) -> None:
        """Starts an instance, under the name that it had before."""
        self.instance_by_name[name] = _Instance(self, name)

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Lets something happen later."""
        self._events.append((self.now_s + delay_s, event))

    def run(self, seconds: float) -> None:
        """Runs for some time, with faults."""
        end_s = self.now_s + seconds
        next_fault_s = self.now_s + 5.0
        while self.now_s < end_s:
            self.now_s += _TICK_S
            due = [each for each in self._events if each[0] <= self.now_s]
            self._events = [
                each for each in self._events if each[0] > self.now_s
            ]
            for _, event in due:
                event()
            if self.now_s >= next_fault_s:
                next_fault_s = self.now_s + self.rng.expovariate(0.5)
                self._begin_fault()
            for instance in list(self.instance_by_name.values()):
                instance.tick()

    def _begin_fault(self) -> None:
        """Begins a fault that ends after some time."""
        rng = self.rng
        name = rng.choice(_NAMES)
        leaders = [
            each.name
            for each in self.instance_by_name.values()
            if each.election.is_leader
        ]
        if leaders and rng.random() < 0.5:
            name = rng.choice(leaders)
        instance = self.instance_by_name.get(name)
        lasts_s = rng.choice((0.5, 2.0, 4.0, 8.0, 14.0, 25.0))
        kind = rng.choice(
            ("kill", "freeze", "store", "peers", "lossy", "down", "forget")
        )
        if kind == "down":
            self.is_store_down = True

            def end_outage() -> None:
                self.is_store_down = False

            self.after(lasts_s, end_outage)
        elif kind == "forget":
            self.first_offset = len(self.topic.records)
        elif instance is None:
            return
        elif kind == "kill":
            del self.instance_by_name[name]
            self.after(lasts_s, functools.partial(self._start, name))
        else:
            instance.faults.add(kind)
            self.after(lasts_s, lambda: instance.faults.discard(kind))


class _Client(_http_calls.HttpClient):
    """Carries the calls of one instance."""

    def __init__(self, world: _World, owner: "_Instance") -> None:
        self._world = world
        self._owner = owner

    def received_bytes(self, call: _http_call.HttpCall) -> int:
        """Returns 0: an answer arrives at once."""
        return 0

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
        guard: _http_calls.ConnectionGuard | None = None,
    ) -> None:
        world, rng = self._world, self._world.rng
        is_done: list[bool] = []

        def finish(reply: _http_call.HttpReply) -> None:
            if "freeze" in self._owner.faults:
                world.after(_TICK_S, lambda: finish(reply))
            elif not is_done:
                is_done.append(True)
                on_reply(reply)

        url = urllib.parse.urlsplit(call.url)
        is_read = url.path in ("/log-read", "/log-newest")
        limit_s = _READ_LIMIT_S if is_read else call.timeout_s
        world.after(
            limit_s,
            lambda: finish(_http_call.HttpReply(0, error_text="timed out")),
        )
        delay_s = rng.choice((0.0, 0.0, 0.0, 0.05, 0.3))
        if url.path.startswith("/log-"):
            is_late = "lossy" in self._owner.faults and rng.random() < 0.4
            if is_late:
                delay_s = rng.uniform(0.5, 4.0)
            world.after(
                delay_s,
                lambda: self._call_store(call, finish, is_lost=is_late),
            )
        else:
            world.after(delay_s, lambda: self._call_peer(call, finish))

    def _call_store(
        self,
        call: _http_call.HttpCall,
        finish: _http_calls.ReplyCallback,
        *,
        is_lost: bool,
        sent_s: float | None = None,
    ) -> None:
        """Carries out a call at the store."""
        world = self._world
        if world.is_store_down or "store" in self._owner.faults:
            if world.rng.random() < 0.5:
                finish(_http_call.HttpReply(503))
            return
        url = urllib.parse.urlsplit(call.url)
        query = dict(urllib.parse.parse_qsl(url.query))
        sent_s = world.now_s if sent_s is None else sent_s
        status, body = 200, b""
        records = world.topic.records
        if url.path == "/log-append":
            status, answer = platform_standin.append_to_topic(
                world.topic, query, call.body or b""
            )
            body = json.dumps(answer).encode()
        elif url.path == "/log-newest":
            body = json.dumps(
                platform_standin.newest_page(world.topic, "")
            ).encode()
        elif int(query["From"]) < world.first_offset:
            status = 410
            body = json.dumps({"FirstOffset": world.first_offset}).encode()
        elif int(query["From"]) < len(records) or (
            world.now_s - sent_s >= int(query["WaitMs"]) / 1000
        ):
            begin = int(query["From"])
            body = struct.pack(">QQ", len(records), 0) + b"".join(
                struct.pack(">I", len(each)) + each for each in records[begin:]
            )
        else:
            world.after(
                _TICK_S,
                lambda: self._call_store(
                    call, finish, is_lost=is_lost, sent_s=sent_s
                ),
            )
            return
        if not is_lost:
            finish(_http_call.HttpReply(status, body))

    def _call_peer(
        self, call: _http_call.HttpCall, finish: _http_calls.ReplyCallback
    ) -> None:
        """Asks another instance, if both links carry it."""
        address = call.url.removeprefix("http://").removesuffix("/calls")
        peer = self._world.instance_by_name.get(address.split(":")[0])
        if peer is None or "freeze" in peer.faults:
            return
        if "peers" in peer.faults or "peers" in self._owner.faults:
            return
        assert call.body is not None
        question = _peer_calls.decode_call(call.body)
        reply = _client_calls.ClientReply(
            _client_calls.CallOutcome.FOUND,
            lacks_store=peer.report_outage(question.epoch),
        )
        body = _peer_calls.encode_reply(reply, "", 0)
        delay_s = self._world.rng.choice((0.0, 0.05, 0.3, 2.0))
        self._world.after(
            delay_s, lambda: finish(_http_call.HttpReply(200, body))
        )


class _Instance:
    """A process of an instance, as the cell task runs it."""

    def __init__(self, world: _World, name: str) -> None:
        self.name = name
        self.faults: set[str] = set()
        self._world = world
        self._session_epoch = 0
        self.grants = _lease_grants.GrantHistory(world.now_s)
        client: Any = _Client(world, self)
        self.election = _election.Election(
            instance=name,
            incarnation=int(world.now_s * 1000),
            address=f"{name}:1",
            rng=world.rng,
            grants=self.grants,
        )
        self.feed = _term_keeper.TermFeed(
            calls=client,
            address="store:1",
            clock=lambda: build.clock_readings_at(world.now_s),
            election=self.election,
            grants=self.grants,
            member=name,
            member_address=f"{name}:1",
        )
        self.watch = _member_watch.MemberWatch(
            calls=client,
            clock=lambda: build.clock_readings_at(world.now_s),
        )

    def report_outage(self, epoch: int) -> bool:
        """Returns what the cell task returns."""
        term = self.election.term
        if term is not None and (term.epoch > epoch or self.election.is_leader):
            return False
        now = build.clock_readings_at(self._world.now_s)
        if not self.grants.may_report(now.boot_s):
            return False
        if not self.feed.lacks_store(now):
            return False
        self.grants.record_report(now.boot_s)
        return True

    def tick(self) -> None:
        """Does what a tick of the cell task does for terms and grants."""
        if "freeze" in self.faults:
            return
        now = build.clock_readings_at(self._world.now_s)
        self.feed.start_due_read(now)
        self.feed.register_member(now)
        self.feed.send_due_write(now)
        if not self.election.is_leader or self.election.term is None:
            return
        epoch = self.election.term.epoch
        if epoch > self._session_epoch:
            self._session_epoch = epoch
            self._begin_session(epoch)
        others = self.feed.other_members()
        confirmed_s = self.election.last_confirmed_s
        self.watch.tick(
            now,
            epoch=epoch,
            confirmed_s=confirmed_s,
            address_by_member=others,
        )
        if self.election.is_confirmed(now.boot_s):
            self.feed.remove_members(self.watch.find_gone(now))
        if now.boot_s < _lease_grants.grants_end_s(
            confirmed_s, self.watch.reported_until_s(others)
        ):
            self._world.grants.append((epoch, now.boot_s, self.name))

    def _begin_session(self, epoch: int) -> None:
        """Notes by when it assumes that others granted their last lease."""
        now_s = self._world.now_s
        predecessor = self.election.predecessor
        bound_s = now_s + _lease_grants.MAX_GRANT_S
        if predecessor is not None and predecessor.epoch == epoch - 1:
            written_s = self.election.history.written_by_s(
                predecessor.epoch, predecessor.beat
            )
            if written_s is not None:
                bound_s = self.grants.find_last_grant(
                    predecessor,
                    written_s,
                    has_ended=self.election.has_scheduler_ended(predecessor),
                ).by_s
                if bound_s < written_s + _lease_grants.MAX_GRANT_S:
                    self._world.terms_with_short_bound += 1
        self._world.bounds.append((epoch, bound_s, self.name))


def _find_late_grant(world: _World) -> str:
    """Returns a grant after the time that a later term assumes, or nothing."""
    for epoch, bound_s, name in world.bounds:
        for earlier_epoch, granted_s, grantor in world.grants:
            if earlier_epoch < epoch and granted_s > bound_s:
                return (
                    f"{grantor} granted in term {earlier_epoch} at"
                    f" {granted_s:.2f}, {name} assumes in term {epoch} that"
                    f" none was after {bound_s:.2f}"
                )
    return ""


class TestGrantsExplored:
    """No lease is granted later than the scheduler after it assumes."""

    @pytest.mark.parametrize("seed", range(8))
    def test_none_is_on_long_days(self, seed: int) -> None:
        world = _World(seed)
        world.run(_DAY_S)
        assert len(world.bounds) > 10
        assert world.terms_with_short_bound > 3
        assert not _find_late_grant(world)

    @pytest.mark.parametrize("block", range(4))
    def test_none_is_while_instances_join(self, block: int) -> None:
        for seed in range(50 * block, 50 * (block + 1)):
            world = _World(seed)
            world.run(2 * _MAX_START_DELAY_S)
            assert not _find_late_grant(world), seed

    def test_none_is_after_a_removal_that_was_not_read(self) -> None:
        """Failed until the newest records of all keys replaced the list."""
        world = _World(_SEED_OF_UNREAD_REMOVAL)
        world.run(_DAY_S)
        assert not _find_late_grant(world)
