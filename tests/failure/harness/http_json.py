"""HTTP client for JSON bodies."""

import http.client
import json


class Answer:
    """Status and body of a response; the body is None if it is not JSON."""

    def __init__(self, status, text):
        self.status = status
        self.text = text
        try:
            self.body = json.loads(text) if text else None
        except ValueError:
            self.body = None

    def __repr__(self):
        return f"Answer({self.status}, {self.text[:300]!r})"


def request(address, method, path, body=None, timeout_s=60):
    """Sends a request; `body` is bytes, text or a value to encode as JSON."""
    if body is not None and not isinstance(body, (bytes, str)):
        body = json.dumps(body)
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        try:
            connection.request(method, path, body=body)
        except (BrokenPipeError, ConnectionResetError):
            # A server may refuse a request before it has read the whole body;
            # its response can still be read.
            if connection.sock is None:
                raise
        response = connection.getresponse()
        return Answer(response.status, response.read().decode(errors="replace"))
    finally:
        connection.close()


def try_request(address, method, path, body=None, timeout_s=60):
    """Like `request`, but returns None if there is no response."""
    try:
        return request(address, method, path, body, timeout_s)
    except (OSError, http.client.HTTPException):
        return None
