package io.figspan.gateway.store;

import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.List;

/** Hears of the items under one prefix. */
public interface StoreListener {
    /** Items were written, or removed when they have no value; the oldest change comes first. */
    void onChanged(List<Item> items);

    /** All changes up to a revision were told. */
    void onCaughtUp(long revision);

    /** The store was lost or regained. */
    void onReachable(boolean reachable);
}
