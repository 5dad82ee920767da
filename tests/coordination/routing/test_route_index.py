"""The route of a request: longest prefix, whole segments."""

import random

from turmericwharf.coordination import RouteIndex
from turmericwharf.state import Route


def route(name, path_prefix, *methods):
    return Route(name, methods or ('GET',), path_prefix, 'service', 'class')


def test_prefixes_match_whole_segments():
    """Guards against `/book` that takes requests for `/bookings`, and against dot segments."""
    index = RouteIndex([route('root', '/'), route('book', '/book'), route('deep', '/book/a/b/')])
    found = {
        target: getattr(index.find('GET', target), 'route', None)
        for target in (
            '/',
            '/bookings',
            '/book?x=/a',
            '/book/a',
            '/book/a/b/c',
            '/book/%2E./x',
            '/book%2F../x',
        )
    }
    assert found == {
        '/': 'root',
        '/bookings': 'root',
        '/book?x=/a': 'book',
        '/book/a': 'book',
        '/book/a/b/c': 'deep',
        '/book/%2E./x': None,
        '/book%2F../x': None,
    }
    assert index.find('POST', '/book') is None


def test_the_index_agrees_with_a_linear_scan():
    """Guards against an index that finds another route than the rule says."""
    chosen = random.Random(7)
    paths = sorted(
        {'/' + '/'.join(chosen.choices('abc', k=chosen.randint(1, 5))) for _ in range(90)}
    )
    routes = [route(path, path) for path in paths]
    index = RouteIndex(routes)
    for _ in range(500):
        path = '/' + '/'.join(chosen.choices('abc', k=chosen.randint(1, 7)))
        matching = [one for one in routes if f'{path}/'.startswith(f'{one.path_prefix}/')]
        assert index.find('GET', path) == max(
            matching, key=lambda one: len(one.path_prefix), default=None
        )
