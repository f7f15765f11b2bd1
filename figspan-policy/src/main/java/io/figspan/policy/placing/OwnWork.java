package io.figspan.policy.placing;

import io.figspan.core.work.PrefillReader;
import io.figspan.policy.placing.ReadPlan.Reader;
import java.util.List;

/** A job of this host at its engines. */
final class OwnWork {
    /** An engine makes a piece every 50 to 300 ms; one that is later than expected by this is dead or cut off. */
    private static final double SILENCE_MS = 800;

    /** The same with helpers: the engine itself says within 1.5 s that one of them is dead. */
    private static final double HELPED_SILENCE_MS = 1_800;

    final long key;
    final EngineSeat first;
    final List<Reader> readers;
    final long sentNanos;
    final long outputTokens;
    long generatedTokens;
    double nextPieceMs;
    boolean reportedOverdue;

    OwnWork(long key, EngineSeat first, List<Reader> readers, long sentNanos, long outputTokens, double nextPieceMs) {
        this.key = key;
        this.first = first;
        this.readers = readers;
        this.sentNanos = sentNanos;
        this.outputTokens = outputTokens;
        this.nextPieceMs = nextPieceMs;
    }

    /** Whether the engine is silent although it should have made a piece of this or of another answer. */
    boolean isOverdue(double nowMs) {
        boolean helped = generatedTokens == 0 && !readers.isEmpty();
        double silenceMs = helped ? HELPED_SILENCE_MS : SILENCE_MS;
        return nowMs > Math.max(nextPieceMs, first.heardMs()) + silenceMs;
    }

    /** The readers that matter to other hosts: once the prompt is read, only those that hold memory. */
    List<PrefillReader> placedReaders() {
        return readers.stream()
                .filter(reader -> generatedTokens == 0 || reader.heldTokens() > 0)
                .map(Reader::placed)
                .toList();
    }
}
