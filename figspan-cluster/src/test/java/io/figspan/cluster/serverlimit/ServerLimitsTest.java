package io.figspan.cluster.serverlimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.ServerLimitUse;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ServerLimitsTest {
    private static final HostId SELF = HostId.of("host-1");
    private static final HostIncarnation OTHER = new HostIncarnation(HostId.of("host-2"), 1);
    private static final BackendIncarnation SERVER = new BackendIncarnation(BackendServerId.of("engine-1"), 1);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double LIMIT = 1;

    /** Time after which the bucket is full. */
    private static final long FULL_NANOS = 10 * SECOND_NANOS;

    private Set<HostId> users = Set.of(SELF, OTHER.host());
    private final ServerLimits limits = new ServerLimits(SELF, server -> users, new SplittableRandom(1));

    private static PeerMessage.ServerLimitUses use(boolean isLimited, long ageMs, long sentCount) {
        return new PeerMessage.ServerLimitUses(
                List.of(new ServerLimitUse(SERVER, isLimited, isLimited ? LIMIT : 0, ageMs, sentCount)));
    }

    /** Requests that are admitted at this time, one after the other. */
    private int admittedAt(long nowNanos) {
        int admitted = 0;
        while (admitted < 100 && limits.admits(SERVER, nowNanos)) {
            limits.sent(SERVER, nowNanos);
            admitted++;
        }
        return admitted;
    }

    @Test
    void aServerWithoutLimitAdmitsAll() {
        limits.answered(SERVER, OptionalDouble.empty(), 0);

        assertTrue(limits.isEmpty());
        assertEquals(100, admittedAt(0));
    }

    @Test
    void nothingIsAdmittedAtOnceAfterALimitIsNamed() {
        limits.answered(SERVER, OptionalDouble.of(LIMIT), 0);

        assertEquals(0, admittedAt(0));
    }

    @Test
    void aHostLearnsTheLimitFromAnother() {
        limits.receive(OTHER, use(true, 0, 0), 0);

        assertFalse(limits.admits(SERVER, 0));
    }

    @Test
    void requestsOfOtherHostsTakeFromTheSameLimit() {
        limits.answered(SERVER, OptionalDouble.of(LIMIT), 0);
        limits.receive(OTHER, use(true, 0, 0), 0);
        limits.receive(OTHER, use(true, 0, 4), FULL_NANOS);

        assertEquals(0, admittedAt(FULL_NANOS));
    }

    @Test
    void aMessageThatArrivesTwiceOrLateCountsOnce() {
        limits.answered(SERVER, OptionalDouble.of(LIMIT), 0);
        limits.receive(OTHER, use(true, 0, 5), 0);
        limits.receive(OTHER, use(true, 0, 5), FULL_NANOS);
        limits.receive(OTHER, use(true, 0, 3), FULL_NANOS);
        limits.receive(OTHER, use(true, 0, 5), FULL_NANOS);

        assertTrue(limits.admits(SERVER, FULL_NANOS));
    }

    @Test
    void anOlderStatementDoesNotReplaceANewerOne() {
        limits.answered(SERVER, OptionalDouble.of(LIMIT), SECOND_NANOS);

        limits.receive(OTHER, use(false, 900, 0), SECOND_NANOS);

        assertEquals(1, limits.limitedCount());
    }

    @Test
    void aHostThatDoesNotUseTheServerSendsItNothing() {
        users = Set.of(OTHER.host());
        limits.answered(SERVER, OptionalDouble.of(LIMIT), 0);

        assertFalse(limits.admits(SERVER, FULL_NANOS));
    }

    @Test
    void thePartOfASilentHostIsLeftToIt() {
        limits.answered(SERVER, OptionalDouble.of(LIMIT), 0);
        limits.silentHostsChanged(Set.of(OTHER.host()));
        int admitted = 0;
        for (int second = 1; second <= 40; second++) {
            admitted += admittedAt(second * SECOND_NANOS);
        }

        assertTrue(admitted >= 18 && admitted <= 22, admitted + " requests in 40 s");
    }

    @Test
    void aServerThatAcceptsNothingIsStillTriedNowAndThen() {
        limits.answered(SERVER, OptionalDouble.of(0), 0);

        assertEquals(0, admittedAt(SECOND_NANOS));
        assertTrue(admittedAt(30 * SECOND_NANOS) >= 1);
    }

    @Test
    void theLimitOfAServerThatNoLongerRunsIsForgotten() {
        limits.answered(SERVER, OptionalDouble.of(LIMIT), 0);

        limits.retainServers(server -> false);

        assertTrue(limits.isEmpty());
    }

    @Test
    void theTableIsBounded() {
        for (int server = 0; server < 2 * ServerLimits.MAX_SERVERS; server++) {
            BackendIncarnation other = new BackendIncarnation(BackendServerId.of("engine-" + server), 2);
            limits.answered(other, OptionalDouble.of(LIMIT), 0);
        }

        assertEquals(ServerLimits.MAX_SERVERS, limits.limitedCount());
    }
}
