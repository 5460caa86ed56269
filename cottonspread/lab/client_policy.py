"""What a client does once its connection has ended. Pure; for clients on sockets and simulated ones."""


def next_attempt(load, kind, how, up, answer, tries, heeds_retry_after, jitter):
    """None, or (microseconds until it comes again, whether it is one that was up: else it is a retry).

    `answer`: its final one as ("BUSY", ms) or the like, None without; `tries` before this; whether it
    heeds a retry-after (`heeds_retry_after`); `jitter`: its own draw from 0 to 1.
    """
    if how in ("left", "bye", "cut"):
        return None
    if up:
        return None if how == "broke-off" else (round(load.rejoin_ms * 1000 * (0.5 + jitter)), True)
    word, value = answer or ("", 0)
    if tries >= load.retries or kind.effect == "once-only" and not (word == "BUSY" or how == "refused"):
        return None
    wait = round(load.backoff_ms * 1000 * 2**tries * (0.5 + jitter))
    if word == "BUSY" and value and heeds_retry_after:
        wait = max(wait, value * 1000) if tries else value * 1000
    return wait, False
