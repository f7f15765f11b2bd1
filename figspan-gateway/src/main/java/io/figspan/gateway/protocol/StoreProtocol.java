package io.figspan.gateway.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Optional;

/** Translates the calls of a store that keeps items under keys and counts its changes by one revision. */
public interface StoreProtocol {
    /** An item as it was read or written; without a value when it was removed. */
    record Item(String key, Optional<byte[]> value, long revision) {}

    /** A part of the items under a prefix, in the order of their keys, and the store's revision when it was read. */
    record Page(List<Item> items, boolean hasMore, long revision) {
        public Page {
            items = List.copyOf(items);
        }
    }

    /** Target of the call that reads the items under a prefix whose keys come after {@code afterKey}. */
    String rangeTarget(String prefix, String afterKey);

    Page decodeRange(byte[] body) throws JsonProcessingException;

    /** Target of the call that waits for changes under a prefix behind a revision. */
    String watchTarget(String prefix, long afterRevision, long waitMs);

    Page decodeWatch(byte[] body) throws JsonProcessingException;

    /** The status with which the store says that it no longer has the history behind the revision asked for. */
    int historyGoneStatus();
}
