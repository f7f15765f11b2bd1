package io.figspan.gateway.peer;

import io.figspan.cluster.copy.CopyTransferLimiter;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.http.DeflateCoding;
import io.figspan.gateway.store.ItemCopy;
import java.util.Optional;

/** One copy of the store's items as it is sent to other hosts, with its own bound on concurrent transfers. */
final class ServedCopy {
    private final ItemCopy copy;
    private final CopyTransferLimiter limiter = new CopyTransferLimiter();
    private Encoded lastEncoded;

    /** The changes after a revision, encoded for other hosts. */
    static final class Encoded {
        private final StoreRevision revision;
        private final long changeCount;
        private final StoreRevision afterRevision;
        private final boolean isCompressed;
        private final byte[] body;

        private Encoded(ItemCopy copy, StoreRevision afterRevision, boolean isCompressed) {
            this.revision = copy.revision();
            this.changeCount = copy.changeCount();
            this.afterRevision = afterRevision;
            this.isCompressed = isCompressed;
            byte[] changes = copy.changesAfter(afterRevision).encode();
            this.body = isCompressed ? DeflateCoding.compress(changes) : changes;
        }

        boolean isCompressed() {
            return isCompressed;
        }

        byte[] body() {
            return body;
        }
    }

    /** A transfer that may begin; it must be ended. */
    record Transfer(Encoded changes, CopyTransferLimiter.Transfer slot) {}

    ServedCopy(ItemCopy copy) {
        this.copy = copy;
    }

    /** Begins to send the changes after a revision; empty if this host sends too much of this copy already. */
    Optional<Transfer> begin(StoreRevision afterRevision, boolean isCompressed, long nowNanos) {
        if (limiter.isFull(nowNanos)) {
            return Optional.empty();
        }
        Encoded changes = encoded(afterRevision, isCompressed);
        return limiter.begin(changes.body.length, nowNanos).map(slot -> new Transfer(changes, slot));
    }

    void end(Transfer transfer) {
        limiter.end(transfer.slot());
    }

    /** Most readers ask for the same changes, so the last response is kept. */
    private Encoded encoded(StoreRevision afterRevision, boolean isCompressed) {
        boolean isSame = lastEncoded != null
                && lastEncoded.revision.equals(copy.revision())
                && lastEncoded.changeCount == copy.changeCount()
                && lastEncoded.afterRevision.equals(afterRevision)
                && lastEncoded.isCompressed == isCompressed;
        if (!isSame) {
            lastEncoded = new Encoded(copy, afterRevision, isCompressed);
        }
        return lastEncoded;
    }
}
