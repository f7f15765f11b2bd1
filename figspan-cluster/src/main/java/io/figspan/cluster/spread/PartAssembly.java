package io.figspan.cluster.spread;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.io.ByteArrayOutputStream;

/** Joins the chunks of one encoded part, which arrive in order. */
final class PartAssembly {
    /**
     * Size of each chunk but the last. At 14 Mbit/s it takes 37 ms, so a reader sees progress within the pull timeout
     * and a probe behind it is not delayed much.
     */
    static final int CHUNK_BYTES = 65_536;

    /** Maximum size of an encoded part, which may be a delta with its literals. */
    private static final int MAX_ENCODED_BYTES = 2 * PartDelta.MAX_PART_BYTES;

    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private PeerMessage.SettingsPart last;

    int receivedBytes() {
        return received.size();
    }

    /**
     * Adds a chunk; returns false if it is not the next one. Starts anew if the source has encoded the part again in
     * another way. Throws a {@code SETTINGS_INVALID} exception for a size that no host sends.
     */
    boolean add(PeerMessage.SettingsPart part) {
        if (part.offsetBytes() != received.size()) {
            return false;
        }
        if (last != null && !belongsTogether(last, part)) {
            clear();
            return false;
        }
        requireChunkSize(part);
        received.writeBytes(part.change().content().unsafeArray());
        last = part;
        return true;
    }

    boolean isComplete() {
        return last != null && received.size() == last.encodedBytes();
    }

    /** Returns the complete part and starts anew. */
    PartChange take() {
        PartChange change = last.change();
        PartChange whole =
                new PartChange(change.name(), change.digest(), change.base(), Bytes.wrap(received.toByteArray()));
        clear();
        return whole;
    }

    void clear() {
        received.reset();
        last = null;
    }

    private static boolean belongsTogether(PeerMessage.SettingsPart first, PeerMessage.SettingsPart second) {
        return first.encodedBytes() == second.encodedBytes()
                && first.change().name().equals(second.change().name())
                && first.change().base().equals(second.change().base());
    }

    private static void requireChunkSize(PeerMessage.SettingsPart part) {
        int expectedBytes = Math.min(CHUNK_BYTES, part.encodedBytes() - part.offsetBytes());
        boolean valid = part.encodedBytes() <= MAX_ENCODED_BYTES
                && part.change().content().size() == expectedBytes;
        if (!valid) {
            String detail = "part " + part.change().name() + " has a chunk of "
                    + part.change().content().size() + " bytes at " + part.offsetBytes() + " of "
                    + part.encodedBytes();
            throw new FigspanException(ProblemKind.SETTINGS_INVALID, detail, Location.of("settings from a peer"));
        }
    }
}
