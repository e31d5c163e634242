"""Messages of cicadafold's calls, generated from ``openapi.yaml``.

Examples:
    >>> from cicadafold_schema import messages
    >>> messages.Team(name="lutherie").weight
    1
"""

__all__ = ["base", "generate", "messages"]
