package io.figspan.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against stand-ins that lack the faults and limits of the platform: lag, limited rate, stale or old values. */
class PlatformModelsTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    @Test
    void aStaleServiceReturnsTheValueFromWhenItBecameStale() {
        ConfigurationStore store = new ConfigurationStore();
        long index = store.put("k", "old");
        store.setMode(ConfigurationStore.Mode.STALE, 0);
        store.put("k", "new");
        assertEquals("old", store.read("k").orElseThrow().text());
        assertFalse(store.indexDiffers("k", index));
        store.setMode(ConfigurationStore.Mode.UP, 0);
        assertTrue(store.indexDiffers("k", index));
    }

    @Test
    void aRolledBackServiceReturnsAnOlderVersionWithItsOlderIndex() {
        ConfigurationStore store = new ConfigurationStore();
        store.publish(1, Map.of("a", "one"));
        store.publish(2, Map.of("a", "two"));
        long index = store.publish(3, Map.of("a", "three"));
        store.setMode(ConfigurationStore.Mode.BACK, 2);
        assertEquals("one", store.read("settings/parts/a").orElseThrow().text());
        assertTrue(store.indexDiffers("settings/manifest", index));
    }

    @Test
    void aHostListChangeIsVisibleOnlyAfterTheLag() {
        LaggingHostList list = new LaggingHostList(SECOND_NANOS);
        ObjectNode entry = new ObjectMapper().createObjectNode().put("id", "e1").put("state", "live");
        list.upsert(LaggingHostList.Section.BACKEND_SERVERS, entry, 0);
        list.setState("e1", "leaving", SECOND_NANOS / 2);
        assertEquals(0, list.read(SECOND_NANOS - 1).path("backendServers").size());
        assertEquals("live", stateAt(list, SECOND_NANOS));
        assertEquals("leaving", stateAt(list, SECOND_NANOS * 3 / 2));
    }

    @Test
    void loadsShareTheRateOfTheWeightStore() {
        WeightStore store = new WeightStore(100);
        assertEquals(OptionalLong.of(2 * SECOND_NANOS), store.reserve(200, 0));
        assertEquals(OptionalLong.of(3 * SECOND_NANOS), store.reserve(200, SECOND_NANOS));
        assertEquals(OptionalLong.of(SECOND_NANOS), store.reserve(100, 10 * SECOND_NANOS));
        assertTrue(store.reserve(1_000_000, 20 * SECOND_NANOS).isEmpty());
    }

    private static String stateAt(LaggingHostList list, long nowNanos) {
        return list.read(nowNanos).path("backendServers").path(0).path("state").asText();
    }
}
