"""What a term uses of the process that serves it."""

__all__ = ["TermServices"]


class TermServices:
    """Services of the process that all its terms use.

    Args:
        store: Client of the store.
        make_registry: Function that returns a new reader of the registry of
            workers, from a function to call whenever a part of the whole
            registry has arrived.
        make_client: Function that returns the client of a worker, from its
            report and the number of the term.
        list_peers: Function that returns the handles of this process and
            its peers.
        peer_directory: ``PeerDirectory`` of the process.
        configuration: ``Holder`` of the newest configuration.
        claim_history: ``ClaimHistory`` of the process.
        read_newest_claim: Coroutine function that reads the newest claim.
        metrics: Metrics of the process.
        broadcast: Function that sends a message to all peers; it may be lost.
    """

    def __init__(
        self,
        *,
        store,
        make_registry,
        make_client,
        list_peers,
        peer_directory,
        configuration,
        claim_history,
        read_newest_claim,
        metrics,
        broadcast,
    ):
        self.store = store
        self.make_registry = make_registry
        self.make_client = make_client
        self.list_peers = list_peers
        self.peer_directory = peer_directory
        self.configuration = configuration
        self.claim_history = claim_history
        self.read_newest_claim = read_newest_claim
        self.metrics = metrics
        self.broadcast = broadcast
