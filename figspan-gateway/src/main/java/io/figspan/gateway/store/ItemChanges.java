package io.figspan.gateway.store;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Items under one prefix as sent from one host to another. Encoded as a MessagePack sequence of the two revisions, the
 * number of items, and key, revision and value of each; a revision is its epoch and its number, and the value is nil
 * for a removed item.
 *
 * @param revision newest revision that the sender has
 * @param baseRevision the items are all changes after this revision; {@link StoreRevision#NONE} if they are all items
 */
public record ItemChanges(StoreRevision revision, StoreRevision baseRevision, List<Item> items) {
    /** Most items that are accepted from another host; six times the backend servers of the design scale. */
    private static final int MAX_ITEMS = 4_096;

    public ItemChanges {
        items = List.copyOf(items);
    }

    /** Whether these are all items, so that any item that is not listed was removed. */
    boolean isSnapshot() {
        return baseRevision.equals(StoreRevision.NONE);
    }

    /** Encodes the items for other hosts. */
    public byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(revision, packer);
            pack(baseRevision, packer);
            packer.packArrayHeader(items.size());
            for (Item item : items) {
                pack(item, packer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("encoding to memory failed", e);
        }
    }

    private static void pack(StoreRevision revision, MessageBufferPacker packer) throws IOException {
        packer.packLong(revision.epoch());
        packer.packLong(revision.number());
    }

    private static void pack(Item item, MessageBufferPacker packer) throws IOException {
        packer.packString(item.key());
        pack(item.revision(), packer);
        if (item.value().isEmpty()) {
            packer.packNil();
            return;
        }
        byte[] value = item.value().get();
        packer.packBinaryHeader(value.length);
        packer.writePayload(value);
    }

    /** Decodes the output of {@link #encode()}; throws a {@code MALFORMED_BODY} exception for anything else. */
    public static ItemChanges decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            StoreRevision revision = unpackRevision(unpacker);
            StoreRevision baseRevision = unpackRevision(unpacker);
            int count = unpacker.unpackArrayHeader();
            if (count > MAX_ITEMS) {
                throw malformed("more than " + MAX_ITEMS + " items");
            }
            List<Item> items = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                items.add(unpack(unpacker, bytes.length));
            }
            return new ItemChanges(revision, baseRevision, items);
        } catch (IOException | MessagePackException e) {
            throw malformed(e.getMessage());
        }
    }

    private static StoreRevision unpackRevision(MessageUnpacker unpacker) throws IOException {
        long epoch = unpacker.unpackLong();
        long number = unpacker.unpackLong();
        if (epoch < 0 || number < 0) {
            throw malformed("a revision is negative");
        }
        return new StoreRevision(epoch, number);
    }

    private static Item unpack(MessageUnpacker unpacker, int maxBytes) throws IOException {
        String key = unpacker.unpackString();
        StoreRevision revision = unpackRevision(unpacker);
        if (unpacker.tryUnpackNil()) {
            return new Item(key, Optional.empty(), revision);
        }
        int length = unpacker.unpackBinaryHeader();
        if (length > maxBytes) {
            throw malformed("a value is longer than the whole message");
        }
        return new Item(key, Optional.of(unpacker.readPayload(length)), revision);
    }

    private static FigspanException malformed(String detail) {
        return new FigspanException(ProblemKind.MALFORMED_BODY, detail, Location.of("items from another host"));
    }
}
