"""Callers' headers: the key is extracted and stripped, and rejected anywhere else."""

import json
from urllib.parse import quote

import pytest

from turmericwharf.protocol import digest_key, read_caller_request

KEY = 'tw_0123456789abcdef01234567_AbCdEfGhIjKlMnOpQrStUvWxYz0123456789_-AbCdE'
OTHER_KEY = KEY.replace('0123456789a', 'a9876543210')
BEARER = ('Authorization', f'Bearer {KEY}')


def read(*headers, target='/catalogue', body=b''):
    return read_caller_request('GET', target, headers, body)


@pytest.mark.parametrize(
    'headers',
    [
        [BEARER],
        [('X-Api-Key', KEY)],
        [('AUTHORIZATION', f'bEARER  {KEY} ')],
        [BEARER, ('x-api-key', KEY)],
        [('Authorization', 'Basic abc'), ('X-Api-Key', KEY)],
    ],
)
def test_the_key_is_extracted_and_stripped(headers):
    """Guards against a key that is forwarded to a backend server."""
    request = read(*headers, ('Accept', 'text/html'))
    assert request.key_digest == digest_key(KEY)
    assert request.headers == (('Accept', 'text/html'),)
    assert not request.key_misplaced


@pytest.mark.parametrize(
    'headers',
    [
        [BEARER, ('X-Api-Key', OTHER_KEY)],
        [BEARER, ('Authorization', f'Bearer {OTHER_KEY}')],
        [('X-Api-Key', KEY), ('X-Api-Key', OTHER_KEY)],
    ],
)
def test_different_keys_are_rejected(headers):
    """Guards against a request that runs for an organisation other than the intended one."""
    with pytest.raises(ValueError, match='different keys') as caught:
        read(*headers)
    assert KEY not in str(caught.value)


DOUBLE = quote(quote(KEY, safe='').replace('t', '%74'), safe='')
MISPLACED = {
    'target': {'target': f'/a?key={KEY}'},
    'encoded target': {'target': f'/a/%74w_{KEY[3:]}'},
    'doubly encoded target': {'target': f'/a?key={DOUBLE}'},
    'other case': {'target': f'/{KEY.upper()}'},
    'other key': {'target': f'/a?key={OTHER_KEY}'},
    'header': {'header': ('Cookie', f'key={KEY}')},
    'header name': {'header': (KEY, 'x')},
    'run header': {'header': ('Turmericwharf-Run', KEY)},
    'idempotency key': {'header': ('Idempotency-Key', KEY)},
    'body': {'body': f'{{"key": "{KEY}"}}'.encode()},
    'form body': {'body': f'key=%74w{KEY[2:]}'.encode()},
    'escaped body': {'body': json.dumps({'key': KEY}).replace('tw_', '\\u0074w_').encode()},
}


@pytest.mark.parametrize('place', MISPLACED)
@pytest.mark.parametrize('sent', [True, False])
def test_a_misplaced_key_is_detected(place, sent):
    """Guards against a key that reaches a backend server or its access log."""
    case = dict(MISPLACED[place])
    headers = [*([BEARER] if sent else []), *([case.pop('header')] if 'header' in case else [])]
    request = read(*headers, **case)
    assert request.key_misplaced
    assert request.idempotency_key is None


def test_a_misplaced_key_of_another_format_is_detected():
    """Guards against a check that detects only keys of the issued format."""
    headers = (('X-Api-Key', 'secret-of-old'),)
    assert read(*headers, target='/a?k=secret%2Dof-old').key_misplaced
    assert not read(*headers, target='/a?k=secret').key_misplaced
