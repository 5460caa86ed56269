"""Whether and when a client connects again after its connection has ended; for real and simulated clients."""


def next_attempt(load, kind, how, up, answer, tries, heeds_retry_after, jitter):
    """Returns None, or (microseconds until the client connects again, whether that is a reconnect).

    If it is no reconnect, it is a retry. `how`: how the connection ended; `up`: whether it was established;
    `answer`: its final answer, such as ("BUSY", ms), or None; `tries`: the retries so far;
    `heeds_retry_after`: whether the client waits as long as BUSY asks it to; `jitter`: the client's random
    number from 0 to 1.
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
