"""Route lookup: the longest matching prefix of whole path segments."""

import random

from turmericwharf.coordination import RouteIndex
from turmericwharf.state import Route


def make_route(name, path_prefix, *methods):
    return Route(name, methods or ('GET',), path_prefix, 'service', 'class')


def test_prefixes_match_whole_segments():
    """Guards against `/book` matching `/bookings`, and against paths with dot segments."""
    index = RouteIndex(
        [
            make_route('root', '/'),
            make_route('book', '/book'),
            make_route('deep', '/book/a/b/'),
        ]
    )
    route_by_target = {
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
    assert route_by_target == {
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
    """Guards against an index that disagrees with the longest-prefix rule."""
    generator = random.Random(7)
    paths = sorted(
        {'/' + '/'.join(generator.choices('abc', k=generator.randint(1, 5))) for _ in range(90)}
    )
    routes = [make_route(path, path) for path in paths]
    index = RouteIndex(routes)
    for _ in range(500):
        path = '/' + '/'.join(generator.choices('abc', k=generator.randint(1, 7)))
        matching = [route for route in routes if f'{path}/'.startswith(f'{route.path_prefix}/')]
        assert index.find('GET', path) == max(
            matching, key=lambda candidate: len(candidate.path_prefix), default=None
        )
