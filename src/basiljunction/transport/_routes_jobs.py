"""Route handlers that submit, list, show and cancel batch jobs."""

import dataclasses
import http

import werkzeug

from basiljunction.protocol import _api_models
from basiljunction.protocol import _api_views
from basiljunction.protocol import _job_document
from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _limits
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.transport import _routes_context

DEFAULT_LIST_LIMIT = 100
"""Jobs that a list holds if the query sets no limit."""

MAX_LIST_LIMIT = 1000
"""Largest limit that a query may set for a list of jobs."""

_Reason = _outcomes.Reason


def submit_job(context: _routes_context.RequestContext) -> werkzeug.Response:
    """Submits a batch job; answers 201, or 200 if it was submitted before.

    The job ID is derived from customer and name, so that a repeat runs nothing
    twice.
    """
    customer = context.resolve_customer()
    document = context.parse_document(_job_document.JobDocument)
    job = _job_document.to_job(
        document,
        customer=customer,
        submitted_wall_s=context.services.clock.now().wall_s,
    )
    _check_admissible(context, job)
    if _is_already_submitted(context, job):
        return _accepted_response(context, job, repeated=True)
    verdict = context.append_record(
        _records.JobSubmitted(job),
        append_step=_outcomes.Step.SUBMIT_APPEND,
        read_back_step=_outcomes.Step.SUBMIT_READ_BACK,
    )
    if verdict.is_accepted:
        return _accepted_response(context, job, repeated=False)
    if verdict.rejection_reason is _Reason.DUPLICATE and _is_already_submitted(
        context, job
    ):
        return _accepted_response(context, job, repeated=True)
    _count_submission(context, job, str(verdict.rejection_reason))
    raise context.not_run_error(
        verdict.rejection_reason or _Reason.REFUSED_BY_PEER,
        f"job {job.job_id} was rejected when its record was read back",
        step=_outcomes.Step.SUBMIT_READ_BACK,
        retry_after_s=None,
    )


def _accepted_response(
    context: _routes_context.RequestContext, job: _job.Job, *, repeated: bool
) -> werkzeug.Response:
    """Returns the response to an accepted job and counts the submission."""
    _count_submission(context, job, "repeated" if repeated else "accepted")
    answer = _api_models.SubmitAnswer(job_id=job.job_id, repeated=repeated)
    status = http.HTTPStatus.OK if repeated else http.HTTPStatus.CREATED
    return _routes_context.json_response(answer, status=status)


def _check_admissible(
    context: _routes_context.RequestContext, job: _job.Job
) -> None:
    """Raises an error for a job that its contract can never allow to run.

    Raises:
        ApiError: There is no contract or no such batch class, or the job
            exceeds the limits.
    """
    contract = context.view.contract_by_customer.get(job.customer)
    if contract is None:
        raise _admission_error(
            context,
            _Reason.NO_CONTRACT,
            "the customer has no contract in force",
        )
    work_class = contract.class_by_name.get(job.class_name)
    if work_class is None or work_class.kind is not _contract.WorkKind.BATCH:
        raise _admission_error(
            context,
            _Reason.UNKNOWN_CLASS,
            f"class_name: {job.class_name} is not a batch class of the"
            " contract",
        )
    violations = _limits.find_quota_violations(contract, job)
    if violations:
        _count_submission(context, job, str(_Reason.NEVER_FITS))
        detail = "; ".join(str(violation) for violation in violations[:8])
        raise _admission_error(context, _Reason.NEVER_FITS, detail)


def _admission_error(
    context: _routes_context.RequestContext, reason: _Reason, detail: str
) -> _routes_context.ApiError:
    """Returns the error for a job that was rejected before its append."""
    return context.not_run_error(
        reason, detail, step=_outcomes.Step.ADMIT, retry_after_s=None
    )


def _is_already_submitted(
    context: _routes_context.RequestContext, job: _job.Job
) -> bool:
    """Returns whether the same job has been accepted before.

    Raises:
        ApiError: A different job has its name.
    """
    known = context.query_state(
        lambda state, _now: state.job_by_id.get(job.job_id)
    )
    if known is None:
        return False
    same = dataclasses.replace(job, submitted_wall_s=known.job.submitted_wall_s)
    if same != known.job:
        raise context.not_run_error(
            _Reason.DUPLICATE,
            f"name: a different job {job.job_id} exists",
            step=_outcomes.Step.ADMIT,
            retry_after_s=None,
        )
    return True


def _count_submission(
    context: _routes_context.RequestContext, job: _job.Job, verdict: str
) -> None:
    """Counts a submission in the metrics, by verdict."""
    context.services.metrics.count(
        "jobs_submitted",
        customer=job.customer,
        class_name=job.class_name,
        verdict=verdict,
    )


def list_jobs(context: _routes_context.RequestContext) -> werkzeug.Response:
    """Answers with the newest jobs of a customer.

    Query parameters: ``limit`` (1 to 1000) and ``state`` (``open`` or ``all``).
    """
    customer = context.resolve_customer()
    arguments = context.request.args
    limit = arguments.get("limit", DEFAULT_LIST_LIMIT, type=int)
    if not 1 <= limit <= MAX_LIST_LIMIT:
        raise context.bad_request_error(f"limit: 1 to {MAX_LIST_LIMIT}")
    only_open = arguments.get("state", "all") == "open"

    def read_jobs(
        state: _system.SystemState, _now: _time.Now
    ) -> _api_models.JobListAnswer:
        return _api_views.job_list_answer(
            state, customer=customer, only_open=only_open, limit=limit
        )

    return _routes_context.json_response(context.query_state(read_jobs))


def show_job(
    context: _routes_context.RequestContext, job_id: str
) -> werkzeug.Response:
    """Answers with a job and its tasks, or 404."""
    return _routes_context.json_response(_find_job(context, job_id))


def _find_job(
    context: _routes_context.RequestContext, job_id: str
) -> _api_models.JobAnswer:
    """Returns a job and its tasks.

    Raises:
        ApiError: It is unknown or another customer's.
    """

    def read_job(
        state: _system.SystemState, _now: _time.Now
    ) -> _api_models.JobAnswer | None:
        entry = state.job_by_id.get(job_id)
        return None if entry is None else _api_views.job_answer(state, entry)

    answer = context.query_state(read_job)
    if answer is None or not context.require_principal().may_access_customer(
        answer.customer
    ):
        raise context.not_found_error(f"job {job_id}")
    return answer


def cancel_job(
    context: _routes_context.RequestContext, job_id: str
) -> werkzeug.Response:
    """Cancels a job and answers with it; has no effect on an ended job."""
    job = _find_job(context, job_id)
    if not job.cancelled and job.open_tasks:
        verdict = context.append_record(
            _records.JobCancelled(job_id=job_id, customer=job.customer),
            append_step=_outcomes.Step.CANCEL,
            read_back_step=_outcomes.Step.CANCEL,
        )
        known = (None, _Reason.ALREADY_ENDED)
        if verdict.rejection_reason not in known:
            raise context.not_run_error(
                verdict.rejection_reason or _Reason.REFUSED_BY_PEER,
                f"the cancellation of job {job_id} was rejected",
                step=_outcomes.Step.CANCEL,
                retry_after_s=None,
            )
    return _routes_context.json_response(_find_job(context, job_id))
