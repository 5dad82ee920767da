"""Names that the platform uses on the wire."""

REQUEST_ID = 'Turmericwharf-Attempt-Id'
DEADLINE_MILLISECONDS = 'Turmericwharf-Deadline-Ms'
STAMP = 'Turmericwharf-Response-Stamp'
ORGANISATION = 'Turmericwharf-Tenant'
EXPECTED_SERVER = 'Turmericwharf-Expected-Instance'
NOT_EXECUTED = 'Turmericwharf-Not-Executed'
CALLER_SERVICE = 'Turmericwharf-Caller-Service'
SERVER_ID = 'Turmericwharf-Instance-Id'
KEY = 'Api-Key'
RETRY_AFTER = 'Retry-After'

SETTINGS_VARIABLE = 'TURMERICWHARF_NODE_FILE'

# Headers that the node sets itself, whatever the client sent.
OWN_HEADERS = frozenset(
    name.lower()
    for name in (DEADLINE_MILLISECONDS, ORGANISATION, EXPECTED_SERVER, CALLER_SERVICE, KEY)
)
