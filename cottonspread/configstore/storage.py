"""Files of the configuration store: a message with its checksum, whole or not there, durable once written.

A file is two lines: the SHA-256 of the second, and the message as JSON. One that does not fit is refused
and left where it is: a replica that has forgotten what it accepted must not take part, and what is to be
done about it is for staff to say.
"""

import hashlib
import os

from cottonspread.configstore import messages
from cottonspread.lists.saved import sync_folder, write_atomically

MAX_FILE_LENGTH = messages.MAX_MESSAGE_BYTES + 100


class StorageError(ValueError):
    """A file that is there and cannot be used; the message names it and says why."""


def write(path: str, message: messages.Message) -> None:
    """Durable when it returns. Raises OSError; the file is the old one or the new one then."""
    text = messages.encode(message).decode()
    write_atomically(path, f"{checksum(text)}\n{text}\n", durable=True)


def remove(path: str) -> None:
    """Durable when it returns; no file there is as good. Raises OSError."""
    try:
        os.unlink(path)
    except FileNotFoundError:
        return
    sync_folder(os.path.dirname(os.path.abspath(path)))


def read(path: str, kind: type):
    """The message, or None where there is no file. Raises StorageError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_LENGTH + 1)
    except FileNotFoundError:
        return None
    except (OSError, UnicodeDecodeError) as fault:
        raise StorageError(f"{path}: {fault}") from fault
    recorded, _, body = text.partition("\n")
    body = body.removesuffix("\n")
    if len(text) > MAX_FILE_LENGTH or recorded != checksum(body):
        raise StorageError(f"{path}: damaged: its checksum does not fit")
    try:
        return messages.decode(body.encode(), kind)
    except messages.MessageError as fault:
        raise StorageError(f"{path}: {fault}") from fault


def checksum(text: str) -> str:
    """SHA-256, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
