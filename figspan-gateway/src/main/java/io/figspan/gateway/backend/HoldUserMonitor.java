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
 * The engines that use memory which others hold. An engine that reads a long prompt says nothing for seconds, so it is
 * asked now and then whether it lives: else memory would be held for a dead one. It is pure: the owner asks.
 */
final class HoldUserMonitor {
    static final long CHECK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** One check may fail on a connection attempt whose packet is lost. */
    static final int MAX_FAILURES = 2;

    private final Map<HoldGroup, Use> uses = new HashMap<>();

    /** One engine that uses the memory of a group. */
    static final class Use {
        private final HoldGroup group;
        private final BackendServerId engine;
        private final InetSocketAddress address;
        private final Runnable lostListener;
        private long nextCheckNanos;
        private int failures;

        private Use(HoldGroup group, BackendServer engine, Runnable lostListener, long nextCheckNanos) {
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

    void begin(HoldGroup group, BackendServer engine, Runnable lostListener, long nowNanos) {
        uses.put(group, new Use(group, engine, lostListener, nowNanos + CHECK_INTERVAL_NANOS));
    }

    void end(HoldGroup group) {
        uses.remove(group);
    }

    /** The uses whose engine is to be asked now. */
    List<Use> due(long nowNanos) {
        List<Use> due = new ArrayList<>();
        for (Use use : uses.values()) {
            if (nowNanos - use.nextCheckNanos >= 0) {
                use.nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
                due.add(use);
            }
        }
        return due;
    }

    /** The engine was asked. Returns whether the use has just been lost; it has ended then. */
    boolean checked(Use use, boolean isAlive) {
        if (uses.get(use.group) != use) {
            return false;
        }
        use.failures = isAlive ? 0 : use.failures + 1;
        if (use.failures < MAX_FAILURES) {
            return false;
        }
        uses.remove(use.group);
        return true;
    }

    /** An engine no longer holds memory. Returns the use that is lost with it, which has ended. */
    Optional<Use> holdLost(HoldHandle handle) {
        Optional<Use> lost =
                uses.values().stream().filter(use -> use.group.holds(handle)).findFirst();
        lost.ifPresent(use -> uses.remove(use.group));
        return lost;
    }
}
