package io.figspan.gateway.store;

import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.List;

/** Hears of the items under one prefix. */
public interface StoreListener {
    /** These are all items as of a revision, or of later ones. */
    void onSnapshot(List<Item> items, long revision);

    /** Items were written, or removed when they have no value; the oldest change comes first. May be empty. */
    void onChanged(List<Item> items);

    /** The store is out of reach from now on, until the next items are heard. */
    void onLost();
}
