"""Classifies the answers of a backend server."""

from turmericwharf.state import Answered, NotRun, Outcome, OutcomeUnknown, Reason, RequestId
from turmericwharf.state.sidecar import ServerAnswer

_MISDIRECTED_REQUEST_STATUS = 421
_MIN_SUCCESS_STATUS = 200
_MAX_SUCCESS_STATUS = 299


def classify_answer(request: RequestId, answer: ServerAnswer) -> Outcome:
    """Return the outcome of a request whose answer arrived completely."""
    if answer.request is not None and answer.request != request:
        return OutcomeUnknown(
            Reason.ANSWER_FOREIGN, f'the answer belongs to request {answer.request}'
        )
    if answer.is_not_executed or answer.status == _MISDIRECTED_REQUEST_STATUS:
        return NotRun(
            Reason.SERVER_SHED,
            f'the backend server rejected the request with status {answer.status}',
        )
    if answer.is_encoded:
        return OutcomeUnknown(
            Reason.ANSWER_FOREIGN, 'the answer body has an unexpected content encoding'
        )
    is_success = _MIN_SUCCESS_STATUS <= answer.status <= _MAX_SUCCESS_STATUS
    if is_success and not answer.is_stamped:
        return OutcomeUnknown(Reason.STAMP_MISSING, 'the successful answer has no response stamp')
    return Answered(status=answer.status, headers=answer.headers, body=answer.body)
