"""The page of log events, and what every event must look like."""

import re

import pytest

from benchmarks import event_page

EVENTS = event_page.collect()


def test_page_names_every_event_of_the_source():
    """When this fails, run ``make events``."""
    assert event_page.PAGE.read_text() == event_page.page(EVENTS)


@pytest.mark.parametrize('event', EVENTS, ids=lambda event: event.name)
def test_event_is_one_word(event):
    assert re.fullmatch(r'[a-z][a-z0-9_]*', event.name)


def test_event_that_touches_a_request_names_it():
    named = [e for e in EVENTS if e.name.startswith('request_')]
    fleet = [e for e in named if e.module.startswith('forwarding/')]
    assert len(fleet) == 2
    assert all('request_id' in event.fields for event in fleet)
