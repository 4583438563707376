"""Entry point of `python -m http_gateway`, which runs one gateway process."""

from __future__ import annotations

import sys
from importlib.util import find_spec

# asyncio and hashlib import the bindings of OpenSSL if they are there, which takes 5 MB. The gateway uses
# neither TLS nor OpenSSL's hashes. asyncio works without the bindings, and hashlib does if Python has its own
# code for the hashes, which some distributions leave out.
_HAS_OWN_HASHES = all(map(find_spec, ("_md5", "_sha1", "_sha3", "_blake2"))) and bool(
    find_spec("_sha2") or find_spec("_sha512")
)
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
if _HAS_OWN_HASHES:
    sys.modules.setdefault("_hashlib", None)  # type: ignore[arg-type]

from http_gateway.service import main  # noqa: E402 the bindings are excluded first

if __name__ == "__main__":
    sys.exit(main())
