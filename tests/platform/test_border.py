"""Tests of the platform adapter: parsing, calls and name isolation."""

import ast
import dataclasses
import json
import pathlib
import re
import time

import pytest

import basiljunction
from basiljunction.coordination.scheduling import _orders
from basiljunction.platform import _clients
from basiljunction.platform import _executor_list
from basiljunction.platform import _executors
from basiljunction.platform import _settings
from basiljunction.platform import _store
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _provision
from basiljunction.state.workload import _records
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _http_calls
import resetting_server

_ROOT = pathlib.Path(basiljunction.__file__).parent

MAX_RECORD_BYTES = 262_144
"""Largest record of the store in `_SETTINGS_TEXT`, in bytes."""

_SETTINGS_TEXT = """\
NodeName=front-a-1
Zone=zone-a
Ip=10.1.0.13
InternalPorts=7720,7735
ListenAddrs.Front=10.1.0.13:8161
ListenAddrs.Ready=10.1.0.13:8167
platform.Address=10.200.1.7:8169
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.RecordBytes=262144
platform.RequestBytes=2097152
Bounds.GraceS=6
Bounds.MaxHoldMs=10000
Bounds.status_s=120
Bounds.GangTimeoutMs=3000
Bounds.StopTimeoutMs=900
Bounds.HarmMs=4000
HeartbeatMs=1100
NotKnownYet=1
"""


class TestWords:
    """No module outside the adapter uses the platform's names."""

    _PLATFORM_NAMES = (
        "FencingToken", "LastSeen", "DeadlineMs", "/run-start", "/run-stop",
        "/log-append", "/log-read", "/log-newest", "EndOffset", "ClockMs",
        "AntiAffinity", "TightlyCoupled", "LongRunning", "EstDurationMs",
        "MayMiss", "TargetMs", "AdmissionCheck", "NodeName", "ListenAddrs",
        "/advise", "ValidityMs", '"Ticket"',
        "keyed.", "Expect-Instance", "Deadline-Remaining", "MaxHoldMs",
        "CpuShare", "LinkMbps",
    )  # fmt: skip

    def test_no_other_module_holds_a_name_of_the_platform(self) -> None:
        for path in _ROOT.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            text = path.read_text(encoding="utf-8")
            found = [name for name in self._PLATFORM_NAMES if name in text]
            assert found == [], path.name

    def test_decisions_do_not_import_the_adapter(self) -> None:
        for layer in ("state", "coordination", "protocol"):
            for path in (_ROOT / layer).rglob("*.py"):
                tree = ast.parse(path.read_text(encoding="utf-8"))
                modules = [
                    node.module
                    for node in ast.walk(tree)
                    if isinstance(node, ast.ImportFrom) and node.module
                ]
                assert "basiljunction.platform" not in modules, path.name


