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
 * Enforces this host's share of the rate limit of each organisation. Each of the k home hosts of an organisation owns
 * 1/k of its limit. Home hosts are chosen from the configured roster of hosts and never by liveness, so that both sides
 * of a network partition compute the same shares. Loans of quota between hosts are negotiated elsewhere and set as an
 * allowance.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 */
public final class OrganisationLimits {
    /** Maximum number of organisations with a token bucket; the least recently used is evicted. */
    public static final int MAX_ORGANISATIONS = 4_096;

    /**
     * Delay before a new home host uses its share. A roster change takes effect on all hosts within 3 s, so the former
     * home hosts have stopped using their shares by then.
     */
    public static final long ROSTER_CHANGE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long UNAVAILABLE_RETRY_MS = 1_000;

    private final HostId self;
    private final long notBeforeNanos;
    private final int maxOrganisations;
    private long refillFromNanos;
    private final Map<OrganisationId, LimitState> states = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an instance without any organisation.
     *
     * @param notBeforeNanos time from which this host uses its shares: the start of the process if the host was in the
     *     roster before, or {@link #ROSTER_CHANGE_WAIT_NANOS} later if it was newly added
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

    /** Returns the home hosts of an organisation, in order of preference. */
    public static List<EntryHost> homeHosts(OrganisationId organisation, double share, Collection<EntryHost> roster) {
        return EntryList.choose(organisation, share, roster);
    }

    /**
     * Sets the limit of an organisation and the roster from which this host's share follows. A smaller share takes
     * effect immediately and a larger one after {@link #ROSTER_CHANGE_WAIT_NANOS}, so that the shares under the old and
     * the new roster never add up to more than the limit.
     */
    public void configure(
            OrganisationId organisation, OrganisationLimit limit, Collection<EntryHost> roster, long nowNanos) {
        List<EntryHost> homes = homeHosts(organisation, limit.share(), roster);
        boolean isHome = homes.stream().anyMatch(host -> host.host().equals(self));
        double ownRate = isHome ? limit.tokensPerSecond() / homes.size() : 0;
        LimitState state = states.get(organisation);
        if (state == null) {
            evictIfFull(nowNanos);
            state = new LimitState(notBeforeNanos, Math.min(nowNanos, refillFromNanos));
            states.put(organisation, state);
        }
        state.configure(ownRate, limit.burstSeconds(), nowNanos);
    }

    /** Tells whether the organisation has been configured and not been evicted since. */
    public boolean isConfigured(OrganisationId organisation) {
        return states.containsKey(organisation);
    }

    /** Returns a copy of the set of configured organisations. */
    public Set<OrganisationId> organisations() {
        return Set.copyOf(states.keySet());
    }

    /**
     * Sets the net quota borrowed from other hosts (positive) or lent to them (negative), in tokens per second. The
     * resulting rate is never below 0.
     */
    public void setAllowance(OrganisationId organisation, double tokensPerSecond, long nowNanos) {
        LimitState state = states.get(organisation);
        if (state != null) {
            state.allowance = tokensPerSecond;
            state.apply(nowNanos);
        }
    }

    /** This host's share in tokens per second, without loans; 0 until the delay of a new home host has passed. */
    public double ownTokensPerSecond(OrganisationId organisation, long nowNanos) {
        LimitState state = states.get(organisation);
        return state == null ? 0 : state.effectiveOwnRate(nowNanos);
    }

    /** Takes {@code tokens} from the bucket of the organisation, or fails with a retry-after time. */
    public Result<Long> tryTake(OrganisationId organisation, long tokens, long nowNanos) {
        LimitState state = states.get(organisation);
        if (state == null) {
            return refused(organisation, UNAVAILABLE_RETRY_MS);
        }
        state.apply(nowNanos);
        if (state.bucket.tryTake(tokens, nowNanos)) {
            return Result.ok(tokens);
        }
        long waitNanos = state.bucket.waitNanos(tokens, nowNanos);
        return refused(
                organisation,
                waitNanos == Long.MAX_VALUE ? UNAVAILABLE_RETRY_MS : 1 + TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    /** Returns the tokens of a request that was refused after they had been taken. */
    public void refund(OrganisationId organisation, long tokens, long nowNanos) {
        LimitState state = states.get(organisation);
        if (state != null) {
            state.bucket.refund(tokens, nowNanos);
        }
    }

    public int size() {
        return states.size();
    }

    private void evictIfFull(long nowNanos) {
        if (states.size() >= maxOrganisations) {
            states.remove(states.keySet().iterator().next());
            // Prevents an evicted organisation from getting a full bucket when it is configured again.
            refillFromNanos = Math.max(refillFromNanos, nowNanos);
        }
    }

    private static Result<Long> refused(OrganisationId organisation, long retryAfterMs) {
        return Result.failed(
                Problem.notRun(ProblemKind.LIMIT_REACHED, "organisation " + organisation + " has used its share")
                        .withRetryAfterMs(retryAfterMs));
    }

    /** Token bucket and rate parameters of one organisation. */
    private static final class LimitState {
        private final TokenBucket bucket;
        private boolean configured;
        private double previousOwnRate;
        private double ownRate;
        private double allowance;
        private double burstSeconds;
        private long effectiveAtNanos;
        private final long refillFromNanos;

        LimitState(long notBeforeNanos, long refillFromNanos) {
            bucket = new TokenBucket(0, 0, refillFromNanos);
            effectiveAtNanos = notBeforeNanos;
            this.refillFromNanos = refillFromNanos;
        }

        void configure(double newOwnRate, double newBurstSeconds, long nowNanos) {
            if (configured && newOwnRate > ownRate) {
                previousOwnRate = effectiveOwnRate(nowNanos);
                effectiveAtNanos = nowNanos + ROSTER_CHANGE_WAIT_NANOS;
            }
            previousOwnRate = Math.min(previousOwnRate, newOwnRate);
            ownRate = newOwnRate;
            burstSeconds = newBurstSeconds;
            if (!configured) {
                configured = true;
                // Refills for the time since this host was allowed to use its shares, so that the first request finds
                // its burst.
                apply(refillFromNanos);
            }
            apply(nowNanos);
        }

        double effectiveOwnRate(long nowNanos) {
            return nowNanos - effectiveAtNanos >= 0 ? ownRate : previousOwnRate;
        }

        void apply(long nowNanos) {
            double rate = Math.max(0, effectiveOwnRate(nowNanos) + allowance);
            bucket.setRate(rate, rate * burstSeconds, nowNanos);
        }
    }
}
