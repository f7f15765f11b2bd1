package io.figspan.cluster.membership;

import io.figspan.core.id.HostId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Selects probe targets: a shuffled round-robin over the live members, so that each is probed once per round.
 * Occasionally a dead member is probed, so that both sides of a healed partition rediscover each other.
 */
final class ProbeSchedule {
    /** Every n-th probe goes to a dead member, if there is one. */
    private static final int DEAD_PROBE_EVERY = 5;

    /** Maximum number of queued members that a peer reports alive while this process has them as dead. */
    private static final int MAX_DISPUTED = 1_024;

    private final RandomGenerator random;
    private final Deque<HostId> round = new ArrayDeque<>();
    private final Deque<HostId> disputed = new ArrayDeque<>();
    private long probeCount;

    ProbeSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Queues an early probe of a member that a peer reports alive while this process has it as dead. */
    void addDisputed(HostId host) {
        if (disputed.size() < MAX_DISPUTED && !disputed.contains(host)) {
            disputed.addLast(host);
        }
    }

    /** The next member to probe; empty when the table has neither live nor dead members. */
    Optional<Member> nextTarget(MemberTable table) {
        probeCount++;
        Optional<Member> early = nextDisputed(table);
        if (early.isPresent()) {
            return early;
        }
        if (probeCount % DEAD_PROBE_EVERY == 0) {
            List<Member> dead = dead(table);
            if (!dead.isEmpty()) {
                return Optional.of(dead.get(random.nextInt(dead.size())));
            }
        }
        return nextLive(table).or(() -> randomDead(table));
    }

    /** Up to {@code count} live members other than {@code excluded}, chosen at random. */
    List<Member> randomLive(MemberTable table, int count, HostId excluded) {
        List<Member> candidates = new ArrayList<>();
        for (Member member : table.all()) {
            if (member.isLive() && !member.host().equals(excluded)) {
                candidates.add(member);
            }
        }
        int chosen = Math.min(count, candidates.size());
        for (int i = 0; i < chosen; i++) {
            Collections.swap(candidates, i, i + random.nextInt(candidates.size() - i));
        }
        return candidates.subList(0, chosen);
    }

    private Optional<Member> nextDisputed(MemberTable table) {
        while (!disputed.isEmpty()) {
            Optional<Member> member = table.find(disputed.pollFirst()).filter(m -> m.state() == Member.State.DEAD);
            if (member.isPresent()) {
                return member;
            }
        }
        return Optional.empty();
    }

    private Optional<Member> nextLive(MemberTable table) {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!round.isEmpty()) {
                Optional<Member> member = table.find(round.pollFirst()).filter(Member::isLive);
                if (member.isPresent()) {
                    return member;
                }
            }
            startRound(table);
        }
        return Optional.empty();
    }

    private void startRound(MemberTable table) {
        List<HostId> hosts = new ArrayList<>();
        for (Member member : table.all()) {
            if (member.isLive()) {
                hosts.add(member.host());
            }
        }
        Collections.shuffle(hosts, new Random(random.nextLong()));
        round.addAll(hosts);
    }

    private Optional<Member> randomDead(MemberTable table) {
        List<Member> dead = dead(table);
        return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
    }

    private static List<Member> dead(MemberTable table) {
        List<Member> dead = new ArrayList<>();
        for (Member member : table.all()) {
            if (member.state() == Member.State.DEAD) {
                dead.add(member);
            }
        }
        return dead;
    }
}