class TestSettings:
    """An invalid setting is reported by its key in one line."""

    def test_the_product_reads_what_it_needs_and_ignores_the_rest(
        self,
    ) -> None:
        settings = _settings.parse_settings(_SETTINGS_TEXT)
        assert settings.peer_listen == "10.1.0.13:7720"
        assert settings.bounds.longest_lease_s == 10.0
        assert not settings.provision.is_known

    @pytest.mark.parametrize(
        ("lines", "expected"),
        [
            ("Limits.LinkMbps=10.0\nLimits.CpuShare=0.75\nLimits.Cores=2\n",
             _provision.Provision(10.0, 1.5)),
            ("Limits.LinkMbps=10\n", _provision.Provision(10.0, None)),
            ("Limits.CpuShare=0.75\nLimits.Cores=2\n",
             _provision.Provision(None, 1.5)),
            ("Limits.CpuShare=0.75\n", _provision.UNKNOWN),
            ("Limits.LinkMbps=0\nLimits.CpuShare=0\nLimits.Cores=0\n",
             _provision.UNKNOWN),
            ("Limits.LinkMbps=\n", _provision.UNKNOWN),
        ],
    )  # fmt: skip
    def test_an_instance_knows_its_link_and_processor_as_far_as_set(
        self, lines: str, expected: _provision.Provision
    ) -> None:
        settings = _settings.parse_settings(_SETTINGS_TEXT + lines)
        assert settings.provision == expected

    @pytest.mark.parametrize(
        ("line", "expected"),
        [("Limits.MaxFds=4100\n", 4100), ("Limits.MaxFds=0\n", None),
         ("Limits.MaxFds=\n", None), ("", None)],
    )  # fmt: skip
    def test_the_limit_on_descriptors_is_read_if_set(
        self, line: str, expected: int | None
    ) -> None:
        settings = _settings.parse_settings(_SETTINGS_TEXT + line)
        assert settings.max_open_files == expected

    def test_a_limit_on_descriptors_is_a_whole_number(self) -> None:
        with pytest.raises(
            _settings.SettingsError,
            match=r"Limits\.MaxFds: expected a whole number",
        ):
            _settings.parse_settings(f"{_SETTINGS_TEXT}Limits.MaxFds=0.5\n")

    @pytest.mark.parametrize("value", ["wide", "-1", "inf", "nan"])
    def test_a_bad_limit_names_its_key(self, value: str) -> None:
        with pytest.raises(_settings.SettingsError, match=r"Limits\.LinkMbps"):
            _settings.parse_settings(
                f"{_SETTINGS_TEXT}Limits.LinkMbps={value}\n"
            )

    @pytest.mark.parametrize(
        ("line", "message"),
        [
            ("NodeName=", "setting NodeName: expected a value"),
            ("HeartbeatMs=soon", "setting HeartbeatMs: expected a number"),
            ("HeartbeatMs=inf",
             "setting HeartbeatMs: expected a finite number of at least 0"),
            ("platform.Address=store",
             "setting platform.Address: expected ip:port"),
        ],
    )  # fmt: skip
    def test_a_bad_value_names_its_key(self, line: str, message: str) -> None:
        key = line.partition("=")[0]
        text = re.sub(f"(?m)^{re.escape(key)}=.*$", line, _SETTINGS_TEXT)
        with pytest.raises(_settings.SettingsError, match=f"^{message}$"):
            _settings.parse_settings(text)


class TestJobs:
    """A job is decoded completely or rejected with the place and reason."""

    def test_every_field_reaches_the_product(self) -> None:
        spec = _clients.parse_job(
            b'{"Spec":"x","RepeatCount":2,"StartAtMs":5000,"IntervalMs":250,'
            b'"Steps":[{"Count":1},{"Count":3,"Cpu":500,"MemMb":256,"Gpu":1,'
            b'"EstDurationMs":900,"After":[0],"Checkpointing":true,'
            b'"Gang":true,"TightlyCoupled":true,"Requirements":"a",'
            b'"Affinity":"r1","AntiAffinity":2,"Speculative":true,'
            b'"LongRunning":true,"Image":"i","TargetMs":50,"Fills":true,'
            b'"MayMiss":1}]}'
        )
        assert spec.due_wall_s(1) == 5.25
        assert spec.steps[1] == _job_spec.StepSpec(
            count=3,
            size=_job_spec.Resources(500, 256, 1),
            estimate_s=0.9,
            after=(0,),
            checkpoints=True,
            gang=True,
            same_rack=True,
            required_label="a",
            data_rack="r1",
            max_per_executor=2,
            speculative=True,
            runs_until_cancelled=True,
            image="i",
            tail_target_ms=50,
            fills=True,
            may_be_away=1,
        )

    @pytest.mark.parametrize(
        ("body", "reason"),
        [
            (b"", "Invalid JSON"),
            (b"[]", "should be an object"),
            (b"[" * 9000, "Invalid JSON"),
            (b'{"Steps":[]}', "Steps: List should have at least 1 item"),
            (b'{"Steps":[{"Count":0}]}', "Steps.0.Count"),
            (b'{"Steps":[{"Count":"1"}]}', "Steps.0.Count"),
            (b'{"Steps":[{"Count":1,"Cpu":-1}]}', "Steps.0.Cpu"),
            (b'{"Steps":[{"Count":1,"After":[0]}]}',
             "step 0: After may name only earlier steps"),
            (b'{"Spec":"' + b"x" * 4001 + b'","Steps":[{"Count":1}]}',
             "Spec may have at most 4000 bytes"),
        ],
    )  # fmt: skip
    def test_a_malformed_body_names_the_place(
        self, body: bytes, reason: str
    ) -> None:
        with pytest.raises(_errors.DecodeError, match=re.escape(reason)):
            _clients.parse_job(body)


