package io.figspan.bench.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class FaultsTest {
    private static final int REAL_SEEDS = 40;
    private static final int NAIVE_SEEDS = 200;

    @BeforeAll
    static void silenceLogs() {
        FaultsCommand.silenceLogs();
    }

    /** Guards the guarantees of the design page against lost, late and doubled messages, kills, pauses and cuts. */
    @Test
    void theRealVersionsViolateNothing() {
        for (Variant variant : Variant.ALL) {
            if (!variant.naive()) {
                assertEquals(List.of(), violated(variant, REAL_SEEDS, Integer.MAX_VALUE), variant.name());
            }
        }
    }

    /** Guards against a scenario that would not notice when a mechanism is missing. */
    @Test
    void eachNaiveVersionViolatesItsGuarantee() {
        for (Variant variant : Variant.ALL) {
            if (variant.naive()) {
                assertTrue(!violated(variant, NAIVE_SEEDS, 1).isEmpty(), variant.name());
            }
        }
    }

    /** Guards against a run that cannot be replayed from its seed. */
    @Test
    void aSeedGivesTheSameRunEachTime() {
        for (Variant variant : Variant.ALL) {
            assertEquals(traceOf(variant), traceOf(variant), variant.name());
        }
    }

    private static List<String> traceOf(Variant variant) {
        List<String> lines = new ArrayList<>();
        new FaultRun(3, variant.scenario().get(), lines::add).run();
        return lines;
    }

    /** The violations of the first seeds that have any, up to {@code limit} seeds. */
    private static List<String> violated(Variant variant, int seeds, int limit) {
        List<String> found = new ArrayList<>();
        for (long seed = 1; seed <= seeds && found.size() < limit; seed++) {
            FaultRun faultRun = new FaultRun(seed, variant.scenario().get(), line -> {}).run();
            for (Count kind : variant.counts()) {
                if (faultRun.violations(kind) > 0) {
                    found.add("seed " + seed + ": " + kind.title());
                }
            }
        }
        return found;
    }
}
