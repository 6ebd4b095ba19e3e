"""Retry tokens: lent to calls below, returned with the answer.

One client request gets a fixed number of tokens at its entry node. Each
retry anywhere beneath it takes one. Tokens are lent and never copied, so the
total number of retries is bounded by the tokens at the entry, whatever is
lost and however wide the calls fan out::

    pool = RetryPool(4)
    lent = pool.lend()          # 2 go down with the call
    pool.give_back(1, lent)     # 1 came back unused
    assert pool.take()          # this level retries
"""


class RetryPool:
    """Tokens that one request holds at one node."""

    def __init__(self, tokens: int) -> None:
        """Hold ``tokens`` tokens; a negative number counts as none."""
        self._tokens = max(tokens, 0)
        self._closed = False

    @property
    def tokens(self) -> int:
        """Number of tokens held now."""
        return self._tokens

    def take(self) -> bool:
        """Spend one token on a retry; return whether there was one."""
        if self._closed or not self._tokens:
            return False
        self._tokens -= 1
        return True

    def lend(self) -> int:
        """Remove half of the tokens, rounded down, and return their number.

        Half stays, so that this level can retry when the call below is lost
        together with what it was lent.
        """
        if self._closed:
            return 0
        lent = self._tokens // 2
        self._tokens -= lent
        return lent

    def give_back(self, returned: int, lent: int) -> None:
        """Take unused tokens back, at most as many as were lent."""
        if not self._closed:
            self._tokens += min(max(returned, 0), lent)

    def close(self) -> int:
        """End the pool and return what is left, to pass it up."""
        rest = 0 if self._closed else self._tokens
        self._closed = True
        self._tokens = 0
        return rest
