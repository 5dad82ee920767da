"""Tests of the logging of the node binary."""

from loguru import logger

from turmericwharf_node.main import configure_logging


def test_tracebacks_contain_no_values(capsys):
    """Guards against keys in logs: a traceback that prints values would show request headers."""
    configure_logging('INFO')
    key = 'tw_the-key-of-a-caller'
    try:
        int(key[:0])
    except ValueError:
        logger.exception('request_failed')
    finally:
        logger.remove()
    logged = capsys.readouterr().err
    assert 'request_failed' in logged
    assert key not in logged
