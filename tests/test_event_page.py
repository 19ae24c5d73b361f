"""Test the page of log events and the format of their names."""

import re

import pytest

from benchmarks import event_page

EVENTS = event_page.collect()


def test_page_names_every_event_of_the_source():
    """Compare the page with the source; run ``make events`` on failure."""
    assert event_page.PAGE.read_text() == event_page.page(EVENTS)


@pytest.mark.parametrize('event', EVENTS, ids=lambda event: event.name)
def test_event_is_one_word(event):
    assert re.fullmatch(r'[a-z][a-z0-9_]*', event.name)


def test_event_of_a_request_has_its_id():
    of_requests = [e for e in EVENTS if e.name.startswith('request_')]
    fleet = [e for e in of_requests if e.module.startswith('forwarding/')]
    assert len(fleet) == 2
    assert all('request_id' in event.fields for event in fleet)
