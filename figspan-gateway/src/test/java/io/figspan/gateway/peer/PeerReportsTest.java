package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.peer.PeerReports.Reception;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PeerReportsTest {
    private static final HostId HOST = HostId.of("host");
    private static final Set<HostId> CELL = Set.of(HOST);
    private static final HostIncarnation FIRST_LIFE = new HostIncarnation(HOST, 1);
    private static final HostIncarnation SECOND_LIFE = new HostIncarnation(HOST, 2);

    private final PeerReports reports = new PeerReports();

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private Reception receive(HostIncarnation sender, long sequence, long storeAgeMs, long nowNanos) {
        return reports.receive(
                sender,
                new PeerMessage.WorkReport(sequence, StoreRevision.NONE, StoreRevision.NONE, storeAgeMs, List.of()),
                nowNanos);
    }

    /** Guards against an older report that replaces a newer one, and against refusing those of a restarted host. */
    @Test
    void onlyReportsOfTheSameLifeCanBeOutdated() {
        assertEquals(Reception.WORK_CHANGED, receive(FIRST_LIFE, 5, 0, 0));
        assertEquals(Reception.OUTDATED, receive(FIRST_LIFE, 5, 0, 0));
        assertEquals(Reception.OUTDATED, receive(FIRST_LIFE, 4, 0, 0));
        assertEquals(Reception.NO_WORK, receive(SECOND_LIFE, 1, 0, 0));
    }

    @Test
    void aHostThatStopsReportingIsTakenAsNewlySilentOnce() {
        receive(FIRST_LIFE, 1, 0, 0);
        long silentNanos = PeerReports.REPORT_TIMEOUT_NANOS;

        assertTrue(reports.isReporting(HOST, silentNanos - 1));
        assertFalse(reports.isReporting(HOST, silentNanos));
        assertEquals(Set.of(), reports.takeNewlySilent(Set.of(), silentNanos));
        assertEquals(CELL, reports.takeNewlySilent(CELL, silentNanos));
        assertEquals(Set.of(), reports.takeNewlySilent(CELL, silentNanos));

        receive(FIRST_LIFE, 2, 0, silentNanos);
        assertEquals(CELL, reports.takeNewlySilent(CELL, 2 * silentNanos));
    }

    @Test
    void theWorkOfASilentHostExpiresOnce() {
        receive(FIRST_LIFE, 1, 0, 0);

        assertEquals(List.of(), reports.takeExpired(PeerReports.WORK_EXPIRY_NANOS - 1));
        assertEquals(List.of(HOST), reports.takeExpired(PeerReports.WORK_EXPIRY_NANOS));
        assertEquals(List.of(), reports.takeExpired(PeerReports.WORK_EXPIRY_NANOS));
    }

    /** Guards against relying on a host for changes of the store that it no longer hears of, or no longer tells. */
    @Test
    void onlyHostsThatReportAndHearFromTheStoreAreSources() {
        receive(FIRST_LIFE, 1, 100, 0);

        assertEquals(List.of(300L), reports.storeAgesMs(CELL, ms(200)));
        assertEquals(List.of(), reports.storeAgesMs(Set.of(), ms(200)));
        assertEquals(List.of(), reports.storeAgesMs(CELL, PeerReports.SOURCE_TIMEOUT_NANOS));

        receive(FIRST_LIFE, 2, -1, ms(300));
        assertEquals(List.of(), reports.storeAgesMs(CELL, ms(300)));
    }
}
