"""Setting of the C library's allocator, for processes with large bodies."""

import ctypes

#: Size from which a block of memory is mapped alone, and given back to the
#: system when it is freed, in bytes.
MAPPED_BLOCK_BYTES = 1024 * 1024

#: Parameter of ``mallopt`` for that size.
_M_MMAP_THRESHOLD = -3


def map_large_blocks() -> bool:
    """Give large blocks back when they are freed; return whether it worked.

    By default the allocator raises its threshold to the largest block that was
    freed, up to 32 MB. Bodies that grow beside each other then leave holes in
    the heap that stay resident. A C library without the parameter ignores it.
    """
    set_parameter = getattr(ctypes.CDLL(None), 'mallopt', None)
    if set_parameter is None:
        return False
    return bool(set_parameter(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
