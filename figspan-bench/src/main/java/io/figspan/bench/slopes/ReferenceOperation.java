package io.figspan.bench.slopes;

import com.google.common.hash.Hashing;

/** The operation that processor times are given as multiples of: SHA-256 over 1 KiB, on one core, in the same run. */
final class ReferenceOperation {
    private static final int BODY_BYTES = 1_024;
    private static final int ROUNDS = 5;
    private static final int OPERATIONS = 50_000;

    private ReferenceOperation() {}

    /** Nanoseconds of one operation: the best of some rounds, the least disturbed by others on the machine. */
    static double measureNanos() {
        byte[] body = new byte[BODY_BYTES];
        double best = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            for (int i = 0; i < OPERATIONS; i++) {
                body[0] ^= Hashing.sha256().hashBytes(body).asBytes()[0];
            }
            best = Math.min(best, (double) (System.nanoTime() - start) / OPERATIONS);
        }
        return best;
    }
}
