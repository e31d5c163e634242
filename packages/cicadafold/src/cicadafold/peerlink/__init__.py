"""Links between members, over which requests are dispatched to racks.

There is one link for each peer and lane, so that urgent frames never wait
behind patient ones.
"""
