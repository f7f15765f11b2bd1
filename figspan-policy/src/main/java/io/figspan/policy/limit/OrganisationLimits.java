package io.figspan.policy.limit;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.entry.EntryList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The part of each organisation's limit that this host may use. Each of the k home hosts owns 1/k of the limit. The
 * home hosts come from the roster of seats and never from liveness, so both halves of a partition compute the same.
 * Loans between hosts are decided elsewhere and arrive as an allowance.
 */
public final class OrganisationLimits {
    /** Largest number of buckets; the one idle for longest is evicted first. */
    public static final int MAX_ORGANISATIONS = 4_096;

    /**
     * Wait of a new home host before it uses its share. A change is in force everywhere within 3 s, so former home
     * hosts have stopped by then.
     */
    public static final long ROSTER_CHANGE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long UNAVAILABLE_RETRY_MS = 1_000;

    private final HostId self;
    private final long notBeforeNanos;
    private final int maxOrganisations;
    private long refillFromNanos;
    private final Map<OrganisationId, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates limits without any organisation.
     *
     * @param notBeforeNanos time from which own shares are used. A process at a seat that the roster has had for longer
     *     passes its start; one at a newly added seat adds {@link #ROSTER_CHANGE_WAIT_NANOS}.
     */
    public OrganisationLimits(HostId self, long notBeforeNanos) {
        this(self, notBeforeNanos, MAX_ORGANISATIONS);
    }

    OrganisationLimits(HostId self, long notBeforeNanos, int maxOrganisations) {
        this.self = self;
        this.notBeforeNanos = notBeforeNanos;
        this.maxOrganisations = maxOrganisations;
        this.refillFromNanos = notBeforeNanos;
    }

    /** Home hosts of an organisation, best first. */
    public static List<EntryHost> homeHosts(OrganisationId organisation, double share, Collection<EntryHost> roster) {
        return EntryList.choose(organisation, share, roster);
    }

    /**
     * Sets an organisation's limit and the roster that its share follows from. A share that shrinks is in force at
     * once, one that grows after {@link #ROSTER_CHANGE_WAIT_NANOS}, so that the parts of the old and the new roster do
     * not add up to more than the whole.
     */
    public void configure(
            OrganisationId organisation, OrganisationLimit limit, Collection<EntryHost> roster, long nowNanos) {
        List<EntryHost> homes = homeHosts(organisation, limit.share(), roster);
        boolean home = homes.stream().anyMatch(host -> host.host().equals(self));
        double own = home ? limit.tokensPerSecond() / homes.size() : 0;
        Entry entry = entries.get(organisation);
        if (entry == null) {
            evictIfFull(nowNanos);
            entry = new Entry(notBeforeNanos, Math.min(nowNanos, refillFromNanos));
            entries.put(organisation, entry);
        }
        entry.configure(own, limit.burstSeconds(), nowNanos);
    }

    /** Tells whether the organisation has been configured and not evicted since. */
    public boolean isConfigured(OrganisationId organisation) {
        return entries.containsKey(organisation);
    }

    /** The organisations that are configured now. */
    public Set<OrganisationId> organisations() {
        return Set.copyOf(entries.keySet());
    }

    /**
     * Sets what loans add to the own share (positive) or take from it (negative), in tokens per second. The total never
     * falls below 0.
     */
    public void setAllowance(OrganisationId organisation, double tokensPerSecond, long nowNanos) {
        Entry entry = entries.get(organisation);
        if (entry != null) {
            entry.allowance = tokensPerSecond;
            entry.apply(nowNanos);
        }
    }

    /** Own share in tokens per second, without loans; 0 while a new home host waits. */
    public double ownTokensPerSecond(OrganisationId organisation, long nowNanos) {
        Entry entry = entries.get(organisation);
        return entry == null ? 0 : entry.ownInForce(nowNanos);
    }

    /** Takes tokens of work, or answers with the time to come back. */
    public Result<Long> tryTake(OrganisationId organisation, long tokens, long nowNanos) {
        Entry entry = entries.get(organisation);
        if (entry == null) {
            return refused(organisation, UNAVAILABLE_RETRY_MS);
        }
        entry.apply(nowNanos);
        if (entry.bucket.tryTake(tokens, nowNanos)) {
            return Result.ok(tokens);
        }
        long waitNanos = entry.bucket.waitNanos(tokens, nowNanos);
        return refused(
                organisation,
                waitNanos == Long.MAX_VALUE ? UNAVAILABLE_RETRY_MS : 1 + TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    /** Returns tokens of a request that was refused later in the same decision. */
    public void refund(OrganisationId organisation, long tokens, long nowNanos) {
        Entry entry = entries.get(organisation);
        if (entry != null) {
            entry.bucket.refund(tokens, nowNanos);
        }
    }

    public int size() {
        return entries.size();
    }

    private void evictIfFull(long nowNanos) {
        if (entries.size() >= maxOrganisations) {
            entries.remove(entries.keySet().iterator().next());
            // An evicted organisation that comes back must not find its bucket refilled.
            refillFromNanos = Math.max(refillFromNanos, nowNanos);
        }
    }

    private static Result<Long> refused(OrganisationId organisation, long retryAfterMs) {
        return Result.failed(
                Problem.notRun(ProblemKind.LIMIT_REACHED, "organisation " + organisation + " has used its share")
                        .withRetryAfterMs(retryAfterMs));
    }

    /** Bucket and parameters of one organisation. */
    private static final class Entry {
        private final TokenBucket bucket;
        private boolean configured;
        private double previousOwn;
        private double own;
        private double allowance;
        private double burstSeconds;
        private long inForceAtNanos;
        private final long refillFromNanos;

        Entry(long notBeforeNanos, long refillFromNanos) {
            bucket = new TokenBucket(0, 0, refillFromNanos);
            inForceAtNanos = notBeforeNanos;
            this.refillFromNanos = refillFromNanos;
        }

        void configure(double newOwn, double newBurstSeconds, long nowNanos) {
            if (configured && newOwn > own) {
                previousOwn = ownInForce(nowNanos);
                inForceAtNanos = nowNanos + ROSTER_CHANGE_WAIT_NANOS;
            }
            previousOwn = Math.min(previousOwn, newOwn);
            own = newOwn;
            burstSeconds = newBurstSeconds;
            if (!configured) {
                configured = true;
                // Counts the time since the process may use its shares, so that the first request finds its burst.
                apply(refillFromNanos);
            }
            apply(nowNanos);
        }

        double ownInForce(long nowNanos) {
            return nowNanos - inForceAtNanos >= 0 ? own : previousOwn;
        }

        void apply(long nowNanos) {
            double rate = Math.max(0, ownInForce(nowNanos) + allowance);
            bucket.setRate(rate, rate * burstSeconds, nowNanos);
        }
    }
}
