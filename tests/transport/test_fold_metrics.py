"""Tests of the metrics of records that this instance appended."""

from basiljunction.state import _records
from basiljunction.transport import _fold_metrics
from basiljunction.transport import _metrics
import builders

_CLAIM = _records.TaskClaimed("kowhai.j/day", 1, "worker-1", 1)


class TestFoldMetrics:
    """Own records count by customer and class, rejected ones by reason."""

    def test_claim_and_completion(self) -> None:
        log = builders.LogBuilder()
        log.append(builders.contract_published())
        log.append(builders.instance_joined("dunedin-1"), author="dunedin-1")
        log.append(builders.machine_registered("worker-1"), author="dunedin-1")
        log.append(
            _records.MachineAssigned("worker-1", "dunedin-1", 1, 0),
            author="dunedin-1",
        )
        log.append(_records.JobSubmitted(builders.job("kowhai.j")))
        own_entries = tuple(
            log.append(record, author="dunedin-1")
            for record in (
                _CLAIM,
                _CLAIM,
                _records.TaskCompleted("kowhai.j/day", 1, 42.0),
            )
        )
        metrics = _metrics.Metrics()
        _fold_metrics.OwnVerdictMetrics(metrics).record_verdicts(
            log.state, own_entries, 1001.5
        )
        lines = metrics.render_prometheus_text().decode().splitlines()
        labels = 'class_name="coding",customer="kowhai"'
        prefix = "basiljunction_"
        assert (
            f'{prefix}task_events_total{{{labels},event="completed"}} 1.0'
            in lines
        )
        assert f"{prefix}task_run_time_seconds_sum{{{labels}}} 42.0" in lines
        assert (
            f'{prefix}records_rejected_total{{reason="stale-attempt",'
            'record="TaskClaimed"} 1.0'
        ) in lines
        assert f"{prefix}log_round_trip_seconds_sum 1.5" in lines
