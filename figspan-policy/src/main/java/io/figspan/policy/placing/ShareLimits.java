package io.figspan.policy.placing;

import io.figspan.core.id.OrganisationId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Tracks which organisations are limited to their share, so that each change is reported once. */
final class ShareLimits {
    /** A limit ends when it has had no effect for this long, which spans the gaps between bursts of requests. */
    private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Maximum number of limited organisations; further ones are not reported. */
    private static final int MAX_LIMITED = WaitingJobs.MAX_WAITING;

    private final Map<OrganisationId, Limit> limits = new LinkedHashMap<>();
    private final List<ShareChange> changes = new ArrayList<>();

    private static final class Limit {
        long lastNanos;
        long heldBack;
        long refused;
    }

    /** A job of this organisation stays queued because of its share. */
    void heldBack(Job job, long nowNanos) {
        limitOf(job, nowNanos).ifPresent(limit -> limit.heldBack++);
    }

    /** A job of this organisation was displaced from the full queue. */
    void refused(Job job, long nowNanos) {
        limitOf(job, nowNanos).ifPresent(limit -> limit.refused++);
    }

    private Optional<Limit> limitOf(Job job, long nowNanos) {
        OrganisationId owner = OrganisationWork.ownerOf(job);
        Limit limit = limits.get(owner);
        if (limit == null) {
            if (limits.size() >= MAX_LIMITED) {
                return Optional.empty();
            }
            limit = new Limit();
            limits.put(owner, limit);
            changes.add(new ShareChange(owner, true, 0, 0));
        }
        limit.lastNanos = nowNanos;
        return Optional.of(limit);
    }

    /** Returns the changes since the last call. */
    List<ShareChange> takeChanges(long nowNanos) {
        for (Iterator<Map.Entry<OrganisationId, Limit>> left = limits.entrySet().iterator(); left.hasNext(); ) {
            Map.Entry<OrganisationId, Limit> entry = left.next();
            Limit limit = entry.getValue();
            if (nowNanos - limit.lastNanos >= QUIET_NANOS) {
                left.remove();
                changes.add(new ShareChange(entry.getKey(), false, limit.heldBack, limit.refused));
            }
        }
        List<ShareChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }
}
