package io.figspan.gateway.store;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.List;

/** Receives the items under one prefix. */
public interface StoreListener {
    /** All items under the prefix, each as of the revision or a later one. */
    void onSnapshot(List<Item> items, StoreRevision revision);

    /** Items were written, or removed if they have no value; oldest change first. The list may be empty. */
    void onChanged(List<Item> items);

    /** The store is unreachable from now on, until the next items are received. */
    void onLost();
}
