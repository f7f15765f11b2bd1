package io.figspan.gateway.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.figspan.core.id.StoreRevision;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Translates the calls to a store that keeps items under keys and numbers all its changes with one revision. */
public interface StoreProtocol {
    /** An item as of a revision; it has no value if it was removed. */
    record Item(String key, Optional<byte[]> value, StoreRevision revision) {}

    /** Some of the items under a prefix, ordered by key, and the store's revision when they were read. */
    record Page(List<Item> items, boolean hasMore, StoreRevision revision) {
        public Page {
            items = List.copyOf(items);
        }
    }

    /** Request target that lists the items under a prefix whose keys come after {@code afterKey}. */
    String rangeTarget(String prefix, String afterKey);

    /** Decodes the response to a listing in an epoch of the store. */
    Page decodeRange(byte[] body, long epoch) throws JsonProcessingException;

    /** Request target that waits for changes under a prefix after a revision. */
    String watchTarget(String prefix, StoreRevision after, long waitMs);

    /** Decodes the response to a watch in an epoch of the store. */
    Page decodeWatch(byte[] body, long epoch) throws JsonProcessingException;

    /**
     * The epoch of the store in the head of a response: the number of its history, which rises each time that the store
     * returns from an older copy; empty if the response names none.
     *
     * @throws io.figspan.core.error.FigspanException if the response names one that can't be read
     */
    OptionalLong epoch(HttpResponse head);

    /** Status that means that the store no longer has the changes after the requested revision. */
    int historyGoneStatus();
}
