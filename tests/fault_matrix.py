"""Writes docs/fault-matrix.md from the marks of the tests.

A test that injects a fault at a step is marked with `@pytest.mark.fault_cell(step, fault)`.
`python -m tests.fault_matrix` writes the page. With `--check` it only compares, and exits with
status 1 if the page is out of date.
"""

import collections
import sys
from pathlib import Path

import pytest

PAGE = Path('docs/fault-matrix.md')
FAULTS = (
    'kill',
    'pause',
    'cut out',
    'cut back',
    'slow link',
    'log away',
    'log slow',
    'log answer lost',
    'racing operators',
    'key withdrawn',
    'server slow',
    'server half answers',
    'server flaps',
)
STEPS = (
    'request: admission',
    'request: claim',
    'request: send',
    'request: queue',
    'request: run',
    'request: answer',
    'configuration: append',
    'configuration: read back',
    'configuration: in force',
    'configuration: snapshot',
    'membership: join',
    'membership: liveness',
    'membership: leave',
    'membership: removal',
    'rate loan: ask',
    'rate loan: in use',
    'rate loan: slice',
)
_NO_SERVER = 'no backend server takes part in this step'
_NO_KEY = 'no organisation key takes part in this step'
_NO_LOG = 'the step neither reads nor appends to the log'
_NO_OPERATOR = 'the step does not depend on the configuration'
_SERVER_FAULTS = ('server slow', 'server half answers', 'server flaps')
_LOG_FAULTS = ('log away', 'log slow', 'log answer lost')


def cannot_occur() -> dict[tuple[str, str], str]:
    """Return the reason why a fault cannot occur at a step, by (step, fault)."""
    reasons = {}
    for step in STEPS:
        subject = step.split(':')[0]
        if subject != 'request':
            reasons |= {(step, fault): _NO_SERVER for fault in _SERVER_FAULTS}
            reasons[step, 'key withdrawn'] = _NO_KEY
        if subject in {'membership', 'rate loan'}:
            reasons[step, 'racing operators'] = _NO_OPERATOR
        if subject == 'rate loan' or step == 'membership: liveness':
            reasons |= {(step, fault): _NO_LOG for fault in _LOG_FAULTS}
    # Withdrawing a key is itself a change of the configuration.
    for step in ('configuration: append', 'configuration: read back', 'configuration: in force'):
        reasons.pop((step, 'key withdrawn'), None)
    return reasons


class _CellCollector:
    def __init__(self) -> None:
        self.tests_by_cell: dict[tuple[str, str], set[str]] = collections.defaultdict(set)

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            for mark in item.iter_markers('fault_cell'):
                name = f'{item.path.stem}::{item.originalname}'  # type: ignore[attr-defined]
                self.tests_by_cell[_validate_cell(mark.args)].add(name)


def _validate_cell(cell: tuple[str, str]) -> tuple[str, str]:
    step, fault = cell
    if step not in STEPS or fault not in FAULTS:
        raise ValueError(
            f'invalid fault_cell {cell}: expected a step of {STEPS} and a fault of {FAULTS}'
        )
    return cell


def render(tests_by_cell: dict[tuple[str, str], set[str]]) -> str:
    """Return the page as Markdown."""
    names = sorted({name for tests in tests_by_cell.values() for name in tests})
    numbers = {name: str(number) for number, name in enumerate(names, 1)}
    reasons = cannot_occur()
    letters = 'abcdefghijklmnop'
    reason_letters = dict(zip(sorted(set(reasons.values())), letters, strict=False))
    lines = [
        '# Fault matrix',
        '',
        'Made by `python -m tests.fault_matrix` from the marks of the tests; CI checks that it is',
        'current. A number names the test that brings the fault about at the step, a letter says',
        'why the fault cannot occur there, and **not proved** means that no test does.',
        '',
        '| step | ' + ' | '.join(FAULTS) + ' |',
        '| --- |' + ' --- |' * len(FAULTS),
    ]
    unproved_cells = 0
    for step in STEPS:
        cells = []
        for fault in FAULTS:
            tests = tests_by_cell.get((step, fault))
            if tests:
                cells.append(', '.join(sorted((numbers[name] for name in tests), key=int)))
            elif (step, fault) in reasons:
                cells.append(reason_letters[reasons[step, fault]])
            else:
                cells.append('**not proved**')
                unproved_cells += 1
        lines.append(f'| {step} | ' + ' | '.join(cells) + ' |')
    lines += [
        '',
        f'Cells not proved: {unproved_cells} of {len(STEPS) * len(FAULTS)}.',
        '',
        'Tests:',
        '',
    ]
    lines += [f'{number}. `{name}`' for name, number in numbers.items()]
    lines += ['', 'Reasons:', '']
    lines += [f'- {letter}: {reason}' for reason, letter in reason_letters.items()]
    return '\n'.join(lines) + '\n'


def main() -> int:
    """Write the page, or compare it with `--check`; return the exit status."""
    collector = _CellCollector()
    arguments = ['--collect-only', '-p', 'no:terminal', '-p', 'no:syrupy', 'tests']
    status = pytest.main(arguments, plugins=[collector])
    if status != pytest.ExitCode.OK:
        return int(status)
    page = render(collector.tests_by_cell)
    if '--check' in sys.argv:
        if PAGE.read_text() != page:
            print(f'{PAGE} is out of date; run `make fault-matrix`')
            return 1
        return 0
    PAGE.write_text(page)
    return 0


if __name__ == '__main__':
    sys.exit(main())
