"""Coordinates recorded requests: acceptance, adoption, final outcome."""
