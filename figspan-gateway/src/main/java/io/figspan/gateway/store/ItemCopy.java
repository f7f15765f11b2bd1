package io.figspan.gateway.store;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * This host's copy of the items under one prefix. Hosts that can't reach the store read it from others: a MessagePack
 * sequence of the newest revision, the number of items, and key, revision and value of each.
 */
public final class ItemCopy {
    /** Most items that are taken from another host; six times the backend servers of the design scale. */
    private static final int MAX_ITEMS = 4_096;

    private final Map<String, Item> items = new TreeMap<>();
    private long revision;

    /** The newest revision among the changes that were applied; 0 before the first. */
    public long revision() {
        return revision;
    }

    /** Takes changes. Returns those that are news, oldest first. */
    public List<Item> apply(List<Item> changes) {
        List<Item> news = new ArrayList<>();
        for (Item change : changes) {
            Item known = items.get(change.key());
            boolean isNews = known == null ? change.value().isPresent() : change.revision() > known.revision();
            revision = Math.max(revision, change.revision());
            if (!isNews) {
                continue;
            }
            news.add(change);
            if (change.value().isPresent()) {
                items.put(change.key(), change);
            } else {
                items.remove(change.key());
            }
        }
        return news;
    }

    /** Takes all items as of a revision; those that are missing were removed. Returns the changes. */
    public List<Item> applyWhole(List<Item> whole, long asOfRevision) {
        if (asOfRevision < revision) {
            return List.of();
        }
        Set<String> keys = new HashSet<>();
        whole.forEach(item -> keys.add(item.key()));
        List<Item> changes = new ArrayList<>();
        for (String key : items.keySet()) {
            if (!keys.contains(key)) {
                changes.add(new Item(key, Optional.empty(), asOfRevision));
            }
        }
        changes.addAll(whole);
        return apply(changes);
    }

    /** Takes the copy of another host, where it is newer. Returns the changes. */
    public List<Item> applyCopy(ItemCopy other) {
        List<Item> changes = applyWhole(List.copyOf(other.items.values()), other.revision);
        revision = Math.max(revision, other.revision);
        return changes;
    }

    /** The form that other hosts read. */
    public byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(revision);
            packer.packArrayHeader(items.size());
            for (Item item : items.values()) {
                byte[] value = item.value().orElseThrow();
                packer.packString(item.key());
                packer.packLong(item.revision());
                packer.packBinaryHeader(value.length);
                packer.writePayload(value);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /** Reads the form of {@link #encode()}; throws a {@code MALFORMED_BODY} exception for anything else. */
    public static ItemCopy decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            ItemCopy copy = new ItemCopy();
            copy.revision = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader();
            if (count > MAX_ITEMS) {
                throw malformed("more than " + MAX_ITEMS + " items");
            }
            for (int i = 0; i < count; i++) {
                String key = unpacker.unpackString();
                long itemRevision = unpacker.unpackLong();
                int length = unpacker.unpackBinaryHeader();
                if (length > bytes.length) {
                    throw malformed("a value longer than the copy");
                }
                copy.items.put(key, new Item(key, Optional.of(unpacker.readPayload(length)), itemRevision));
            }
            return copy;
        } catch (IOException | MessagePackException e) {
            throw malformed(e.getMessage());
        }
    }

    private static FigspanException malformed(String detail) {
        return new FigspanException(ProblemKind.MALFORMED_BODY, detail, Location.of("copy of another host"));
    }
}
