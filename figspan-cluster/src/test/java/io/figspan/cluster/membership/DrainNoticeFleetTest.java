package io.figspan.cluster.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.cluster.SimulatedCluster;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hosts that don't know in time that a backend server drains, when one host alone has been notified. */
class DrainNoticeFleetTest {
    /** Shortest time on any site after which a draining server must get no more requests. */
    private static final long SHORTEST_DRAIN_S = 2;

    private static final long START_S = 20;
    private static final int NOTIFIED = 1;
    private static final BackendIncarnation SERVER = new BackendIncarnation(BackendServerId.of("engine-3"), 7);

    private static SimulatedCluster started(int size, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(size, seed);
        cluster.run(START_S);
        return cluster;
    }

    private static void notifyOne(SimulatedCluster cluster) {
        SimulatedCluster.Node node = cluster.nodes.get(NOTIFIED);
        Set<HostId> hostsUsing =
                cluster.nodes.stream().map(other -> other.peer().host()).collect(Collectors.toSet());
        node.execute(node.host.backendLeaving(SERVER, hostsUsing), node.index);
    }

    private static void assertKnownBy(SimulatedCluster cluster, Predicate<Integer> hosts) {
        List<Integer> missing = cluster.running()
                .filter(node -> hosts.test(node.index) && !node.leaving.contains(SERVER))
                .map(node -> node.index)
                .toList();
        assertEquals(List.of(), missing);
    }

    @ParameterizedTest
    @CsvSource({"6,1", "6,2", "24,1", "24,2", "75,1", "75,2", "75,3", "400,1"})
    void allHostsKnowItInTimeAlthoughEachTenthMessageIsLost(int size, long seed) {
        SimulatedCluster cluster = started(size, seed);
        cluster.lossProbability = 0.1;

        notifyOne(cluster);
        cluster.run(SHORTEST_DRAIN_S);

        assertKnownBy(cluster, index -> true);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hostsThatCanOnlyReceiveKnowItInTime(long seed) {
        SimulatedCluster cluster = started(75, seed);
        cluster.blocked = (from, to) -> from % 3 == 0;

        notifyOne(cluster);
        cluster.run(SHORTEST_DRAIN_S);

        assertKnownBy(cluster, index -> true);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hostsThatWerePausedMeanwhileKnowItSoonAfterwards(long seed) {
        SimulatedCluster cluster = started(24, seed);
        cluster.nodes.stream().filter(node -> node.index % 4 == 0).forEach(node -> node.pause(seconds(5)));

        notifyOne(cluster);
        cluster.run(5 + SHORTEST_DRAIN_S);

        assertKnownBy(cluster, index -> true);
    }

    @Test
    void aHostThatStartsLaterKnowsItWhenItHasJoined() {
        SimulatedCluster cluster = started(24, 1);
        SimulatedCluster.Node restarted = cluster.nodes.get(5);
        restarted.kill();
        notifyOne(cluster);
        cluster.run(1);

        restarted.start();
        cluster.run(SHORTEST_DRAIN_S);

        assertKnownBy(cluster, index -> true);
    }

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }
}
