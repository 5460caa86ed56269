"""Files of the configuration store: a message with a checksum, replaced atomically and durably.

A file has two lines: the SHA-256 of the second line, and the message as JSON. A file whose checksum does not
match is refused and left in place: a replica that has lost its accepted record must not take part, and an
operator has to decide how to repair it.
"""

import hashlib
import os

from cottonspread.configstore import messages
from cottonspread.lists.saved import sync_folder, write_atomically

MAX_FILE_LENGTH = messages.MAX_MESSAGE_BYTES + 100


class StorageError(ValueError):
    """An unusable file; the message names the file and the reason."""


def write(path: str, message: messages.Message) -> None:
    """Writes a message durably. Raises OSError; the file is then the old or the new one."""
    text = messages.encode(message).decode()
    write_atomically(path, f"{checksum(text)}\n{text}\n", durable=True)


def remove(path: str) -> None:
    """Removes a file durably; a missing file is no error. Raises OSError."""
    try:
        os.unlink(path)
    except FileNotFoundError:
        return
    sync_folder(os.path.dirname(os.path.abspath(path)))


def read(path: str, kind: type):
    """Reads a message of type `kind`; returns None if there is no file. Raises StorageError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_LENGTH + 1)
    except FileNotFoundError:
        return None
    except (OSError, UnicodeDecodeError) as error:
        raise StorageError(f"{path}: {error}") from error
    recorded, _, body = text.partition("\n")
    body = body.removesuffix("\n")
    if len(text) > MAX_FILE_LENGTH or recorded != checksum(body):
        raise StorageError(f"{path}: damaged: the checksum does not match")
    try:
        return messages.decode(body.encode(), kind)
    except messages.MessageError as error:
        raise StorageError(f"{path}: {error}") from error


def checksum(text: str) -> str:
    """Returns the SHA-256 of a text, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