class TestPolicy:
    """Approvals of executors by the platform's policy are decoded and sent."""

    def test_a_queue_tells_how_long_its_approvals_hold(self) -> None:
        document = {
            "Version": 1,
            "Services": [],
            "Routes": [
                {
                    "Name": name,
                    "Host": "h",
                    "PathPrefix": f"/{name}/",
                    "Service": "s",
                    **more,
                }
                for name, more in (
                    ("plain", {}),
                    (
                        "approved",
                        {
                            "Advice": {
                                "DecisionMs": 40,
                                "PerWorkerMs": 5,
                                "ValidityMs": 3000,
                            }
                        },
                    ),
                )
            ],
        }
        found = _clients.parse_configuration(json.dumps(document).encode())
        plain, approved = (
            found.find_queue_by_name(name) for name in ("plain", "approved")
        )
        assert plain is not None
        assert plain.approval is None
        assert approved is not None
        assert approved.approval == _configuration.ApprovalPolicy(
            validity_s=3.0, decision_s=0.04, per_executor_s=0.005
        )

    def test_a_question_names_the_step_and_the_executors(self) -> None:
        order = _orders.ApprovalOrder("5c0e7a21d94b36f8", 0, 1, ("a", "b"))
        call = _executors.make_approval_call("10.0.0.9:1", order, timeout_s=1.0)
        assert call.url == "http://10.0.0.9:1/advise"
        assert json.loads(call.body or b"") == {
            "Step": "5c0e7a21d94b36f8.0.1",
            "Workers": ["a", "b"],
        }

    def test_an_answer_tells_the_proofs(self) -> None:
        body = b'{"Good":[["a","c81e-7a21d94b"]],"ValidityMs":3000}'
        reply = _http_call.HttpReply(status=200, body=body)
        assert _executors.parse_approvals(reply) == {"a": "c81e-7a21d94b"}

    @pytest.mark.parametrize("body", [b"{}", b'{"Good":[1]}', b"[]"])
    def test_a_torn_answer_is_an_error(self, body: bytes) -> None:
        reply = _http_call.HttpReply(status=200, body=body)
        with pytest.raises(_errors.DecodeError):
            _executors.parse_approvals(reply)

    def test_a_start_carries_the_proof(self) -> None:
        task = _job_spec.TaskId("5c0e7a21d94b36f8", 0, 1, 2)
        order = _orders.StartOrder("a", task, 1, "", 5000, "", "c81e")
        call = _executors.make_start_call("10.0.0.9:1", 7, order, timeout_s=1.0)
        assert json.loads(call.body or b"")["Ticket"] == "c81e"

    def test_a_refused_proof_is_told_from_other_refusals(self) -> None:
        reply = _http_call.HttpReply(status=409, body=b'{"Reason":"ticket"}')
        result = _executors.parse_start_result(reply)
        assert result is _orders.StartResult.NOT_APPROVED
        assert result.will_never_run


class TestStore:
    """Records are sent in frames; a truncated frame is a decoding error."""

    _RECORD = _job_records.KeyedRecord("key", b"value")

    def test_an_append_and_a_read_agree(self) -> None:
        call = _store.make_append_call(
            "10.0.0.1:1", "keyed.x", 0, (self._RECORD,), timeout_s=1.0
        )
        assert call.body is not None
        head = (8).to_bytes(8, "big") + (0).to_bytes(8, "big")
        page = _store.parse_page(_http_call.HttpReply(200, head + call.body), 7)
        record = dataclasses.replace(self._RECORD, offset=7)
        assert page == _store.RecordPage(8, 8, (record,))

    @pytest.mark.parametrize("cut", [*range(1, 13), *range(14, 25)])
    def test_a_torn_answer_is_an_error(self, cut: int) -> None:
        call = _store.make_append_call(
            "10.0.0.1:1", "keyed.x", 0, (self._RECORD,), timeout_s=1.0
        )
        assert call.body is not None
        whole = bytes(16) + call.body
        with pytest.raises(_errors.DecodeError):
            _store.parse_page(_http_call.HttpReply(200, whole[:-cut]), 0)


