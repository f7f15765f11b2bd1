package io.figspan.cluster.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CopyTransferLimiterTest {
    private static final long LARGE_BYTES = 2 * CopyTransferLimiter.MAX_BYTES;

    private final CopyTransferLimiter limiter = new CopyTransferLimiter();

    @Test
    void aLargeCopyIsSentToOneReaderAtATime() {
        CopyTransferLimiter.Transfer first = limiter.begin(LARGE_BYTES, 0).orElseThrow();
        assertTrue(limiter.begin(LARGE_BYTES, 0).isEmpty());
        assertTrue(limiter.begin(1, 0).isEmpty());
        assertTrue(limiter.isFull(0));

        limiter.end(first);
        assertFalse(limiter.isFull(0));

        assertTrue(limiter.begin(LARGE_BYTES, 0).isPresent());
    }

    @Test
    void smallCopiesAreSentTogetherUpToABoundOfTheirNumber() {
        long most = CopyTransferLimiter.MAX_BYTES / CopyTransferLimiter.MIN_TRANSFER_BYTES;
        long begun = 0;
        while (limiter.begin(1, 0).isPresent()) {
            begun++;
        }

        assertEquals(most, begun);
    }

    /** Guards against a reader that is out of reach and keeps all others from reading. */
    @Test
    void aTransferThatNeverEndsStopsCounting() {
        assertTrue(limiter.begin(LARGE_BYTES, 0).isPresent());

        assertFalse(limiter.begin(1, CopyTransferLimiter.MAX_TRANSFER_NANOS - 1).isPresent());
        assertTrue(limiter.begin(1, CopyTransferLimiter.MAX_TRANSFER_NANOS).isPresent());
    }
}
