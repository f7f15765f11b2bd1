package io.figspan.policy.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.Result;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.policy.entry.EntryHost;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against shares of hosts that add up to more than the limit, so that an organisation can exceed it. */
class OrganisationLimitsProperties {
    private static final OrganisationId ORGANISATION = OrganisationId.of("organisation");
    private static final long SECOND = 1_000_000_000L;

    private static List<EntryHost> roster(int from, int to) {
        List<EntryHost> roster = new ArrayList<>();
        for (int i = from; i < to; i++) {
            roster.add(new EntryHost(HostId.of("host-" + i), AvailabilityZoneId.of("az-" + i % 3)));
        }
        return roster;
    }

    @Property(tries = 100, seed = "1")
    void allHostsTogetherNeverAdmitMoreThanOneCentralBucket(
            @ForAll @IntRange(min = 1, max = 9) int hosts, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        OrganisationLimit limit = new OrganisationLimit(1_000, 2, 0.5);
        List<OrganisationLimits> hostLimits = new ArrayList<>();
        for (EntryHost host : roster(0, hosts)) {
            OrganisationLimits limits = new OrganisationLimits(host.host(), 0);
            limits.configure(ORGANISATION, limit, roster(0, hosts), 0);
            hostLimits.add(limits);
        }
        double centralTokens = 0;
        long now = 0;
        for (int step = 0; step < 300; step++) {
            long gap = random.nextLong(SECOND / 5);
            now += gap;
            centralTokens = Math.min(2_000, centralTokens + 1_000.0 * gap / SECOND);
            long tokens = 1 + random.nextLong(150);
            Result<Long> taken = hostLimits.get(random.nextInt(hosts)).tryTake(ORGANISATION, tokens, now);
            if (taken.isOk()) {
                centralTokens -= tokens;
            } else {
                assertTrue(((Result.Failed<Long>) taken).problem().retryAfterMs() > 0);
            }
            assertTrue(centralTokens >= -1e-6, "level of the central bucket: " + centralTokens);
        }
    }

    @Property(tries = 50, seed = "1")
    void theSharesUnderTheOldAndTheNewRosterNeverAddUpToMoreThanTheLimit(
            @ForAll @IntRange(min = 3, max = 8) int before,
            @ForAll @IntRange(min = 3, max = 8) int after,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        OrganisationLimit limit = new OrganisationLimit(1_000, 2, 0.2);
        List<OrganisationLimits> hostLimits = new ArrayList<>();
        long[] adoptNanos = new long[8];
        for (int i = 0; i < 8; i++) {
            OrganisationLimits limits = new OrganisationLimits(HostId.of("host-" + i), 0);
            limits.configure(ORGANISATION, limit, roster(0, before), 0);
            hostLimits.add(limits);
            adoptNanos[i] = 20 * SECOND + random.nextLong(3 * SECOND);
        }
        for (long now = 15 * SECOND; now < 40 * SECOND; now += SECOND / 10) {
            double sum = 0;
            for (int i = 0; i < 8; i++) {
                if (adoptNanos[i] > 0 && adoptNanos[i] <= now) {
                    adoptNanos[i] = 0;
                    hostLimits.get(i).configure(ORGANISATION, limit, roster(8 - after, 8), now);
                }
                sum += hostLimits.get(i).ownTokensPerSecond(ORGANISATION, now);
            }
            assertTrue(sum <= 1_000 + 1e-6, "shares add up to " + sum + " at " + now);
        }
    }

    @Test
    void theNumberOfOrganisationsIsBoundedAndTheLeastRecentlyUsedIsEvicted() {
        OrganisationLimits limits = new OrganisationLimits(HostId.of("host-0"), 0, 2);
        OrganisationLimit limit = new OrganisationLimit(1_000, 2, 1);
        for (String name : List.of("a", "b")) {
            limits.configure(OrganisationId.of(name), limit, roster(0, 1), 0);
        }
        limits.tryTake(OrganisationId.of("a"), 1, SECOND);
        limits.configure(OrganisationId.of("c"), limit, roster(0, 1), SECOND);
        assertEquals(2, limits.size());
        assertTrue(limits.tryTake(OrganisationId.of("a"), 1, SECOND).isOk());
        assertTrue(!limits.tryTake(OrganisationId.of("b"), 1, SECOND).isOk());
    }

    @Test
    void aRequestLargerThanTheCapacityDelaysLaterOnesUntilTheBucketHasRefilled() {
        TokenBucket bucket = new TokenBucket(100, 200, 0);
        assertTrue(!bucket.tryTake(1, 0));
        assertTrue(bucket.tryTake(1_000, 2 * SECOND));
        assertEquals(10 * SECOND, bucket.waitNanos(200, 2 * SECOND));
        assertTrue(!bucket.tryTake(200, 12 * SECOND - 1_000));
        assertTrue(bucket.tryTake(200, 12 * SECOND));
    }
}
