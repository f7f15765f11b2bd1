package io.figspan.cluster.copy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes of one copy that a host sends at the same time. Each reader then gets it fast and serves others
 * itself, while many concurrent transfers of a large copy would all be slow and leave no bandwidth for responses to
 * callers. It performs no I/O.
 */
public final class CopyTransferLimiter {
    /** One copy is always sent; further ones begin while the total is below this. */
    static final long MAX_BYTES = 128 * 1_024;

    /** What a transfer counts at least, which bounds the number of concurrent transfers. */
    static final long MIN_TRANSFER_BYTES = 1_024;

    /** A transfer that takes longer no longer counts: its reader has given up or is out of reach. */
    static final long MAX_TRANSFER_NANOS = TimeUnit.MILLISECONDS.toNanos(CopyFetcher.READ_TIMEOUT_MS);

    private final List<Transfer> transfers = new ArrayList<>();

    /** A transfer in progress. */
    public static final class Transfer {
        private final long bytes;
        private final long startNanos;

        private Transfer(long bytes, long startNanos) {
            this.bytes = bytes;
            this.startNanos = startNanos;
        }
    }

    /** Begins a transfer; empty if the host sends too much already. */
    public Optional<Transfer> begin(long bytes, long nowNanos) {
        dropExpired(nowNanos);
        long counted = Math.max(bytes, MIN_TRANSFER_BYTES);
        if (!transfers.isEmpty() && bytesInTransfer() + counted > MAX_BYTES) {
            return Optional.empty();
        }
        Transfer transfer = new Transfer(counted, nowNanos);
        transfers.add(transfer);
        return Optional.of(transfer);
    }

    /** Whether no transfer of any size may begin now. */
    public boolean isFull(long nowNanos) {
        dropExpired(nowNanos);
        return !transfers.isEmpty() && bytesInTransfer() + MIN_TRANSFER_BYTES > MAX_BYTES;
    }

    private void dropExpired(long nowNanos) {
        transfers.removeIf(transfer -> nowNanos - transfer.startNanos >= MAX_TRANSFER_NANOS);
    }

    /** A transfer has ended, successfully or not. */
    public void end(Transfer transfer) {
        transfers.remove(transfer);
    }

    private long bytesInTransfer() {
        return transfers.stream().mapToLong(transfer -> transfer.bytes).sum();
    }
}
