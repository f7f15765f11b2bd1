package io.figspan.cluster.copy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.HostId;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays a cell whose hosts learn of a new version at the same time, over links of limited bandwidth. */
class CopySpreadTest {
    private static final int HOSTS = 25;
    private static final int WATCHING_HOSTS = 3;
    private static final long LINK_BYTES_PER_S = 14_000_000 / 8;
    private static final long SLOW_LINK_BYTES_PER_S = 1_000_000 / 8;
    private static final int SEEDS = 20;

    /** Time for a version to be in force everywhere, less the time until the watching hosts have read it. */
    private static final long TARGET_MS = 3_000 - 500;

    /** Guards against hosts that all read from one source and time out together, again and again. */
    @ParameterizedTest
    @ValueSource(ints = {20_000, 540_000, 1_048_576})
    void everyHostOfACellHasALargeVersionInTime(int copyBytes) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCell cell =
                    new SimulatedCell(HOSTS, WATCHING_HOSTS, LINK_BYTES_PER_S, copyBytes, new SplittableRandom(seed));

            cell.runFor(TARGET_MS);

            assertTrue(cell.outdatedHosts().isEmpty(), "seed " + seed + ": outdated are " + cell.outdatedHosts());
        }
    }

    /** Guards against readers on slow links that occupy all sources, so that the other hosts wait for them. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void hostsOnFastLinksHaveALargeVersionInTimeDespiteSlowReaders(int slowHosts) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCell cell =
                    new SimulatedCell(HOSTS, WATCHING_HOSTS, LINK_BYTES_PER_S, 540_000, new SplittableRandom(seed));
            cell.slowLinks(slowHosts, SLOW_LINK_BYTES_PER_S);

            cell.runFor(TARGET_MS);

            List<HostId> outdated = cell.outdatedHosts();
            assertTrue(outdated.size() <= slowHosts, "seed " + seed + ": outdated are " + outdated);
        }
    }
}
