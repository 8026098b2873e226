"""Loopback addresses of one soak run, which no other run on the machine shares."""

import random
import socket

SHARED_HOST_NUMBER = 250  # last octet of the address of the store, engines and proxies
LOCK_PORT = 7_599
MAX_TRIES = 100


def reserve_host() -> tuple[str, socket.socket]:
    """Return the first three octets of unused loopback addresses, and their lock.

    The lock is a bound socket; closing it frees the addresses.
    """
    source = random.SystemRandom()
    for _ in range(MAX_TRIES):
        host = f"127.{source.randrange(2, 250)}.{source.randrange(250)}"
        lock = socket.socket()
        try:
            lock.bind((f"{host}.{SHARED_HOST_NUMBER}", LOCK_PORT))
        except OSError:
            lock.close()
        else:
            return host, lock
    raise RuntimeError("no loopback addresses are free: end other soak runs first")
