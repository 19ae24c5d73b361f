"""Collect the counters and the status that an entry host reports."""

import dataclasses
from typing import Any, Protocol

from skylarkpitch.limits import service as limits
from skylarkpitch.membership import service as membership
from skylarkpitch.observability import histograms
from skylarkpitch.operators import host_requests
from skylarkpitch.peers import network

__all__ = ['EntryStatus']


class _CounterSource(Protocol):
    def counters(self) -> dict[str, float]:
        """Return counter values by name."""


class EntryStatus:
    """Read the counters and summaries of an entry host's services.

    ``counter_sources`` maps the name of a service to the service.
    """

    def __init__(
        self,
        *,
        latencies: histograms.LatencyHistograms,
        limits: limits.OrganisationLimits,
        membership: membership.UpstreamMembership,
        counter_sources: dict[str, _CounterSource],
    ) -> None:
        self._latencies = latencies
        self._limits = limits
        self._membership = membership
        self._counter_sources = counter_sources

    def counters(self) -> dict[str, float]:
        """Return every counter, named ``service.counter``."""
        return {
            f'{source_name}.{name}': float(value)
            for source_name, source in self._counter_sources.items()
            for name, value in source.counters().items()
        }

    def report(self) -> dict[str, Any]:
        """Return the status of this host that operators query."""
        return {
            'counters': self.counters(),
            'latencies': [
                dataclasses.asdict(item)
                for item in self._latencies.summaries()
            ],
            'organisations': {
                name: dataclasses.asdict(usage)
                for name, usage in self._limits.usage().items()
            },
            'upstreams': [
                dataclasses.asdict(item)
                for item in self._membership.upstreams()
            ],
        }

    def register_handlers(self, peers: network.Peers) -> None:
        """Respond to the operators' status queries that ``peers`` receives."""
        peers.handle(host_requests.HistogramRequest, self._on_histograms)
        peers.handle(host_requests.StatusRequest, self._on_status)

    async def _on_histograms(
        self, _sender: str, _message: host_requests.HistogramRequest
    ) -> host_requests.HistogramResponse:
        return host_requests.HistogramResponse(
            encoded=self._latencies.encoded()
        )

    async def _on_status(
        self, _sender: str, _message: host_requests.StatusRequest
    ) -> host_requests.StatusResponse:
        return host_requests.StatusResponse(status=self.report())
