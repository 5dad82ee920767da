"""A membership counts for shares only when no node with standing can lack it."""

from turmericwharf.coordination import MembershipSettling, settle_seconds
from turmericwharf.state import Member, Membership, TimingSettings


class _Clock:
    moment = 0.0

    def now(self):
        return self.moment


def _membership(version, instances):
    members = {one: Member(one, f'{one}-1', '127.0.0.1', 1, 'dc-1') for one in instances}
    return Membership(version, members)


def _settling(clock):
    own = Member('a', 'a-1', '127.0.0.1', 1, 'dc-1')
    settling = MembershipSettling(own, TimingSettings(), clock)
    settling.apply_membership(_membership(0, 'abc'), is_consecutive=True)
    settling.confirm(0)
    return settling


def test_each_membership_since_the_last_confirmed_needs_a_majority():
    """Guards against a majority of the newest membership only: it may lack all older members."""
    settling = _settling(_Clock())
    settling.apply_membership(_membership(1, 'abcde'), is_consecutive=True)
    settling.apply_membership(_membership(2, 'ade'), is_consecutive=True)
    assert not settling.is_confirmed_by(frozenset('ade'))
    assert settling.is_confirmed_by(frozenset('abde'))


def test_state_with_a_gap_is_not_confirmed_here():
    """Guards against memberships that this node has not seen and cannot ask about."""
    settling = _settling(_Clock())
    settling.apply_membership(_membership(5, 'abc'), is_consecutive=False)
    assert not settling.is_confirmed_by(frozenset('abc'))
    assert not settling.is_settled


def test_removed_member_counts_until_its_removal_has_settled():
    """Guards against a share that is divided while the removed member still uses its part."""
    clock = _Clock()
    settling = _settling(clock)
    settling.apply_membership(_membership(1, 'ab'), is_consecutive=True)
    clock.moment += 1000
    assert sorted(settling.members_with_shares()) == ['a', 'b', 'c']
    settling.confirm(1)
    clock.moment += settle_seconds(TimingSettings()) - 0.1
    assert sorted(settling.members_with_shares()) == ['a', 'b', 'c']
    clock.moment += 0.1
    assert sorted(settling.members_with_shares()) == ['a', 'b']


def test_short_settle_setting_is_raised():
    """Guards against settings with which a loan outlives the knowledge that it rests on."""
    timing = TimingSettings(settle_seconds=1.0)
    lasting = timing.standing_seconds + timing.loan_seconds + timing.slice_seconds
    assert settle_seconds(timing) > lasting
