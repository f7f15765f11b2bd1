package io.figspan.gateway.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against items that reach the listener of another prefix or none. */
class PrefixListenersTest {
    private static final StoreRevision AS_OF = new StoreRevision(1, 7);

    private final List<String> received = new ArrayList<>();
    private final PrefixListeners listeners = new PrefixListeners();

    private final class Recorder implements StoreListener {
        private final String name;

        Recorder(String name) {
            this.name = name;
        }

        @Override
        public void onSnapshot(List<Item> items, StoreRevision revision) {
            received.add(name + " snapshot " + keys(items) + " as of " + revision);
        }

        @Override
        public void onChanged(List<Item> items) {
            received.add(name + " changed " + keys(items));
        }

        @Override
        public void onLost() {
            received.add(name + " lost");
        }

        private static List<String> keys(List<Item> items) {
            return items.stream().map(Item::key).toList();
        }
    }

    private static Item item(String key) {
        return new Item(key, Optional.of(new byte[] {1}), AS_OF);
    }

    @Test
    void eachListenerReceivesTheItemsUnderItsPrefix() {
        listeners.add("settings/", new Recorder("settings"));
        listeners.add("servers/", new Recorder("servers"));

        listeners.onSnapshot(List.of(item("settings/current"), item("other"), item("servers/i-1")), AS_OF);
        listeners.onChanged(List.of(item("servers/i-2")));
        listeners.onLost();

        assertEquals(
                List.of(
                        "settings snapshot [settings/current] as of " + AS_OF,
                        "servers snapshot [servers/i-1] as of " + AS_OF,
                        "settings changed []",
                        "servers changed [servers/i-2]",
                        "settings lost",
                        "servers lost"),
                received);
    }

    @Test
    void theCommonPrefixIsTheLongestThatAllPrefixesBeginWith() {
        assertEquals("", listeners.commonPrefix());
        listeners.add("fleet/servers/", new Recorder("servers"));
        assertEquals("fleet/servers/", listeners.commonPrefix());
        listeners.add("fleet/settings/", new Recorder("settings"));
        assertEquals("fleet/se", listeners.commonPrefix());
        listeners.add("settings/", new Recorder("settings"));
        assertEquals("", listeners.commonPrefix());
    }
}
