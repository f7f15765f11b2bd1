package io.figspan.gateway.http;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The memory that the connections of all clients hold, with a budget for each kind. Over budget, the connection that
 * holds most of a kind loses it, so that a few expensive clients don't displace ordinary ones. Not thread-safe.
 */
public final class ClientMemory {
    /** Bytes of each connection and kind that don't count; a head with some ten lines takes less. */
    public static final int FREE_BYTES = 2 * 1_024;

    /** Parts of the heap that one kind may hold. */
    private static final int HEAP_PARTS = 8;

    private final long limitBytes;
    private final Map<Kind, Long> usedBytes = new EnumMap<>(Kind.class);

    /** The connections that hold more than the free bytes of a kind, the one that began first at the front. */
    private final Map<Kind, Set<Account>> holders = new EnumMap<>(Kind.class);

    private long evictions;

    /** What the memory is held for. */
    public enum Kind {
        /** Decoded lines of heads and trailers that have not arrived completely. */
        ARRIVING_HEADS(Victim.LARGEST),
        /** Bytes that are not decoded yet: parts of lines, and requests behind the one that is answered. */
        UNDECODED_BYTES(Victim.LARGEST),
        /** Heads of requests whose bodies are awaited. */
        HEADS_BEFORE_BODIES(Victim.LARGEST),
        /** Heads of requests whose answers are awaited. They may run, so they are not refused any more. */
        HEADS_BEFORE_ANSWERS(Victim.NONE),
        /** Answers that are written and that the client has not read. */
        UNREAD_ANSWERS(Victim.OLDEST);

        private final Victim victim;

        Kind(Victim victim) {
            this.victim = victim;
        }
    }

    /** Which connection loses what it holds when the budget of a kind is exhausted. */
    private enum Victim {
        NONE {
            @Override
            Optional<Account> choose(Set<Account> holders, Account grower, Kind kind, long neededBytes) {
                return Optional.empty();
            }
        },
        LARGEST {
            @Override
            Optional<Account> choose(Set<Account> holders, Account grower, Kind kind, long neededBytes) {
                return holders.stream()
                        .filter(holder -> holder != grower && holder.counted(kind) >= neededBytes)
                        .max(Comparator.comparingLong(holder -> holder.counted(kind)));
            }
        },
        OLDEST {
            @Override
            Optional<Account> choose(Set<Account> holders, Account grower, Kind kind, long neededBytes) {
                return holders.stream().filter(holder -> holder != grower).findFirst();
            }
        };

        abstract Optional<Account> choose(Set<Account> holders, Account grower, Kind kind, long neededBytes);
    }

    /** Ends the request or the connection of a client because of what it holds. */
    public interface Evictor {
        void evict(Kind kind);
    }

    /**
     * Creates the budgets.
     *
     * @param limitBytes maximum of each kind
     */
    public ClientMemory(long limitBytes) {
        this.limitBytes = limitBytes;
        for (Kind kind : Kind.values()) {
            holders.put(kind, new LinkedHashSet<>());
        }
    }

    /** Budgets in proportion to the heap: 8 MB for each kind with the 64 MB of the deployment. */
    public static ClientMemory ofHeap() {
        return new ClientMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    /** Opens the account of a connection. */
    public Account open(Evictor evictor) {
        return new Account(evictor);
    }

    public long usedBytes(Kind kind) {
        return usedBytes.getOrDefault(kind, 0L);
    }

    /** Number of connections that have lost what they held. */
    public long evictions() {
        return evictions;
    }

    /** What one connection holds. */
    public final class Account {
        private final Evictor evictor;
        private final Map<Kind, Long> heldBytes = new EnumMap<>(Kind.class);
        private boolean closed;

        private Account(Evictor evictor) {
            this.evictor = evictor;
        }

        private long counted(Kind kind) {
            return Math.max(0, heldBytes.getOrDefault(kind, 0L) - FREE_BYTES);
        }

        /**
         * Sets what the connection holds of a kind. Returns false, and holds as much as before, if that exceeds the
         * budget and no other connection is to lose what it holds. A connection that is the only one may hold more.
         */
        public boolean trySet(Kind kind, long bytes) {
            if (closed) {
                return true;
            }
            long neededBytes = Math.max(0, bytes - FREE_BYTES);
            while (exceedsBudget(kind, neededBytes - counted(kind))) {
                Optional<Account> victim = kind.victim.choose(holders.get(kind), this, kind, neededBytes);
                if (victim.isEmpty()) {
                    return false;
                }
                evictions++;
                victim.get().release(kind);
                victim.get().evictor.evict(kind);
            }
            set(kind, bytes, neededBytes);
            return true;
        }

        private boolean exceedsBudget(Kind kind, long growthBytes) {
            boolean isOnlyHolder = usedBytes(kind) == counted(kind);
            return growthBytes > 0 && !isOnlyHolder && usedBytes(kind) + growthBytes > limitBytes;
        }

        private void set(Kind kind, long bytes, long neededBytes) {
            usedBytes.merge(kind, neededBytes - counted(kind), Long::sum);
            heldBytes.put(kind, bytes);
            if (neededBytes > 0) {
                holders.get(kind).add(this);
            } else {
                holders.get(kind).remove(this);
            }
        }

        /** Adds to what the connection holds of a kind, like {@link #trySet}. */
        public boolean tryAdd(Kind kind, long bytes) {
            return trySet(kind, heldBytes.getOrDefault(kind, 0L) + bytes);
        }

        public void release(Kind kind) {
            set(kind, 0, 0);
        }

        /** The connection is closed and holds nothing from now on. */
        public void close() {
            closed = true;
            for (Kind kind : Kind.values()) {
                release(kind);
            }
        }
    }
}
