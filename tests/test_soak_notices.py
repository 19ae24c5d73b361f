"""Short seeded runs of the soak of the request path."""

import pytest

from benchmarks.soaks import notices


# Guards against requests to upstreams that leave or want a pause, above a
# named rate, or under which upstreams have crashed, while hosts are cut off
# and leaders change. Longer: ``make soak``.
@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_upstreams_see_no_request_against_their_notices(seed):
    counts = notices.run(seed=seed, seconds=0.0)
    assert counts['steps'] > 0
    assert counts['violations'] == 0, counts['seen']
