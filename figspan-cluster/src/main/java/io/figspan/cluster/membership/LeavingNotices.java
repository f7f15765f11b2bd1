package io.figspan.cluster.membership;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Backend servers that are known to be leaving, each with its newest leaving incarnation. A notice is never revoked; a
 * full set evicts its oldest entry.
 */
final class LeavingNotices {
    /** Three times the runners of the target fleet size, so that no entry is evicted while its server drains. */
    static final int MAX_BACKENDS = 2_048;

    private static final int MAX_PER_FRAME = 4;
    private static final int MAX_BYTES_PER_FRAME = 400;
    private static final int MAX_PER_BATCH = 256;
    private static final int MAX_QUEUED = 1_024;

    private final Map<BackendServerId, Long> leaving = new LinkedHashMap<>();
    private final UpdateQueue<BackendIncarnation, BackendIncarnation> queue = new UpdateQueue<>(MAX_QUEUED);

    /** Sends notices to each of these hosts. */
    static List<ClusterAction> toEach(List<Peer> hosts, List<BackendIncarnation> backends) {
        PeerMessage notice = new PeerMessage.LeavingNotice(backends);
        return hosts.stream()
                .<ClusterAction>map(host -> new ClusterAction.Send(host.address(), notice))
                .toList();
    }

    /** Adds the notices and queues the new ones for piggybacking. Returns the new ones. */
    List<BackendIncarnation> add(List<BackendIncarnation> backends) {
        List<BackendIncarnation> added = backends.stream().filter(this::add).toList();
        added.forEach(backend -> queue.put(backend, backend));
        return added;
    }

    /** Takes the queued notices that the next frame carries. {@code members} is the number of live members. */
    List<BackendIncarnation> takeForFrame(int members) {
        return queue.take(MAX_PER_FRAME, MAX_BYTES_PER_FRAME, members, UpdateQueue::sizeBytes);
    }

    /** Returns false for a notice about the known incarnation or an older one. */
    private boolean add(BackendIncarnation backend) {
        if (isLeaving(backend)) {
            return false;
        }
        leaving.remove(backend.server());
        if (leaving.size() >= MAX_BACKENDS) {
            leaving.remove(leaving.keySet().iterator().next());
        }
        leaving.put(backend.server(), backend.number());
        return true;
    }

    boolean isLeaving(BackendIncarnation backend) {
        Long number = leaving.get(backend.server());
        return number != null && number >= backend.number();
    }

    /** All notices, split into batches that each fit into one frame, for a host that joins. */
    List<List<BackendIncarnation>> batches() {
        List<BackendIncarnation> all = leaving.entrySet().stream()
                .map(entry -> new BackendIncarnation(entry.getKey(), entry.getValue()))
                .toList();
        List<List<BackendIncarnation>> batches = new ArrayList<>();
        for (int start = 0; start < all.size(); start += MAX_PER_BATCH) {
            batches.add(all.subList(start, Math.min(all.size(), start + MAX_PER_BATCH)));
        }
        return batches;
    }
}
