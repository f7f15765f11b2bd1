package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.time.Deadline;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A request that waits for, or runs at, a backend server. Compared by identity. */
public final class Job {
    private final String requestId;
    private final long arrivedNanos;
    private final Deadline deadline;
    private final long targetLatencyNanos;
    private final long maxGapNanos;
    private final int rank;
    private final Optional<PromptLengths> prompt;
    private final Set<BackendServerId> tried = new HashSet<>();
    private Optional<BackendServerId> onlyServer = Optional.empty();
    private boolean answerBegun;
    private long pieceAtNanos;

    /**
     * A job.
     *
     * @param requestId names the request in logs
     * @param arrivedNanos when the request was received
     * @param deadline when the caller, or the route, gives up
     * @param targetLatencyNanos time from the arrival within which the answer is worth the most
     * @param maxGapNanos longest pause within the answer with which it is on time; 0 when there is none
     * @param rank urgency, 0 first
     * @param prompt lengths of the prompt, when there is one
     */
    public Job(
            String requestId,
            long arrivedNanos,
            Deadline deadline,
            long targetLatencyNanos,
            long maxGapNanos,
            int rank,
            Optional<PromptLengths> prompt) {
        this.requestId = requestId;
        this.arrivedNanos = arrivedNanos;
        this.deadline = deadline;
        this.targetLatencyNanos = targetLatencyNanos;
        this.maxGapNanos = maxGapNanos;
        this.rank = rank;
        this.prompt = prompt;
    }

    public String requestId() {
        return requestId;
    }

    public long arrivedNanos() {
        return arrivedNanos;
    }

    public Deadline deadline() {
        return deadline;
    }

    public long targetLatencyNanos() {
        return targetLatencyNanos;
    }

    public long maxGapNanos() {
        return maxGapNanos;
    }

    public int rank() {
        return rank;
    }

    public Optional<PromptLengths> prompt() {
        return prompt;
    }

    /** A piece of the answer has arrived. */
    public void pieceArrived(long nowNanos) {
        answerBegun = true;
        pieceAtNanos = nowNanos;
    }

    /** Since when the caller waits: for the first piece, or for the next one. */
    long waitingSinceNanos() {
        return answerBegun ? pieceAtNanos : arrivedNanos;
    }

    /** How long the caller may wait with the answer still on time. */
    long onTimeNanos() {
        return answerBegun ? maxGapNanos : targetLatencyNanos;
    }

    /** The servers that it was sent to. */
    public Set<BackendServerId> tried() {
        return tried;
    }

    /** Lets the job be sent to this server again, and to no other. */
    public void pinTo(BackendServerId server) {
        tried.remove(server);
        onlyServer = Optional.of(server);
    }

    /** Whether the job may be sent to a server now. */
    boolean maySendTo(BackendServerId server) {
        return !tried.contains(server) && onlyServer.map(server::equals).orElse(true);
    }

    @Override
    public String toString() {
        return requestId;
    }
}
