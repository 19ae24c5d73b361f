"""Read the CURVE secret key that authenticates a host to its peers."""

import pathlib

import zmq

from skylarkpitch import errors

__all__ = ['load_secret_key', 'public_key_of']

GROUP_AND_OTHERS_MODE_BITS = 0o077


def load_secret_key(path: pathlib.Path) -> str:
    """Return the secret key that a file contains, in Z85 encoding.

    Raises ``SettingsError`` if the file cannot be read, is accessible to
    other users or contains no CURVE key.
    """
    try:
        mode = path.stat().st_mode
        text = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f'secret_key_file {path} cannot be read ({error}); create one '
            'with skylark hosts provision'
        ) from error
    if mode & GROUP_AND_OTHERS_MODE_BITS:
        raise errors.SettingsError(
            f'secret_key_file {path} is accessible to other users; run chmod '
            '600 on it'
        )
    try:
        zmq.curve_public(text.encode())
    except (ValueError, zmq.ZMQError) as error:
        raise errors.SettingsError(
            f'secret_key_file {path} contains no CURVE key; create one with '
            'skylark hosts provision'
        ) from error
    return text


def public_key_of(secret_key: str) -> str:
    """Return the public key of a secret key, both in Z85 encoding."""
    return zmq.curve_public(secret_key.encode()).decode()
