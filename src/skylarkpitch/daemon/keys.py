"""Read the secret key by which a host proves itself to its peers."""

import pathlib

import zmq

from skylarkpitch import errors

__all__ = ['load_secret_key', 'public_key_of']

GROUP_AND_OTHERS = 0o077


def load_secret_key(path: pathlib.Path) -> str:
    """Return the secret key in a file, in Z85.

    Raises ``SettingsError`` when the file cannot be read, is open to other
    users or holds no key.
    """
    try:
        mode = path.stat().st_mode
        text = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f'secret_key_file {path} cannot be read ({error}); make one with '
            'skylark hosts provision'
        ) from error
    if mode & GROUP_AND_OTHERS:
        raise errors.SettingsError(
            f'secret_key_file {path} is open to other users; run chmod 600 '
            'on it'
        )
    try:
        zmq.curve_public(text.encode())
    except (ValueError, zmq.ZMQError) as error:
        raise errors.SettingsError(
            f'secret_key_file {path} holds no CURVE key; make one with '
            'skylark hosts provision'
        ) from error
    return text


def public_key_of(secret_key: str) -> str:
    """Return the public key that belongs to a secret one, in Z85."""
    return zmq.curve_public(secret_key.encode()).decode()
