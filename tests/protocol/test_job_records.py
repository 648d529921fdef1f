"""Tests of the encoding of scheduler records in the store."""

import dataclasses
import json
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from basiljunction.protocol import _errors
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _position_set
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _provision
from basiljunction.state.workload import _records
import workload_builders as build

_PROGRESS = _progress.JobProgress(
    state=_progress.JobState.RUNNING,
    completed_positions=_position_set.PositionSet({(0, 0, 1), (0, 0, 0)}),
    failed_runs_by_position={(0, 1, 2): {7, 1048577}},
    checkpoint_by_position={(0, 1, 2): "c"},
    finished_wall_s=5.5,
    crashes_by_position={
        (0, 1, 2): _progress.TaskCrashes(("e1@5", "e2@6"), ("e3@7",), "e4@8"),
        (0, 1, 3): _progress.TaskCrashes(attempt_executor="e4@8"),
    },
    slow_run_by_position={(0, 2, 0): _progress.SlowRun(1048578, 2.05)},
)


class TestRecords:
    """A record decodes to what was encoded, or raises DecodeError."""

    @pytest.mark.parametrize(
        "record",
        [
            _records.JobRecord(
                build.accepted_job(build.step_spec(after=()), build.step_spec())
            ),
            _records.ProgressRecord("00000000000000a1", _PROGRESS),
            _records.LearnedHeadroomRecord(
                {"a": _records.LearnedHeadroom(2.5, {"b": 0.5})}
            ),
            _records.ExecutorRosterRecord(
                (build.executor_entry("e1"), build.executor_entry("e2"))
            ),
        ],
    )
    def test_it_reads_as_it_was_written(self, record: _records.Record) -> None:
        (keyed,) = _job_records.encode_record(record)
        assert _job_records.decode_record(keyed) == record

    def test_progress_of_an_earlier_version_has_no_crashes(self) -> None:
        record = _records.ProgressRecord("00000000000000a1", _PROGRESS)
        (keyed,) = _job_records.encode_record(record)
        document = json.loads(keyed.value)
        del document["d"]["crashes"]
        earlier = _job_records.KeyedRecord(
            keyed.key, json.dumps(document).encode()
        )
        assert _job_records.decode_record(earlier) == dataclasses.replace(
            record,
            progress=dataclasses.replace(_PROGRESS, crashes_by_position={}),
        )

    def test_the_time_left_of_a_drain_is_not_stored(self) -> None:
        """It only holds when the executor reports it."""
        entry = build.executor_entry(is_draining=True, drain_left_s=2.0)
        (keyed,) = _job_records.encode_record(
            _records.ExecutorRosterRecord((entry,))
        )
        assert b"drain_left_s" not in keyed.value
        assert _job_records.decode_record(keyed) == (
            _records.ExecutorRosterRecord(
                (dataclasses.replace(entry, drain_left_s=None),)
            )
        )

    def test_a_job_s_defaults_are_not_stored(self) -> None:
        """Each scheduler after this one has to read them."""
        (keyed,) = _job_records.encode_record(
            _records.JobRecord(build.accepted_job())
        )
        document = json.loads(keyed.value)["d"]
        assert document["spec"] == {
            "payload": "payload",
            "steps": [
                {
                    "count": 1,
                    "size": {"cpu_millicores": 1000, "memory_mb": 1000},
                    "estimate_s": 1.0,
                }
            ],
        }

    def test_a_record_with_all_fields_of_an_earlier_build_is_read(self) -> None:
        job = build.accepted_job(build.step_spec(), build.step_spec(after=(0,)))
        value = json.dumps({"v": 2, "d": dataclasses.asdict(job)}).encode()
        record = _job_records.KeyedRecord(f"j.{job.id}", value)
        assert _job_records.decode_record(record) == _records.JobRecord(job)

    def test_a_forgotten_job_drops_both_keys(self) -> None:
        job = _records.JobRecord(build.accepted_job())
        keys = {
            _job_records.encode_record(job)[0].key,
            _job_records.encode_record(
                _records.ProgressRecord(job.job.id, _PROGRESS)
            )[0].key,
        }
        dropped = _job_records.encode_record(
            _records.JobDeletionRecord(job.job.id)
        )
        assert {record.key for record in dropped} == keys
        assert all(record.value == b"" for record in dropped)

    @given(strategies.binary(max_size=200))
    def test_other_bytes_are_an_error_of_the_codec(self, value: bytes) -> None:
        for key in ("j.a", "p.a", "roster", "learned", "x"):
            with pytest.raises(_errors.DecodeError):
                _job_records.decode_record(_job_records.KeyedRecord(key, value))

    @pytest.mark.parametrize(
        "fields",
        [
            '"finished":0,"done":[[1e400,0,0]]',
            '"finished":0,"done":[[NaN,0,0]]',
            '"finished":' + "9" * 400 + ',"done":[]',
            '"finished":' + "9" * 5000 + ',"done":[]',
        ],
        ids=lambda fields: fields[:35],
    )
    def test_a_number_too_large_is_an_error_of_the_codec(
        self, fields: str
    ) -> None:
        value = (
            '{"v":2,"d":{"state":"running","failed_runs":[],"checkpoints":[],'
            f"{fields}}}}}"
        )
        with pytest.raises(_errors.DecodeError):
            _job_records.decode_record(
                _job_records.KeyedRecord("p.a1", value.encode())
            )

    def test_a_damaged_record_is_an_error_or_whole(self) -> None:
        (keyed,) = _job_records.encode_record(
            _records.JobRecord(build.accepted_job())
        )
        rng = random.Random(1)
        for _ in range(500):
            damaged = bytearray(keyed.value)
            damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
            try:
                _job_records.decode_record(
                    _job_records.KeyedRecord(keyed.key, bytes(damaged))
                )
            except _errors.DecodeError:
                continue

    def test_a_later_version_is_an_error(self) -> None:
        record = _job_records.KeyedRecord("roster", b'{"v":3,"d":[]}')
        with pytest.raises(_errors.DecodeError, match="version 3, expected 2"):
            _job_records.decode_record(record)


