package io.figspan.policy.placing;

import io.figspan.core.work.PrefillReader;
import java.util.List;

/**
 * One way to serve a request: the engine that runs it and those that read parts of its prompt.
 *
 * @param readers the others; those that hold memory for the request come first
 * @param readMs time that each engine reads
 * @param doneMs when the last part is read, as forecast
 * @param harm worth that others are expected to lose
 * @param loss worth that is expected to be lost in all: of the request itself and of others
 */
record ReadPlan(EngineSeat first, List<Reader> readers, double readMs, double doneMs, double harm, double loss) {
    ReadPlan {
        readers = List.copyOf(readers);
    }

    /** An engine that reads a part, and the memory that it holds for the request. */
    record Reader(EngineSeat seat, long heldTokens) {
        PrefillReader placed() {
            return new PrefillReader(seat.id(), heldTokens);
        }
    }

    /** Tokens of the request that lie in the memory of other engines. */
    long heldElsewhereTokens() {
        return readers.stream().mapToLong(Reader::heldTokens).sum();
    }
}
