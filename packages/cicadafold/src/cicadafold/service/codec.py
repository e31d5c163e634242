"""Decodes HTTP bodies to messages of the schema, and encodes replies."""

from aiohttp import web
import msgspec

from cicadafold import exception

__all__ = ["decode", "json_response", "read_body"]

encoder = msgspec.json.Encoder()


def json_response(message, *, status=200, headers=None):
    """Returns an HTTP response with a message as its JSON body.

    Args:
        message: Message to send.
        status: HTTP status.
        headers: Additional HTTP headers, or None.
    """
    return web.Response(
        body=encoder.encode(message),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def decode(decoder, body):
    """Decodes the body of a call.

    Args:
        decoder: Decoder for the message type.
        body: Body as bytes.

    Returns:
        The decoded message.

    Raises:
        InvalidCall: A field is unknown, missing or out of range.
        MalformedCall: The body is not JSON.
    """
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        raise exception.InvalidCall(
            message=f"The call does not match the schema: {error}.",
            remedy="Correct the named field.",
        ) from error
    except msgspec.DecodeError as error:
        raise exception.MalformedCall(
            message=f"The body is not JSON: {error}.",
            remedy="Send one JSON object in UTF-8.",
        ) from error


async def read_body(request):
    """Returns the body of a call as bytes.

    Raises:
        TooLarge: The body exceeds ``limits.max_body_bytes``.
    """
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise exception.TooLarge(
            message="The body exceeds the limit of the entry host.",
            remedy="Send a smaller body, or raise limits.max_body_bytes.",
        ) from error
