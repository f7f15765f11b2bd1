package io.figspan.gateway.store;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
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
 * This host's copy of the items under one prefix. Other hosts read it instead of the store: a MessagePack sequence of
 * the newest revision, the revision that it is relative to (0 when it is whole), the number of items, and key, revision
 * and value of each, with nil for the value of one that was removed.
 */
public final class ItemCopy {
    /** Most items that are taken from another host; six times the backend servers of the design scale. */
    private static final int MAX_ITEMS = 4_096;

    /** Removals that are remembered for hosts that ask for the changes only. */
    private static final int MAX_REMOVALS = 1_024;

    private final Map<String, Item> items = new TreeMap<>();
    private final Map<String, Item> removals = new LinkedHashMap<>();
    private long revision;

    /** All removals behind this revision are remembered. */
    private long removalsKnownSince;

    /** The revision that this copy lists the changes behind; 0 when it lists all items. */
    private long baseRevision;

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
            if (change.value().isEmpty()) {
                remember(change);
            }
            if (!isNews) {
                continue;
            }
            news.add(change);
            if (change.value().isPresent()) {
                items.put(change.key(), change);
                removals.remove(change.key());
            } else {
                items.remove(change.key());
            }
        }
        return news;
    }

    private void remember(Item removal) {
        removals.remove(removal.key());
        removals.put(removal.key(), removal);
        if (removals.size() > MAX_REMOVALS) {
            Iterator<Item> oldest = removals.values().iterator();
            removalsKnownSince = Math.max(removalsKnownSince, oldest.next().revision());
            oldest.remove();
        }
    }

    /** Takes all items as of a revision; those that are missing were removed. Returns the changes. */
    public List<Item> applyWhole(List<Item> whole, long asOfRevision) {
        if (asOfRevision < revision) {
            return List.of();
        }
        removalsKnownSince = asOfRevision;
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
        if (other.revision < revision || other.baseRevision > revision) {
            return List.of();
        }
        List<Item> listed = new ArrayList<>(other.removals.values());
        listed.addAll(other.items.values());
        List<Item> changes = other.baseRevision == 0 ? applyWhole(listed, other.revision) : apply(listed);
        revision = Math.max(revision, other.revision);
        return changes;
    }

    /**
     * The form that other hosts read: the changes behind a revision, or all items when not all changes are known.
     *
     * @param afterRevision what the other host has; 0 asks for all items
     */
    public byte[] encode(long afterRevision) {
        boolean whole = afterRevision <= 0 || afterRevision < removalsKnownSince;
        List<Item> listed = new ArrayList<>();
        if (!whole) {
            removals.values().stream()
                    .filter(item -> item.revision() > afterRevision)
                    .forEach(listed::add);
        }
        items.values().stream()
                .filter(item -> whole || item.revision() > afterRevision)
                .forEach(listed::add);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(revision);
            packer.packLong(whole ? 0 : afterRevision);
            packer.packArrayHeader(listed.size());
            for (Item item : listed) {
                pack(item, packer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    private static void pack(Item item, MessageBufferPacker packer) throws IOException {
        packer.packString(item.key());
        packer.packLong(item.revision());
        if (item.value().isEmpty()) {
            packer.packNil();
            return;
        }
        byte[] value = item.value().get();
        packer.packBinaryHeader(value.length);
        packer.writePayload(value);
    }

    /** Reads the form of {@link #encode}; throws a {@code MALFORMED_BODY} exception for anything else. */
    public static ItemCopy decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            ItemCopy copy = new ItemCopy();
            copy.revision = unpacker.unpackLong();
            copy.baseRevision = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader();
            if (count > MAX_ITEMS) {
                throw malformed("more than " + MAX_ITEMS + " items");
            }
            for (int i = 0; i < count; i++) {
                String key = unpacker.unpackString();
                long itemRevision = unpacker.unpackLong();
                if (unpacker.tryUnpackNil()) {
                    copy.removals.put(key, new Item(key, Optional.empty(), itemRevision));
                    continue;
                }
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
