"""Retry tokens: delegated to nested calls, returned with the answer.

A root request gets a fixed number of tokens at its entry node. Each retry in
its call tree takes one. Tokens are moved and never copied, so the tokens at
the entry bound the total number of retries, regardless of lost calls and of
the fan-out::

    pool = RetryPool(4)
    delegated = pool.delegate()         # 2 are passed with the call
    pool.return_unused(1, delegated)    # 1 comes back with the answer
    assert pool.take()                  # this node retries
"""


class RetryPool:
    """Retry tokens of one request at one node."""

    def __init__(self, tokens: int) -> None:
        """Start with ``tokens`` tokens; a negative number counts as 0."""
        self._tokens = max(tokens, 0)
        self._closed = False

    @property
    def tokens(self) -> int:
        """Number of tokens that are left."""
        return self._tokens

    def take(self, count: int = 1) -> bool:
        """Take tokens for a retry, all or none; return whether they were left.

        A retry takes one, and one more for each nested call that the repeated
        run makes again.
        """
        if self._closed or self._tokens < count:
            return False
        self._tokens -= count
        return True

    def delegate(self) -> int:
        """Remove half of the tokens, rounded down, and return their number.

        The other half stays: this node can still retry if the call is lost
        together with the tokens delegated to it.
        """
        if self._closed:
            return 0
        delegated = self._tokens // 2
        self._tokens -= delegated
        return delegated

    def return_unused(self, returned: int, delegated: int) -> None:
        """Add returned tokens, at most as many as were delegated."""
        if not self._closed:
            self._tokens += min(max(returned, 0), delegated)

    def close(self) -> int:
        """Close the pool and return the rest, for the answer to the caller."""
        rest = 0 if self._closed else self._tokens
        self._closed = True
        self._tokens = 0
        return rest
