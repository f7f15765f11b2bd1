package io.figspan.cluster.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.cluster.SimulatedCluster;
import io.figspan.core.id.SettingsVersion;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against readers of a large part that fill the links of its sources, give up and start again. */
class SettingsBandwidthTest {
    private static final int HOSTS = 75;
    private static final long UPLINK_BITS_PER_SECOND = 14_000_000;
    private static final long JOIN_SECONDS = 40;
    private static final long IN_FORCE_SECONDS = 3;

    /** Number of values in a part; one takes about 230 bytes, of which 130 are left after compression. */
    private static final int SMALL_PART_KEYS = 249;

    private static final int HALF_MEGABYTE_KEYS = 2_169;
    private static final int KEY_CHARACTERS = 170;
    private static final int KEY_ALPHABET = 64;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPartThatGrowsToHalfAMegabyteIsInForceEverywhereWithinThreeSecondsOverSlowLinks(long seed) {
        SimulatedCluster cluster = startedWith(keys(10, SMALL_PART_KEYS), seed);
        SettingsContent grown = keys(11, HALF_MEGABYTE_KEYS);
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
