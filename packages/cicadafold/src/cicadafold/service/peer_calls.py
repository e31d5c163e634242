"""API calls of peers, load balancers and monitoring."""

from aiohttp import web
from cicadafold_schema import messages

from cicadafold.peerlink import server
from cicadafold.service import codec
from cicadafold.service import operator_calls
from cicadafold.service import registry

__all__ = ["events", "gossip", "health", "link", "metrics_page"]


@registry.call("GET", "/peer/link", registry.Role.PEER)
async def link(node, request):
    """Serves a link over which a peer dispatches requests."""
    return await server.serve_link(request, node.racks)


@registry.call("POST", "/peer/gossip", registry.Role.PEER)
async def gossip(node, request):
    """Merges a peer's gossip message and answers with one of this process."""
    body = node.gossiper.handle_message(await codec.read_body(request))
    return web.Response(body=body, content_type="application/json")


@registry.call("GET", "/peer/events/{request_id}", registry.Role.PEER)
async def events(node, request):
    """Returns the events of a request that this process has recorded."""
    request_id = request.match_info["request_id"]
    found = node.events.events(request_id)
    return codec.json_response(
        messages.Explanation(request_id=request_id, events=found)
    )


@registry.call("GET", "/peer/burn", registry.Role.PEER)
async def burn(node, request):
    """Returns the burn report of the answers of this process."""
    return codec.json_response(operator_calls.local_burn_report(node))


@registry.call("GET", "/healthz", registry.Role.ANYONE)
async def health(node, request):
    """Answers health checks with 200 if calls are accepted, else with 503."""
    if node.view.draining:
        return web.Response(status=503, text="draining")
    if not node.is_ready():
        return web.Response(status=503, text="starting")
    return web.Response(text="ready")


@registry.call("GET", "/metrics", registry.Role.ANYONE)
async def metrics_page(node, request):
    """Returns the metrics in the Prometheus text format."""
    gauges = {
        "log_offset": node.tail.state.offset,
        "configuration_revision": node.tail.state.configuration.revision,
        "racks_owned": len(node.rack_claimer.owners),
        "members_alive": len(node.view.alive_members()),
        "log_reachable": int(node.log_is_usable()),
        "requests_in_flight": node.in_flight,
    }
    return web.Response(text=node.metrics.render(gauges))
