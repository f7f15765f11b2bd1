package io.figspan.gateway.store;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Passes the items of one watch to the listeners of several prefixes. One watch for all prefixes halves the calls to
 * the store, which are limited and priced.
 */
public final class PrefixListeners implements StoreListener {
    private final Map<String, StoreListener> listeners = new LinkedHashMap<>();

    public void add(String prefix, StoreListener listener) {
        listeners.put(prefix, listener);
    }

    /** The longest prefix that all added prefixes have in common. */
    public String commonPrefix() {
        return listeners.keySet().stream().reduce(PrefixListeners::commonPrefix).orElse("");
    }

    private static String commonPrefix(String first, String second) {
        int length = 0;
        int maxLength = Math.min(first.length(), second.length());
        while (length < maxLength && first.charAt(length) == second.charAt(length)) {
            length++;
        }
        return first.substring(0, length);
    }

    @Override
    public void onSnapshot(List<Item> items, StoreRevision revision) {
        listeners.forEach((prefix, listener) -> listener.onSnapshot(itemsUnder(prefix, items), revision));
    }

    @Override
    public void onChanged(List<Item> items) {
        listeners.forEach((prefix, listener) -> listener.onChanged(itemsUnder(prefix, items)));
    }

    private static List<Item> itemsUnder(String prefix, List<Item> items) {
        return items.stream().filter(item -> item.key().startsWith(prefix)).toList();
    }

    @Override
    public void onLost() {
        listeners.values().forEach(StoreListener::onLost);
    }
}