class TestProvision:
    """A registered provision decodes to what was encoded, or not at all."""

    @pytest.mark.parametrize(
        "provision",
        [
            _provision.Provision(10.0, 0.1 * 3),
            _provision.Provision(None, 0.5),
            _provision.UNKNOWN,
        ],
    )
    def test_a_provision_comes_back_as_it_was(
        self, provision: _provision.Provision
    ) -> None:
        data = _job_records.encode_provision(provision)
        assert _job_records.decode_provision(data) == provision

    def test_fields_of_later_builds_are_ignored(self) -> None:
        data = b'{"link_mbps":10,"memory_mb":[300],"later":{}}'
        provision = _job_records.decode_provision(data)
        assert provision == _provision.Provision(10.0, None)

    @pytest.mark.parametrize(
        "data",
        [
            b"10.1.0.13:7720",
            b"[]",
            b"\xff",
            b'{"link_mbps":10',
            b'{"link_mbps":"wide"}',
            b'{"link_mbps":0}',
            b'{"link_mbps":-1}',
            b'{"cpu_cores":NaN}',
            b'{"cpu_cores":Infinity}',
            b'{"cpu_cores":1e999}',
        ],
    )
    def test_malformed_values_are_rejected(self, data: bytes) -> None:
        with pytest.raises(_errors.DecodeError):
            _job_records.decode_provision(data)


class TestTerms:
    """Builds with and without a field of the term read each other."""

    def test_a_term_of_an_earlier_build_counts_no_given_up_terms(self) -> None:
        term = _job_records.decode_term(
            b'{"epoch":3,"instance":"a","incarnation":1,"address":"a:1",'
            b'"beat":2,"is_resigned":false}'
        )
        assert (term.epoch, term.given_up_terms) == (3, 0)

    def test_a_field_of_a_later_build_is_ignored(self) -> None:
        term = _job_records.decode_term(
            b'{"epoch":3,"instance":"a","incarnation":1,"address":"a:1",'
            b'"new_field":1}'
        )
        assert (term.epoch, term.is_resigned) == (3, False)
