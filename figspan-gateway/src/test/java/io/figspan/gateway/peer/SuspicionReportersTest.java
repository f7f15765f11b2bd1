package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.figspan.core.id.HostId;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a silent host that no host reports, and against a partitioned host that reports all others. */
class SuspicionReportersTest {
    private static Set<HostId> hosts(int count) {
        return IntStream.range(0, count).mapToObj(i -> HostId.of("host-" + i)).collect(Collectors.toSet());
    }

    @Test
    void aFewOfTheHostsThatHearEachOtherReport() {
        Set<HostId> heard = hosts(11);
        long reporters = heard.stream()
                .filter(host -> {
                    Set<HostId> others = new HashSet<>(heard);
                    others.remove(host);
                    return SuspicionReporters.includes(host, others);
                })
                .count();
        assertEquals(SuspicionReporters.REPORTERS, reporters);
    }

    @Test
    void aHostThatHearsHardlyAnyOtherReportsNone() {
        HostId isolated = HostId.of("alone");
        assertFalse(SuspicionReporters.includes(isolated, Set.of()));
        assertFalse(SuspicionReporters.includes(isolated, hosts(SuspicionReporters.MIN_HEARD - 1)));
    }
}
