package io.figspan.cluster.membership;

import io.figspan.cluster.message.MemberUpdate;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** Bounded table of the other members by host id, with a digest of the live ones. */
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

    /** Members whose host ids sort after {@code host}; all members when it is empty. */
    Collection<Member> membersAfter(String host) {
        return host.isEmpty()
                ? members.values()
                : members.tailMap(HostId.of(host), false).values();
    }

    int liveCount() {
        return liveCount;
    }

    /** Order-independent digest of the set of live incarnations, {@code self} included. */
    int liveDigest(HostIncarnation self) {
        return liveDigest ^ digest(self);
    }

    /** Adds a live member, replacing an older incarnation of the host. Returns null when the table is full. */
    Member add(Peer peer, int refutation) {
        if (!members.containsKey(peer.host()) && members.size() >= maxMembers && !evictOldestGone()) {
            return null;
        }
        Member added = new Member(peer, refutation);
        Member replaced = members.put(peer.host(), added);
        if (replaced != null && replaced.isLive()) {
            updateLiveSet(replaced, -1);
        }
        updateLiveSet(added, 1);
        return added;
    }

    /** Changes a member's state and updates the live count and digest. Returns whether the live set changed. */
    boolean applyChange(Member member, Runnable change) {
        boolean wasLive = member.isLive();
        change.run();
        if (wasLive != member.isLive()) {
            updateLiveSet(member, wasLive ? -1 : 1);
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

    private void updateLiveSet(Member member, int delta) {
        liveCount += delta;
        liveDigest ^= digest(member.peer().incarnation());
    }

    private static int digest(HostIncarnation incarnation) {
        long mixed = (incarnation.host().value().hashCode() * 31L + incarnation.number()) * HASH_MULTIPLIER;
        return (int) (mixed >>> 32);
    }

    /** The live members in the order of their host ids; modifiable. */
    List<Peer> live() {
        List<Peer> live = new ArrayList<>();
        for (Member member : all()) {
            if (member.isLive()) {
                live.add(member.peer());
            }
        }
        return live;
    }

    /**
     * A page of the live members whose host ids sort after {@code after}.
     *
     * @param first updates at the beginning of the page
     */
    PeerMessage.MembersPage livePage(String after, List<MemberUpdate> first, int maxUpdates) {
        List<MemberUpdate> entries = new ArrayList<>(first);
        for (Member member : membersAfter(after)) {
            if (entries.size() >= maxUpdates) {
                return new PeerMessage.MembersPage(entries, true);
            }
            if (member.isLive()) {
                entries.add(new MemberUpdate.Alive(member.peer(), member.refutation()));
            }
        }
        return new PeerMessage.MembersPage(entries, false);
    }
}
