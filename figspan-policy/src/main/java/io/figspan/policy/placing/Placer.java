package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import java.util.List;

/**
 * Decides for one service where its jobs go. It is pure and not thread-safe: one driver passes in events with the
 * monotonic time and carries out the placements in order.
 */
public interface Placer {
    /** The servers that may take new work; the others keep the jobs that they have. */
    void serversChanged(List<ServerSeat> servers, long nowNanos);

    /** A job waits for a server, also again after a server failed it. */
    List<Placement> arrived(Job job, long nowNanos);

    /** A job that was sent is no longer at its server. */
    List<Placement> ended(Job job, EndOfWork end, long nowNanos);

    /** A server failed in its part of a job that was sent to another one. */
    default void helperFailed(BackendServerId server, long nowNanos) {}

    /** Jobs at servers that have been silent for much longer than expected; each is named once for each sending. */
    default List<Job> overdue(long nowNanos) {
        return List.of();
    }

    /** A job that waits is withdrawn. */
    void withdrawn(Job job);

    /** Runs what is due; the driver calls it every few milliseconds while jobs wait. */
    List<Placement> tick(long nowNanos);

    /** A piece of a sent job's answer has arrived; {@code pieces} have so far. */
    default void pieceArrived(Job job, long pieces, long nowNanos) {}

    /** All that another host has at the servers now; an empty list when the host is gone. */
    default List<Placement> peerWork(HostId host, List<PlacedRequest> work, long nowNanos) {
        return List.of();
    }

    /** All that this host has at the servers, for the other hosts. */
    default List<PlacedRequest> ownWork(long nowNanos) {
        return List.of();
    }

    /** Number of jobs that wait. */
    int waiting();

    /** A server that may take new work. */
    record ServerSeat(BackendServerId id, int slots) {}

    /** How the work of a job at a server ended. */
    enum EndOfWork {
        /** The server answered with success. */
        SERVED,
        /** The server answered that it could not. */
        FAILED,
        /** The server said that it has not run the job. */
        TURNED_AWAY,
        /** The server can't be reached, the connection broke, or the server is silent. */
        BROKEN,
        /** The server said that another one failed in its part, so it has not run the job. */
        HELPER_FAILED,
        /** The caller left, or its time was over. */
        CANCELLED
    }
}
