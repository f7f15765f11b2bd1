package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.Deadline;
import io.figspan.policy.affinity.PromptPrefix;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A request that is queued for a backend server or running on one. Compared by identity. */
public final class Job {
    private final String requestId;
    private final long arrivedNanos;
    private final Deadline deadline;
    private final long targetLatencyNanos;
    private final long maxGapNanos;
    private final int rank;
    private final Optional<PromptLengths> prompt;
    private final Optional<OrganisationId> organisation;
    private final PromptPrefix prefix;
    private final Set<BackendServerId> tried = new HashSet<>();
    private Optional<BackendServerId> pinnedServer = Optional.empty();
    private boolean awaitsSlot;
    private boolean answerStarted;
    private long lastPieceNanos;

    /** Creates a job that belongs to no organisation. */
    public Job(
            String requestId,
            long arrivedNanos,
            Deadline deadline,
            long targetLatencyNanos,
            long maxGapNanos,
            int rank,
            Optional<PromptLengths> prompt) {
        this(requestId, arrivedNanos, deadline, targetLatencyNanos, maxGapNanos, rank, prompt, Optional.empty());
    }

    /** Creates a job whose prompt has no parts in common with others. */
    public Job(
            String requestId,
            long arrivedNanos,
            Deadline deadline,
            long targetLatencyNanos,
            long maxGapNanos,
            int rank,
            Optional<PromptLengths> prompt,
            Optional<OrganisationId> organisation) {
        this(
                requestId,
                arrivedNanos,
                deadline,
                targetLatencyNanos,
                maxGapNanos,
                rank,
                prompt,
                organisation,
                PromptPrefix.EMPTY);
    }

    /**
     * Creates a job that has not been sent yet. Instants are monotonic time in nanoseconds.
     *
     * @param requestId id of the request in logs
     * @param arrivedNanos time at which the request was received
     * @param deadline time after which the caller, or the route, gives up
     * @param targetLatencyNanos time from arrival within which the answer, or its first piece, is on time
     * @param maxGapNanos longest gap between pieces of the answer that is on time; 0 when there is no limit
     * @param rank priority; 0 is the most urgent
     * @param prompt token counts of the prompt; empty when the request has none
     * @param organisation the organisation whose key the request carries; empty when it carries none
     * @param prefix the parts of the prompt that other prompts may share
     */
    public Job(
            String requestId,
            long arrivedNanos,
            Deadline deadline,
            long targetLatencyNanos,
            long maxGapNanos,
            int rank,
            Optional<PromptLengths> prompt,
            Optional<OrganisationId> organisation,
            PromptPrefix prefix) {
        this.requestId = requestId;
        this.arrivedNanos = arrivedNanos;
        this.deadline = deadline;
        this.targetLatencyNanos = targetLatencyNanos;
        this.maxGapNanos = maxGapNanos;
        this.rank = rank;
        this.prompt = prompt;
        this.organisation = organisation;
        this.prefix = prefix;
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

    public Optional<OrganisationId> organisation() {
        return organisation;
    }

    public PromptPrefix prefix() {
        return prefix;
    }

    /** Length of the prompt; 0 when the request has none. */
    double promptTokens() {
        return prompt.map(PromptLengths::promptTokens).orElse(0L);
    }

    /** Records that a piece of the answer has arrived. */
    public void pieceArrived(long nowNanos) {
        answerStarted = true;
        lastPieceNanos = nowNanos;
    }

    boolean hasAnswerStarted() {
        return answerStarted;
    }

    /** Start of the caller's current wait: the arrival of the request, or of the latest piece. */
    long waitingSinceNanos() {
        return answerStarted ? lastPieceNanos : arrivedNanos;
    }

    /** Longest current wait with which the answer is still on time; 0 within an answer without a gap limit. */
    long allowedWaitNanos() {
        return answerStarted ? maxGapNanos : targetLatencyNanos;
    }

    /** The servers to which the job must not be sent again; modifiable. */
    public Set<BackendServerId> tried() {
        return tried;
    }

    /** Restricts the job to this server, even if it was sent there before. */
    public void pinTo(BackendServerId server) {
        tried.remove(server);
        pinnedServer = Optional.of(server);
    }

    /** The only server to which the job may be sent; empty if any other than those that were tried will do. */
    Optional<BackendServerId> pinnedServer() {
        return pinnedServer;
    }

    /** Ends the restriction to one server. */
    void unpin() {
        pinnedServer = Optional.empty();
    }

    /** Whether the job may be sent to this server: not tried yet, and not excluded by {@link #pinTo}. */
    boolean maySendTo(BackendServerId server) {
        return !tried.contains(server) && pinnedServer.map(server::equals).orElse(true);
    }

    /** Records whether the latest attempt to place the job found no free slot. */
    void setAwaitsSlot(boolean newAwaitsSlot) {
        awaitsSlot = newAwaitsSlot;
    }

    boolean awaitsSlot() {
        return awaitsSlot;
    }

    @Override
    public String toString() {
        return requestId;
    }
}
