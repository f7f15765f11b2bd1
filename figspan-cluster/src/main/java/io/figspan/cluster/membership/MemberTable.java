package io.figspan.cluster.membership;

import io.figspan.cluster.message.Peer;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.Collection;
import java.util.Comparator;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** Bounded table of the other members by seat, with a digest of the live ones. */
final class MemberTable {
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final int maxMembers;
    private final NavigableMap<HostId, Member> members = new TreeMap<>();
    private int liveCount;
    private int liveDigest;

    MemberTable(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    Optional<Member> find(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    Collection<Member> all() {
        return members.values();
    }

    Collection<Member> after(String host) {
        return host.isEmpty()
                ? members.values()
                : members.tailMap(HostId.of(host), false).values();
    }

    int liveCount() {
        return liveCount;
    }

    /** Digest of the set of live processes, self included; the order does not matter. */
    int liveDigest(HostIncarnation self) {
        return liveDigest ^ digest(self);
    }

    /** Adds a member as alive in place of an older process at the seat. Returns null when the table is full. */
    Member add(Peer peer, int refutation) {
        if (!members.containsKey(peer.host()) && members.size() >= maxMembers && !evictOldestGone()) {
            return null;
        }
        Member added = new Member(peer, refutation);
        Member replaced = members.put(peer.host(), added);
        if (replaced != null && replaced.isLive()) {
            count(replaced, -1);
        }
        count(added, 1);
        return added;
    }

    /** Runs a change of a member's state and keeps the counts in step. Returns whether it changed the live set. */
    boolean change(Member member, Runnable change) {
        boolean wasLive = member.isLive();
        change.run();
        if (wasLive != member.isLive()) {
            count(member, wasLive ? -1 : 1);
        }
        return wasLive != member.isLive();
    }

    void removeGoneBefore(long nowNanos, long retentionNanos) {
        members.values().removeIf(member -> !member.isLive() && nowNanos - member.goneAtNanos() > retentionNanos);
    }

    private boolean evictOldestGone() {
        Optional<Member> oldest = members.values().stream()
                .filter(member -> !member.isLive())
                .min(Comparator.comparingLong(Member::goneAtNanos));
        oldest.ifPresent(member -> members.remove(member.host()));
        return oldest.isPresent();
    }

    private void count(Member member, int sign) {
        liveCount += sign;
        liveDigest ^= digest(member.peer().incarnation());
    }

    private static int digest(HostIncarnation incarnation) {
        long mixed = (incarnation.host().value().hashCode() * 31L + incarnation.number()) * HASH_MULTIPLIER;
        return (int) (mixed >>> 32);
    }
}
