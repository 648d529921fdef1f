"""Whether the store takes the records of a job."""

from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records


def fits_record(
    accepted: _progress.AcceptedJob, encoded_bytes: int, max_bytes: int
) -> bool:
    """Returns whether the store takes the record of a job.

    It would refuse a larger one each time, and all records behind it.

    Args:
        accepted: The job.
        encoded_bytes: Size of the job as another instance sends it, in bytes;
            the record leaves out what has its default.
        max_bytes: Size of the largest record that the store takes, in bytes.
    """
    if encoded_bytes < max_bytes // 2:
        return True
    return all(
        _store.record_bytes(each) <= max_bytes
        for each in _job_records.encode_record(_records.JobRecord(accepted))
    )
