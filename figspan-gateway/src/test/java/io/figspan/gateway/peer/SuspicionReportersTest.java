package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.figspan.core.id.HostId;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a silent host of which nobody tells, and against one that is cut off and accuses all others. */
class SuspicionReportersTest {
    private static Set<HostId> hosts(int count) {
        return IntStream.range(0, count).mapToObj(i -> HostId.of("host-" + i)).collect(Collectors.toSet());
    }

    @Test
    void aFewOfTheHostsThatHearEachOtherTell() {
        Set<HostId> hearing = hosts(11);
        long tellers = hearing.stream()
                .filter(host -> {
                    Set<HostId> others = new HashSet<>(hearing);
                    others.remove(host);
                    return SuspicionReporters.tells(host, others);
                })
                .count();
        assertEquals(SuspicionReporters.TELLERS, tellers);
    }

    @Test
    void aHostThatHearsHardlyAnybodyAccusesNobody() {
        HostId alone = HostId.of("alone");
        assertFalse(SuspicionReporters.tells(alone, Set.of()));
        assertFalse(SuspicionReporters.tells(alone, hosts(SuspicionReporters.MIN_AUDIBLE - 1)));
    }
}
