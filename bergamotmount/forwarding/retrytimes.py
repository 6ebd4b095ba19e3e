"""Times to return for requests that are refused for lack of memory."""

from bergamotmount.clock import MS_PER_SECOND

#: Time after which a request may be repeated that was refused for lack of
#: memory, and by how much each of some in succession waits longer.
NO_MEMORY_RETRY_MS = 1000
NO_MEMORY_RETRY_STEP_MS = 100
NO_MEMORY_RETRY_STEPS = 16


def no_memory_headers(refusals: int) -> list[str]:
    """Return the headers of a refusal, names and texts alternating.

    Several in succession, numbered by ``refusals``, come back at different
    times::

        no_memory_headers(3)  # ['Retry-After', '1.300']
    """
    step = refusals % NO_MEMORY_RETRY_STEPS
    wait_ms = NO_MEMORY_RETRY_MS + step * NO_MEMORY_RETRY_STEP_MS
    return ['Retry-After', f'{wait_ms / MS_PER_SECOND:.3f}']
