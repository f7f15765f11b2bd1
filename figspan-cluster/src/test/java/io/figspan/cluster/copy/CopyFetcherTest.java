package io.figspan.cluster.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.copy.CopyFetcher.Decision;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StoreRevision;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CopyFetcherTest {
    private static final StoreRevision OLD = new StoreRevision(1, 10);
    private static final StoreRevision NEW = new StoreRevision(1, 11);
    private static final Peer ONE = peer("one");
    private static final Peer TWO = peer("two");

    private final CopyFetcher fetcher = new CopyFetcher(new SplittableRandom(1));

    private static Peer peer(String host) {
        return new Peer(
                new HostIncarnation(HostId.of(host), 1),
                AvailabilityZoneId.of("zone"),
                new PeerAddress("10.0.0.1", 7_000));
    }

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private Peer readSource(long nowNanos) {
        return assertInstanceOf(Decision.Read.class, fetcher.next(OLD, false, nowNanos))
                .source();
    }

    @Test
    void nothingIsReadWhileNoHostHasANewerRevision() {
        fetcher.announced(ONE, OLD, OLD, 0);

        assertEquals(new Decision.Idle(), fetcher.next(OLD, false, 0));
        assertFalse(fetcher.isBehind(OLD, 0));
    }

    @Test
    void aNewerRevisionIsReadAtOnceAndOnlyOneReadIsInProgress() {
        fetcher.announced(ONE, NEW, OLD, 0);

        assertTrue(fetcher.isBehind(OLD, 0));
        assertEquals(ONE, readSource(0));
        assertEquals(new Decision.Idle(), fetcher.next(OLD, false, 0));
    }

    @Test
    void aHostThatWatchesTheStoreWaitsForItsNotificationFirst() {
        fetcher.announced(ONE, NEW, OLD, 0);

        assertEquals(new Decision.Wait(CopyFetcher.NOTIFICATION_WAIT_NANOS), fetcher.next(OLD, true, 0));
        assertEquals(new Decision.Idle(), fetcher.next(NEW, true, ms(100)));

        fetcher.announced(ONE, NEW, OLD, ms(200));
        assertInstanceOf(Decision.Wait.class, fetcher.next(OLD, true, ms(200)));
        assertInstanceOf(Decision.Read.class, fetcher.next(OLD, true, ms(350)));
    }

    /** Guards against hosts that all read from the host that reported first. */
    @Test
    void sourcesAreChosenAtRandomAmongAllHostsWithANewerRevision() {
        Set<Peer> chosen = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            CopyFetcher other = new CopyFetcher(new SplittableRandom(seed));
            other.announced(ONE, NEW, OLD, 0);
            other.announced(TWO, NEW, OLD, 0);
            chosen.add(assertInstanceOf(Decision.Read.class, other.next(OLD, false, 0))
                    .source());
        }

        assertEquals(Set.of(ONE, TWO), chosen);
    }

    @Test
    void aBusyOrFailedSourceIsFollowedByAnotherOneAtOnce() {
        fetcher.announced(ONE, NEW, OLD, 0);
        fetcher.announced(TWO, NEW, OLD, 0);
        Peer first = readSource(0);
        fetcher.readEnded(first, ReadResult.BUSY, ms(2));

        Peer second = readSource(ms(2));
        fetcher.readEnded(second, ReadResult.FAILED, ms(4));

        assertFalse(first.equals(second));
        assertInstanceOf(Decision.Wait.class, fetcher.next(OLD, false, ms(4)));
        assertEquals(first, readSource(ms(2) + 2 * ms(40)));
    }

    @Test
    void aHostThatIsSilentIsNoSourceAnyMore() {
        fetcher.announced(ONE, NEW, OLD, 0);
        long laterNanos = CopyFetcher.ANNOUNCEMENT_VALID_NANOS + 1;

        assertEquals(new Decision.Idle(), fetcher.next(OLD, false, laterNanos));
    }

    /** Guards against final refusals by a host that was cut off after it had heard of newer settings. */
    @Test
    void aHostStaysBehindWhileTheOthersAreSilentUntilItHasTheRevision() {
        fetcher.announced(ONE, NEW, OLD, 0);
        long laterNanos = CopyFetcher.MAX_BEHIND_NANOS - 1;

        assertTrue(fetcher.isBehind(OLD, laterNanos));
        assertFalse(fetcher.isBehind(NEW, laterNanos));
    }

    /** Guards against a revision that nobody can deliver and that makes all refusals temporary for good. */
    @Test
    void aRevisionThatIsNoLongerAnnouncedIsForgottenAfterAWhile() {
        fetcher.announced(ONE, NEW, OLD, 0);

        assertFalse(fetcher.isBehind(OLD, CopyFetcher.MAX_BEHIND_NANOS));
    }

    @Test
    void theNumberOfSourcesIsBounded() {
        for (int index = 0; index < 2 * CopyFetcher.MAX_SOURCES; index++) {
            fetcher.announced(peer("host-" + index), NEW, OLD, 0);
        }
        for (int index = 0; index < CopyFetcher.MAX_SOURCES; index++) {
            fetcher.announced(peer("host-" + index), OLD, OLD, 0);
        }

        assertEquals(new Decision.Idle(), fetcher.next(OLD, false, 0));
    }

    /** Guards against reading without pause from a host that announces more than it serves. */
    @Test
    void aReadThatBroughtNothingNewIsNotRepeatedAtOnce() {
        fetcher.announced(ONE, NEW, OLD, 0);
        Peer source = readSource(0);
        fetcher.readEnded(source, ReadResult.COMPLETE, ms(2));

        assertInstanceOf(Decision.Wait.class, fetcher.next(OLD, false, ms(2)));
    }

    /** Guards against hosts that prefer the copy of an earlier epoch since its numbers are higher. */
    @Test
    void aLaterEpochIsNewerWhateverItsNumber() {
        StoreRevision restored = new StoreRevision(2, 3);
        fetcher.announced(ONE, restored, OLD, 0);
        fetcher.announced(TWO, NEW, restored, 0);

        assertTrue(fetcher.isBehind(OLD, 0));
        assertEquals(ONE, readSource(0));
        assertFalse(fetcher.isBehind(restored, 0));
    }

    /** Guards against a host that is notified of changes but can't read them from any other host. */
    @Test
    void aHostWhoseReadHasFailedNeedsTheStoreUntilItIsUpToDate() {
        fetcher.announced(ONE, NEW, OLD, 0);
        readSource(0);
        assertFalse(fetcher.needsStore(OLD, 0));

        fetcher.readEnded(ONE, ReadResult.FAILED, ms(400));

        assertTrue(fetcher.needsStore(OLD, ms(400)));
        assertFalse(fetcher.needsStore(NEW, ms(400)));
    }

    @Test
    void aHostWhoseSourceIsBusyWaitsForIt() {
        fetcher.announced(ONE, NEW, OLD, 0);
        readSource(0);

        fetcher.readEnded(ONE, ReadResult.BUSY, ms(4));

        assertFalse(fetcher.needsStore(OLD, ms(4)));
    }
}
