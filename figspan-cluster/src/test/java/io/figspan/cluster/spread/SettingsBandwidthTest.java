package io.figspan.cluster.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.cluster.SimulatedCluster;
import io.figspan.core.id.SettingsVersion;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against readers of a large part that fill the links of its sources, give up and start again. */
class SettingsBandwidthTest {
    private static final int HOSTS = 75;
    private static final int ZONES = 3;
    private static final int SEEDS = 3;
    private static final long UPLINK_BITS_PER_SECOND = 14_000_000;
    private static final long JOIN_SECONDS = 40;
    private static final long IN_FORCE_SECONDS = 3;

    /** Number of values in a part; one takes about 230 bytes, of which 130 are left after compression. */
    private static final int SMALL_PART_KEYS = 249;

    private static final int HALF_MEGABYTE_KEYS = 2_169;
    private static final int MEGABYTE_KEYS = 4_600;
    private static final int KEY_CHARACTERS = 170;
    private static final int KEY_ALPHABET = 64;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPartThatGrowsToHalfAMegabyteIsInForceEverywhereWithinThreeSecondsOverSlowLinks(long seed) {
        requireInForceInTimeAfterGrowth(HALF_MEGABYTE_KEYS, seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPartThatGrowsToAMegabyteIsInForceEverywhereWithinThreeSecondsOverSlowLinks(long seed) {
        requireInForceInTimeAfterGrowth(MEGABYTE_KEYS, seed);
    }

    /** Guards against a zone whose hosts all read the settings from the same few seeds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hostsOfAZoneThatStartTogetherGetAMegabyteFromPeersWithinThreeSecondsOverSlowLinks(long seed) {
        SettingsContent content = keys(10, MEGABYTE_KEYS);
        SimulatedCluster cluster = startedWith(content, seed);
        cluster.service = null;
        List<SimulatedCluster.Node> zone = cluster.nodes.stream()
                .filter(node -> node.index % ZONES == 0 && node.index >= SEEDS)
                .toList();
        zone.forEach(SimulatedCluster.Node::kill);
        cluster.run(1);
        zone.forEach(SimulatedCluster.Node::start);
        cluster.run(IN_FORCE_SECONDS);
        requireEverywhere(cluster, content.version());
    }

    private static void requireInForceInTimeAfterGrowth(int keys, long seed) {
        SimulatedCluster cluster = startedWith(keys(10, SMALL_PART_KEYS), seed);
        SettingsContent grown = keys(11, keys);
        cluster.publish(grown);
        cluster.run(IN_FORCE_SECONDS);
        requireEverywhere(cluster, grown.version());
    }

    private static SimulatedCluster startedWith(SettingsContent content, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(HOSTS, seed);
        cluster.uplinkBitsPerSecond = UPLINK_BITS_PER_SECOND;
        cluster.service = content;
        cluster.run(JOIN_SECONDS);
        requireEverywhere(cluster, content.version());
        return cluster;
    }

    /** Content whose part holds random keys, which compression shrinks by a third only. */
    private static SettingsContent keys(long version, int count) {
        SplittableRandom random = new SplittableRandom(count);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append("[route.r").append(i).append("]\nservice = \"note-draft\"\nkey = \"");
            random.ints(KEY_CHARACTERS, '0', '0' + KEY_ALPHABET).forEach(character -> text.append((char) character));
            text.append("\"\n");
        }
        return SettingsContent.of(
                new SettingsVersion(version), Map.of("routes", SimulatedCluster.bytes(text.toString())));
    }

    private static void requireEverywhere(SimulatedCluster cluster, SettingsVersion version) {
        cluster.running().forEach(node -> assertEquals(version, node.inForce, "host h" + node.index));
    }
}
