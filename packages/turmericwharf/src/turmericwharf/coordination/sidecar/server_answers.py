"""Classifies the answers of a backend server."""

from turmericwharf.state import Answered, NotRun, Outcome, OutcomeUnknown, Reason, RequestId
from turmericwharf.state.sidecar import ServerAnswer

_MISDIRECTED_REQUEST = 421
_FIRST_SUCCESS = 200
_LAST_SUCCESS = 299


def classify_answer(request: RequestId, answer: ServerAnswer) -> Outcome:
    """Return the outcome of a request whose answer arrived completely."""
    if answer.request is not None and answer.request != request:
        return OutcomeUnknown(
            Reason.ANSWER_FOREIGN, f'the answer belongs to request {answer.request}'
        )
    if answer.is_not_executed or answer.status == _MISDIRECTED_REQUEST:
        return NotRun(
            Reason.SERVER_SHED,
            f'the backend server rejected the request with status {answer.status}',
        )
    if answer.is_encoded:
        return OutcomeUnknown(
            Reason.ANSWER_FOREIGN, 'the answer body has an unexpected content encoding'
        )
    is_success = _FIRST_SUCCESS <= answer.status <= _LAST_SUCCESS
    if is_success and not answer.is_stamped:
        return OutcomeUnknown(Reason.STAMP_MISSING, 'the answer is not signed by the server')
    return Answered(status=answer.status, headers=answer.headers, body=answer.body)
