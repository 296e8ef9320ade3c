"""Who may ask for the outcome of a request: the client that knows the secret it was sent with.

A request id is no secret: it stands in logs and on the wire to upstreams. So a client sends a secret of its
own with a request, and again when it asks for the outcome. Balancers keep only a proof, the HMAC of all that
the request's effect depends on, with the secret as its key. A claim with another secret, or for another
request, has another proof.
"""

from __future__ import annotations

import hmac
import re
from secrets import token_hex

SECRET_FIELD = b"x-retry-secret"
SECRET = re.compile(rb"[!-~]{16,256}")
_NONCE_BYTES = 16


def make_proof(secret: bytes, *parts: bytes) -> bytes:
    """The proof of a request: `parts` are its id, method, path, idempotency key and body."""
    message = b"".join(b"%d:%b" % (len(part), part) for part in parts)
    return hmac.digest(secret, message, "sha256")


def same_proof(proof: bytes, other: bytes) -> bool:
    """Whether two proofs are of the same secret and request; a request without a secret has none."""
    return bool(proof) and hmac.compare_digest(proof, other)


def visit_suffix(proof: bytes) -> str:
    """What makes a visit's id unknown to all but its client; without a proof, unknown to everybody."""
    return proof.hex() or token_hex(_NONCE_BYTES)
