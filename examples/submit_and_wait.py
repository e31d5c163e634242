"""Caller that repeats its request until it receives a final answer.

Every attempt has the same request id, so that repeating is safe. Run it as
``python submit_and_wait.py ADDRESS KIND TEAM``.
"""

import asyncio
import sys
import uuid

import aiohttp

MAX_ATTEMPTS = 20
DEFAULT_PAUSE_MS = 100
MS_PER_S = 1000
REPEATABLE = ("not_run", "accepted", "unanswered")


async def submit(session, address, kind, team):
    """Submits a request and repeats it under the same id.

    Returns:
        The decoded answer with a final outcome, or the last answer after
        ``MAX_ATTEMPTS`` attempts.
    """
    submission = {"request_id": uuid.uuid4().hex, "kind": kind, "team": team}
    for attempt in range(1, MAX_ATTEMPTS + 1):
        submission["attempt"] = attempt
        url = f"http://{address}/v1/requests"
        pause_ms = DEFAULT_PAUSE_MS
        try:
            async with session.post(url, json=submission) as reply:
                answer = await reply.json()
        except aiohttp.ClientError:
            answer = {"outcome": "unanswered"}
        if answer["outcome"] not in REPEATABLE:
            return answer
        error = answer.get("error", {})
        pause_ms = error.get("retry_after_ms", pause_ms)
        await asyncio.sleep(pause_ms / MS_PER_S)
    return answer


async def main():
    """Submits a request and prints its answer."""
    address, kind, team = sys.argv[1:]
    async with aiohttp.ClientSession() as session:
        print(await submit(session, address, kind, team))


if __name__ == "__main__":
    asyncio.run(main())
