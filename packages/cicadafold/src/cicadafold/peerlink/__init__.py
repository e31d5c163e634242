"""Links between members: one per peer and lane, so that lanes do not mix."""
