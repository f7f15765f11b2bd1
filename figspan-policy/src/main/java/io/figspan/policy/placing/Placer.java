package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import java.util.List;

/**
 * Scheduler of one service: decides which backend server gets each job, which jobs are queued and which are refused. It
 * does no I/O and is not thread-safe: a single driver passes in events with the monotonic time in nanoseconds and
 * carries out the returned placements in order.
 */
public interface Placer {
    /** Replaces the set of servers that accept new work; jobs on other servers keep running there. */
    void serversChanged(List<AvailableServer> servers, long nowNanos);

    /** A job needs a server: a new job, or one that is retried after a failed attempt. */
    List<Placement> arrived(Job job, long nowNanos);

    /** A job that was sent is no longer on its server; freed capacity may place queued jobs. */
    List<Placement> ended(Job job, AttemptOutcome outcome, long nowNanos);

    /** A helper failed to prefill its share of a job that runs on another server. */
    default void helperFailed(BackendServerId server, long nowNanos) {}

    /** Returns jobs whose server has been silent for much longer than expected, each job once per attempt. */
    default List<Job> overdue(long nowNanos) {
        return List.of();
    }

    /** A job that has ended as silent at this server goes on there, since the attempt was kept open. */
    default void resumed(Job job, BackendServerId server, long nowNanos) {}

    /** A job is done: it won't arrive again or be resumed. */
    default void forgotten(Job job) {}

    /** Removes a job from the queue; does nothing when it isn't queued. */
    void withdrawn(Job job);

    /** Removes all queued jobs and returns them in their order. */
    List<Job> takeWaiting();

    /** Retries queued jobs whose retry is due. The driver calls this every few milliseconds while jobs are queued. */
    List<Placement> tick(long nowNanos);

    /** A piece of a job's streamed answer has arrived; {@code pieces} counts all pieces so far. */
    default void pieceArrived(Job job, long pieces, long nowNanos) {}

    /** Replaces the work that another host has placed; {@code work} is complete, and empty when the host is gone. */
    default List<Placement> peerWork(HostId host, List<PlacedRequest> work, long nowNanos) {
        return List.of();
    }

    /** Returns all work that this host has placed, to be sent to the other hosts. */
    default List<PlacedRequest> ownWork(long nowNanos) {
        return List.of();
    }

    /** Returns the organisations that are limited to their share, or no longer, since the last call. */
    default List<ShareChange> shareChanges(long nowNanos) {
        return List.of();
    }

    /** Number of queued jobs. */
    int waiting();

    /**
     * A server that accepts new work.
     *
     * @param slots maximum number of jobs at once
     * @param incarnationNumber differs for each process that starts under the id
     */
    record AvailableServer(BackendServerId id, int slots, long incarnationNumber) {
        public AvailableServer(BackendServerId id, int slots) {
            this(id, slots, 0);
        }
    }

    /** How an attempt, one sending of a job to a server, ended. */
    enum AttemptOutcome {
        /** The server answered with success. */
        SERVED,
        /** The server answered with a failure. */
        FAILED,
        /** The server rejected the job without running it. */
        TURNED_AWAY,
        /** The server was unreachable, or the connection was lost. */
        BROKEN,
        /** The server was silent for too long; the attempt stays open beside the next one. */
        SILENT,
        /** The server did not run the job because a helper failed. */
        HELPER_FAILED,
        /** The caller disconnected, or its deadline has passed. */
        CANCELLED
    }
}