class TestNewestRecords:
    """A key that is not text hides no other record of its page."""

    _ITEMS = b'{"Key":"a","Value":"eA=="},{"Key":%s,"Value":"eQ=="}'

    @pytest.mark.parametrize(
        "key",
        [
            b'"\\ud800"',
            b'"\\udcff"',
            b'"\xff"',
            b'"\xed\xa0\x80"',
            b"null",
            b"5",
        ],
    )
    @pytest.mark.parametrize("has_more", [False, True])
    def test_the_other_records_are_read(
        self, key: bytes, has_more: bool
    ) -> None:
        body = (
            b'{"items":['
            + self._ITEMS % key
            + b'],"EndOffset":7,"HasMore":'
            + (b"true}" if has_more else b"false}")
        )
        page = _store.parse_newest_page(_http_call.HttpReply(200, body))
        assert page == _store.NewestRecordPage(
            7, (_job_records.KeyedRecord("a", b"x"),), "a" if has_more else None
        )

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b"[" * 100_000 + b"]" * 100_000,
            b'{"items":[' + b"[" * 100_000 + b"]" * 100_000 + b"]}",
            b'{"items":[],"EndOffset":1e400}',
            b'{"items":[5],"EndOffset":7}',
            b'{"items":[{"Key":"a","Value":"\xc3\xa9"}],"EndOffset":7}',
            b'{"items":[{"Key":"a","Value":"*"}],"EndOffset":7}',
            b'{"items":[{"Key":"a","Value":5}],"EndOffset":7}',
            b'{"items":[{"Key":5,"Value":""}],"EndOffset":7,"HasMore":true}',
            b'{"items":[],"EndOffset":7,"HasMore":true}',
        ],
        ids=lambda body: body[:50].decode(),
    )
    def test_a_torn_page_is_an_error(self, body: bytes) -> None:
        with pytest.raises(_errors.DecodeError):
            _store.parse_newest_page(_http_call.HttpReply(200, body))


def _parse_entry(
    key: str = "i-1", /, **fields: object
) -> _executor.ListedExecutor:
    """Parses the entry of an executor with other values in some fields."""
    entry = {
        "Service": "s",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "State": "ready",
        "Capacity": {"Cpu": 4000, "MemMb": 8000, "Gpu": 1},
        "Labels": ["a", "r1"],
        "born": 7,
        **fields,
    }
    return _executor_list.parse_listed_executor(
        _job_records.KeyedRecord(key, json.dumps(entry).encode())
    )


def _parse_entry_text(fields: dict[str, object], number: str) -> None:
    """Parses an entry with a number, as JSON, for the text `number`."""
    entry = {
        "Service": "s",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "State": "ready",
        "Capacity": {"Cpu": 1, "MemMb": 1},
        **fields,
    }
    text = json.dumps(entry).replace('"number"', number)
    _executor_list.parse_listed_executor(
        _job_records.KeyedRecord("i-1", text.encode())
    )


