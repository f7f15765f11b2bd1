package io.figspan.cluster.spread;

import io.figspan.cluster.message.Bytes;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Difference between two versions of a settings part as copies from the old part and literal bytes, deflated. A change
 * of a few lines in a part of one megabyte takes some hundred bytes.
 */
final class PartDelta {
    /** Largest part, from the design page; a longer result is refused while it is being built. */
    static final int MAX_PART_BYTES = 1_048_576;

    /** Blocks of the old part that are looked up in the new one. Shorter matches cost more than literal bytes. */
    private static final int BLOCK_BYTES = 32;

    private static final int COPY_BYTES = 1 + 2 * Integer.BYTES;
    private static final byte COPY = 1;
    private static final byte LITERAL = 2;

    private PartDelta() {}

    /** Deflated delta that turns {@code old} into {@code target}. */
    static Bytes between(Bytes old, Bytes target) {
        byte[] from = old.unsafeArray();
        byte[] to = target.unsafeArray();
        Map<Integer, Integer> blocks = indexBlocks(from);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int literalStart = 0;
        int position = 0;
        while (position + BLOCK_BYTES <= to.length) {
            Integer offset = blocks.get(hash(to, position));
            int length = offset == null ? 0 : matchLength(from, offset, to, position);
            if (length < BLOCK_BYTES) {
                position++;
                continue;
            }
            writeLiteral(out, to, literalStart, position);
            out.writeBytes(ByteBuffer.allocate(COPY_BYTES)
                    .put(COPY)
                    .putInt(offset)
                    .putInt(length)
                    .array());
            position += length;
            literalStart = position;
        }
        writeLiteral(out, to, literalStart, to.length);
        return deflate(out.toByteArray(), Deflater.BEST_COMPRESSION);
    }

    /** Applies a deflated delta. Throws a {@code SETTINGS_INVALID} exception when it does not fit the old part. */
    static Bytes apply(Bytes old, Bytes delta) {
        byte[] steps = inflate(delta).unsafeArray();
        ByteBuffer input = ByteBuffer.wrap(steps);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            while (input.hasRemaining()) {
                applyStep(old.unsafeArray(), steps, input, out);
            }
        } catch (BufferUnderflowException e) {
            throw invalid("the delta ends early");
        }
        return Bytes.wrap(out.toByteArray());
    }

    private static void applyStep(byte[] old, byte[] steps, ByteBuffer input, ByteArrayOutputStream out) {
        byte kind = input.get();
        int offset = kind == COPY ? input.getInt() : input.position() + Integer.BYTES;
        int length = input.getInt();
        byte[] source = kind == COPY ? old : steps;
        boolean fits = offset >= 0 && length >= 0 && length <= source.length - offset;
        if (!fits || (kind != COPY && kind != LITERAL)) {
            throw invalid("the delta does not fit the old part");
        }
        if (out.size() + length > MAX_PART_BYTES) {
            throw invalid("the part is larger than " + MAX_PART_BYTES + " bytes");
        }
        out.write(source, offset, length);
        if (kind == LITERAL) {
            input.position(offset + length);
        }
    }

    /** Deflates a whole part. Speed comes first, since a part of one megabyte is deflated on an event loop. */
    static Bytes whole(Bytes content) {
        return deflate(content.unsafeArray(), Deflater.BEST_SPEED);
    }

    private static Bytes deflate(byte[] content, int level) {
        Deflater deflater = new Deflater(level, true);
        try {
            deflater.setInput(content);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[4_096];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return Bytes.wrap(out.toByteArray());
        } finally {
            deflater.end();
        }
    }

    /** Inflates at most twice the largest part, which bounds a delta and its literal bytes. */
    static Bytes inflate(Bytes content) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(content.unsafeArray());
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[4_096];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw invalid("the part ends early");
                }
                out.write(buffer, 0, count);
                if (out.size() > 2 * MAX_PART_BYTES) {
                    throw invalid("the part is larger than " + MAX_PART_BYTES + " bytes");
                }
            }
            return Bytes.wrap(out.toByteArray());
        } catch (DataFormatException e) {
            throw invalid("the part is not deflated: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }

    private static Map<Integer, Integer> indexBlocks(byte[] from) {
        Map<Integer, Integer> blocks = new HashMap<>();
        for (int offset = 0; offset + BLOCK_BYTES <= from.length; offset += BLOCK_BYTES) {
            blocks.putIfAbsent(hash(from, offset), offset);
        }
        return blocks;
    }

    private static int hash(byte[] bytes, int offset) {
        int hash = 1;
        for (int i = offset; i < offset + BLOCK_BYTES; i++) {
            hash = 31 * hash + bytes[i];
        }
        return hash;
    }

    private static int matchLength(byte[] from, int fromOffset, byte[] to, int toOffset) {
        int mismatch = Arrays.mismatch(from, fromOffset, from.length, to, toOffset, to.length);
        return mismatch < 0 ? Math.min(from.length - fromOffset, to.length - toOffset) : mismatch;
    }

    private static void writeLiteral(ByteArrayOutputStream out, byte[] to, int start, int end) {
        if (end > start) {
            out.write(LITERAL);
            out.writeBytes(
                    ByteBuffer.allocate(Integer.BYTES).putInt(end - start).array());
            out.write(to, start, end - start);
        }
    }

    private static FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.SETTINGS_INVALID, detail, Location.of("settings part"));
    }
}
