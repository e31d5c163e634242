"""Messages of the HTTP API of cicadafold, generated from ``openapi.yaml``.

Examples:
    >>> from cicadafold_schema import messages
    >>> messages.Team(name="lutherie").weight
    1
"""

__all__ = ["base", "generate", "messages"]
