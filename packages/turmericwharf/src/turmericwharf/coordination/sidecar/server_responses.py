"""Classifies the responses of a backend server."""

from turmericwharf.state import Answered, NotRun, Outcome, OutcomeUnknown, Reason, RequestId
from turmericwharf.state.sidecar import DecodedResponse

_MISDIRECTED_REQUEST_STATUS = 421
_MIN_SUCCESS_STATUS = 200
_MAX_SUCCESS_STATUS = 299


def classify_response(request: RequestId, response: DecodedResponse) -> Outcome:
    """Return the outcome of a request whose response arrived completely.

    A response counts only if it names the request: a faulty server can write an earlier response
    once more, and an earlier refusal says nothing about this request.
    """
    if response.request != request:
        return OutcomeUnknown(
            Reason.ANSWER_FOREIGN, f'the response names request {response.request}, not {request}'
        )
    if response.is_not_executed or response.status == _MISDIRECTED_REQUEST_STATUS:
        return NotRun(
            Reason.SERVER_SHED,
            f'the backend server rejected the request with status {response.status}',
        )
    if response.is_encoded:
        return OutcomeUnknown(
            Reason.ANSWER_FOREIGN, 'the response body has an unexpected content encoding'
        )
    is_success = _MIN_SUCCESS_STATUS <= response.status <= _MAX_SUCCESS_STATUS
    if is_success and not response.is_stamped:
        return OutcomeUnknown(
            Reason.STAMP_MISSING, 'the successful response has no stamp of the server'
        )
    return Answered(status=response.status, headers=response.headers, body=response.body)
