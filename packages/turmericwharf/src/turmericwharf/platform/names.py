"""Names that the platform defines: HTTP headers and environment variables."""

REQUEST_ID = 'Turmericwharf-Attempt-Id'
DEADLINE_MILLISECONDS = 'Turmericwharf-Deadline-Ms'
RESPONSE_STAMP = 'Turmericwharf-Response-Stamp'
ORGANISATION = 'Turmericwharf-Tenant'
EXPECTED_SERVER = 'Turmericwharf-Expected-Instance'
NOT_EXECUTED = 'Turmericwharf-Not-Executed'
CALLER_SERVICE = 'Turmericwharf-Caller-Service'
SERVER_ID = 'Turmericwharf-Instance-Id'
API_KEY = 'Api-Key'
COLD_MILLISECONDS = 'Turmericwharf-Cold-Ms'
RETRY_AFTER = 'Retry-After'
STORE_ERA = 'Store-Era'

SETTINGS_VARIABLE = 'TURMERICWHARF_NODE_FILE'

# Client headers that are dropped: the node sets its own values for them, except for the API key,
# which is not forwarded.
NOT_FORWARDED_HEADERS = frozenset(
    name.lower()
    for name in (DEADLINE_MILLISECONDS, ORGANISATION, EXPECTED_SERVER, CALLER_SERVICE, API_KEY)
)
