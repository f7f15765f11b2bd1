package io.figspan.gateway.backend;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Failure detector for the engines that use memory held at other engines. An engine sends nothing for seconds while it
 * reads a long prompt, so it is checked periodically; otherwise memory would be held for a dead engine. Performs no
 * I/O: the owner sends the checks and reports their results. Not thread-safe.
 */
final class HoldUserMonitor {
    static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /**
     * Consecutive failed checks after which an engine counts as dead. A sound engine may be silent for up to two
     * seconds, in which at most three checks are sent.
     */
    static final int FAILURES_UNTIL_DEAD = 4;

    private final Map<HoldGroup, HoldUser> users = new HashMap<>();

    /** An engine that uses the memory of a hold group. */
    static final class HoldUser {
        private final HoldGroup group;
        private final BackendServerId engine;
        private final InetSocketAddress address;
        private final Runnable lostListener;
        private long nextCheckNanos;
        private int consecutiveFailures;

        private HoldUser(HoldGroup group, BackendServer engine, Runnable lostListener, long nextCheckNanos) {
            this.group = group;
            this.engine = engine.id();
            this.address = engine.address();
            this.lostListener = lostListener;
            this.nextCheckNanos = nextCheckNanos;
        }

        BackendServerId engine() {
            return engine;
        }

        InetSocketAddress address() {
            return address;
        }

        Runnable lostListener() {
            return lostListener;
        }
    }

    /** Starts monitoring the engine that uses a group. */
    void add(HoldGroup group, BackendServer engine, Runnable lostListener, long nowNanos) {
        users.put(group, new HoldUser(group, engine, lostListener, nowNanos + CHECK_INTERVAL_NANOS));
    }

    /** Stops monitoring the engine that uses a group. */
    void remove(HoldGroup group) {
        users.remove(group);
    }

    /** Returns the users to check now and schedules their next checks. */
    List<HoldUser> dueChecks(long nowNanos) {
        List<HoldUser> due = new ArrayList<>();
        for (HoldUser user : users.values()) {
            if (nowNanos - user.nextCheckNanos >= 0) {
                user.nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
                due.add(user);
            }
        }
        return due;
    }

    /** Records the result of a check. Returns true, and stops monitoring the user, if its engine now counts as dead. */
    boolean recordCheck(HoldUser user, boolean isAlive) {
        if (users.get(user.group) != user) {
            return false;
        }
        user.consecutiveFailures = isAlive ? 0 : user.consecutiveFailures + 1;
        if (user.consecutiveFailures < FAILURES_UNTIL_DEAD) {
            return false;
        }
        users.remove(user.group);
        return true;
    }

    /** Handles the loss of a hold. Returns the user that depended on it, which is no longer monitored. */
    Optional<HoldUser> removeByHold(HoldHandle handle) {
        Optional<HoldUser> lost = users.values().stream()
                .filter(user -> user.group.contains(handle))
                .findFirst();
        lost.ifPresent(user -> users.remove(user.group));
        return lost;
    }
}