class TestExecutors:
    """Malformed executor entries are errors; reports and replies decode."""

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff\x00",
            b"{}",
            b'{"Service":1}',
            b'{"Service":"s","Address":"x","Zone":"z","State":"ready",'
            b'"Capacity":{"Cpu":1,"MemMb":1}}',
            b'{"Service":"s","Address":"1.1.1.1:1","Zone":"z","State":"odd",'
            b'"Capacity":{"Cpu":1,"MemMb":1}}',
            b'{"Service":"s","Address":"1.1.1.1:1","Zone":"z",'
            b'"State":"draining","Capacity":{"Cpu":1,"MemMb":1},'
            b'"RemainingMs":"soon"}',
        ],
    )
    def test_an_unreadable_entry_is_an_error(self, value: bytes) -> None:
        with pytest.raises(_errors.DecodeError):
            _executor_list.parse_listed_executor(
                _job_records.KeyedRecord("i-1", value)
            )

    @pytest.mark.parametrize(
        "address",
        [
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:99999",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.1:",
            "10.0.0.1:80\n",
            "10.0.0.1: 80",
            "10.0.0.1:+80",
            "10.0.0.1:\u0664\u0662",
            "10.0.0.1:80/x",
            "10.0.0.256:80",
            "999.0.0.1:80",
            "10.0.1:80",
            "167772161:80",
            "...:80",
            ":80",
            "80",
            "",
        ],
    )
    def test_an_address_that_cannot_be_called_is_an_error(
        self, address: str
    ) -> None:
        with pytest.raises(_errors.DecodeError):
            _parse_entry(Address=address)

    @pytest.mark.parametrize("address", ["10.0.0.1:1", "255.255.255.255:65535"])
    def test_the_first_and_the_last_address_are_kept(
        self, address: str
    ) -> None:
        assert _parse_entry(Address=address).address == address

    @pytest.mark.parametrize(
        "key",
        [
            "",
            " ",
            "i-1 ",
            "i-1\n",
            "i-1\r\nExpect-Instance: i-0",
            "i-\0",
            "i-\x7f",
            "i-\u00e9",
            "i-\udcff",
            "\ufffd",
        ],
    )
    def test_an_id_that_no_header_can_carry_is_an_error(self, key: str) -> None:
        with pytest.raises(_errors.DecodeError):
            _parse_entry(key)

    @pytest.mark.parametrize(
        "number",
        [
            "1e400",
            "1e308",
            "1.5",
            "4e3",
            "NaN",
            "Infinity",
            "-1",
            "true",
            "null",
            '"4"',
            str((1 << 53) + 1),
            "9" * 400,
            "9" * 5000,
        ],
        ids=lambda number: number[:20],
    )
    @pytest.mark.parametrize("field", ["Cpu", "MemMb", "Gpu", "born"])
    def test_a_number_that_counts_nothing_is_an_error(
        self, field: str, number: str
    ) -> None:
        fields: dict[str, object] = {"born": "number"}
        if field != "born":
            fields = {"Capacity": {"Cpu": 1, "MemMb": 1, field: "number"}}
        with pytest.raises(_errors.DecodeError):
            _parse_entry_text(fields, number)

    @pytest.mark.parametrize(
        "number",
        ["1e400", "1e308", "-1e308", "NaN", "Infinity", "true", "9" * 400],
        ids=lambda number: number[:20],
    )
    def test_a_time_left_out_of_range_is_an_error(self, number: str) -> None:
        fields: dict[str, object] = {
            "State": "draining",
            "RemainingMs": "number",
        }
        with pytest.raises(_errors.DecodeError):
            _parse_entry_text(fields, number)

    @pytest.mark.parametrize(
        "fields",
        [
            {"Labels": ["x" * 1000] * 250},
            {"Labels": ["x"] * 17},
            {"Labels": ["x" * 129]},
            {"Service": "x" * 129},
            {"Zone": "x" * 129},
        ],
        ids=lambda fields: str(fields)[:30],
    )
    def test_names_that_would_fill_the_stored_list_are_an_error(
        self, fields: dict[str, object]
    ) -> None:
        with pytest.raises(_errors.DecodeError):
            _parse_entry(**fields)

    def test_the_largest_entry_leaves_room_in_the_stored_list(self) -> None:
        name = "\0" * 128
        entry = _parse_entry(
            "i" * 255, Service=name, Zone=name, Labels=[name] * 16
        )
        (record,) = _job_records.encode_record(
            _records.ExecutorRosterRecord((entry,))
        )
        assert len(record.value) < MAX_RECORD_BYTES / 16

    @pytest.mark.parametrize("key", ["i-1", "0", "A_b.c:d/e ~!", "i" * 255])
    def test_any_other_id_is_kept(self, key: str) -> None:
        assert _parse_entry(key).id == key

    @pytest.mark.parametrize(
        ("fields", "left_s"),
        [
            (b'"State":"draining","RemainingMs":1500', 1.5),
            (b'"State":"draining","RemainingMs":12.5', 0.0125),
            (b'"State":"draining","RemainingMs":-20', 0.0),
            (b'"State":"draining","RemainingMs":null', None),
            (b'"State":"draining"', None),
            (b'"State":"ready","RemainingMs":1500', None),
        ],
    )
    def test_the_time_left_of_a_drain_is_decoded(
        self, fields: bytes, left_s: float | None
    ) -> None:
        entry = _executor_list.parse_listed_executor(
            _job_records.KeyedRecord(
                "i-1",
                b'{"Service":"s","Address":"1.1.1.1:1","Zone":"z",'
                b'"Capacity":{"Cpu":1,"MemMb":1},' + fields + b"}",
            )
        )
        assert entry.drain_left_s == left_s

    def test_lists_of_runs_are_decoded(self) -> None:
        body = (
            b'{"ClockMs":5,"born":9,"Running":[["a1.0.1.17",2,"c",41,12.5]],'
            b'"Ended":[[58,"a1.0.1.9",1,"done",""]]}'
        )
        report = _executors.parse_renewal_reply(_http_call.HttpReply(200, body))
        assert report.active_runs[0].task == _job_spec.TaskId("a1", 0, 1, 17)
        assert report.unacknowledged_ends[0].kind is _executor.RunEndKind.DONE

    def test_an_encoded_list_of_runs_decodes_to_the_same(self) -> None:
        task = _job_spec.TaskId("a1", 0, 1, 17)
        report = _executor.LeaseRenewalReply(
            clock_ms=5,
            started_wall_ms=9,
            active_runs=(
                _executor.ActiveRunReport(task, 2, "checkpoint", 41.5, 12.5),
            ),
            unacknowledged_ends=(
                _executor.EndedRunReport(
                    58, task, 1, _executor.RunEndKind.DONE, ""
                ),
            ),
        )
        reply = _http_call.HttpReply(
            200, _executors.encode_renewal_reply(report)
        )
        assert _executors.parse_renewal_reply(reply) == report

    @pytest.mark.parametrize(
        "fields",
        [
            b'"ClockMs":1e400',
            b'"ClockMs":' + b"9" * 400,
            b'"ClockMs":-1',
            b'"ClockMs":true',
            b'"ClockMs":5,"born":1e400',
            b'"ClockMs":5,"born":' + b"9" * 400,
            b'"ClockMs":5,"Running":5',
            b'"ClockMs":5,"Running":[5]',
            b'"ClockMs":5,"Running":[{}]',
            b'"ClockMs":5,"Running":[[5,1,"",0]]',
            b'"ClockMs":5,"Running":[["a1.0.1.2",1e400,"",0]]',
            b'"ClockMs":5,"Running":[["a1.0.1.2",1,null,0]]',
            b'"ClockMs":5,"Running":[["a1.0.1.2",1,"",NaN]]',
            b'"ClockMs":5,"Running":[["a1.0.1.2",1,"",Infinity]]',
            b'"ClockMs":5,"Running":[["a1.0.1.2",1,"",1e400]]',
            b'"ClockMs":5,"Running":[["a1.0.1.2",1,"",' + b"9" * 400 + b"]]",
            b'"ClockMs":5,"Running":[["a1.0.1.2",1,"",0,1e400]]',
            b'"ClockMs":5,"Running":[["a1.0.-1.2",1,"",0]]',
            b'"ClockMs":5,"Running":[["a1.0.1.' + b"9" * 400 + b'",1,"",0]]',
            b'"ClockMs":5,"Running":[["a1.0.1",1,"",0]]',
            b'"ClockMs":5,"Running":' + b"[" * 100_000 + b"]" * 100_000,
            b'"ClockMs":5,"Ended":[[1e400,"a1.0.1.2",1,"done",""]]',
            b'"ClockMs":5,"Ended":[[1,5,1,"done",""]]',
            b'"ClockMs":5,"Ended":[[1,"a1.0.1.2",1,["done"],""]]',
            b'"ClockMs":5,"Ended":[[1,"a1.0.1.2",1,"odd",""]]',
        ],
        ids=lambda fields: fields[:44].decode(),
    )
    def test_an_odd_list_of_runs_is_an_error(self, fields: bytes) -> None:
        body = b'{"Running":[],"Ended":[],' + fields + b"}"
        with pytest.raises(_errors.DecodeError) as caught:
            _executors.parse_renewal_reply(_http_call.HttpReply(200, body))
        assert len(str(caught.value)) < 1000

    def test_columns_that_are_not_known_yet_are_skipped(self) -> None:
        body = (
            b'{"ClockMs":5,"Running":[["a1.0.1.17",2,"c",41,12.5,"x"]],'
            b'"Ended":[[58,"a1.0.1.9",1,"done","",{}]],"Other":1}'
        )
        report = _executors.parse_renewal_reply(_http_call.HttpReply(200, body))
        assert report.active_runs[0].reported_value == 12.5
        assert report.unacknowledged_ends[0].list_position == 58

    @pytest.mark.parametrize(
        ("status", "body", "result"),
        [
            (200, b"{}", _orders.StartResult.STARTED),
            (409, b'{"Reason":"room"}', _orders.StartResult.NO_ROOM),
            (409, b'{"Reason":"new"}', _orders.StartResult.UNKNOWN),
            (421, b"", _orders.StartResult.OTHER_LIFE),
            (503, b"", _orders.StartResult.UNHEALTHY),
            (0, b"", _orders.StartResult.UNKNOWN),
        ],
    )
    def test_an_answer_without_a_clear_meaning_is_unknown(
        self, status: int, body: bytes, result: _orders.StartResult
    ) -> None:
        reply = _http_call.HttpReply(status, body)
        assert _executors.parse_start_result(reply) is result


