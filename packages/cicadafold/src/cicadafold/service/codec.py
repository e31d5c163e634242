"""Decodes and encodes the schema's messages for HTTP."""

from aiohttp import web
import msgspec

from cicadafold import exception

__all__ = ["decode", "json_response", "read_body"]

encoder = msgspec.json.Encoder()


def json_response(message, *, status=200, headers=None):
    """Returns a message as an HTTP reply."""
    return web.Response(
        body=encoder.encode(message),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def decode(decoder, body):
    """Decodes a body and types its faults.

    Raises:
        InvalidCall: A field is unknown, missing or out of its range.
        MalformedCall: The body is not JSON.
    """
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        raise exception.InvalidCall(
            message=f"The call does not match the schema: {error}.",
            remedy="Correct the field that is named.",
        ) from error
    except msgspec.DecodeError as error:
        raise exception.MalformedCall(
            message=f"The body is not JSON: {error}.",
            remedy="Send one JSON object in UTF-8.",
        ) from error


async def read_body(request):
    """Reads a body within the limit.

    Raises:
        TooLarge: The body is over the limit.
    """
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise exception.TooLarge(
            message="The body is over the limit.",
            remedy="Send less, or raise limits.max_body_bytes.",
        ) from error