class TestClocks:
    """Each answer of an executor tells its clock, or nothing of it."""

    @pytest.mark.parametrize(
        ("status", "body", "clock_ms"),
        [
            (200, b'{"ClockMs":482113}', 482113),
            (409, b'{"ClockMs":0,"Reason":"late"}', 0),
            (421, b'{"ClockMs":100}', None),
            (200, b'{"ClockMs":-1}', None),
            (200, b'{"ClockMs":true}', None),
            (200, b'{"ClockMs":1e400}', None),
            (200, b'{"ClockMs":' + b"9" * 400 + b"}", None),
            (200, b'{"ClockMs":"7"}', None),
            (200, b"{}", None),
            (503, b"busy", None),
            (0, b'{"ClockMs":7}', None),
        ],
    )
    def test_a_reading_that_cannot_be_is_none(
        self, status: int, body: bytes, clock_ms: int | None
    ) -> None:
        reply = _http_call.HttpReply(status, body)
        assert _executors.parse_clock_ms(reply) == clock_ms


class TestRepeatableCalls:
    """No call that changes an executor is sent to it twice by the client."""

    def test_a_renewal_may_not_reach_the_next_incarnation_too(self) -> None:
        server = resetting_server.ResettingServer(later_status=200)
        calls = _http_calls.HttpClient(
            _metrics.Metrics("front-1"), max_connections=4
        )
        replies: list[_http_call.HttpReply] = []
        address = server.url.removeprefix("http://").rstrip("/")
        order = _orders.RenewalOrder("e1", 105_000, 57, 1000)
        for expected in (1, 2):
            calls.send(
                _executors.make_renewal_call(address, 1, order, timeout_s=2.0),
                replies.append,
            )
            deadline_s = time.monotonic() + 4.0
            while len(replies) < expected and time.monotonic() < deadline_s:
                calls.poll(0.05)
        calls.close()
        server.close()
        assert [each.status for each in replies] == [200, 0]
        assert len(server.received_bodies) == 2
