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
 * Delta encoding of a settings part as copies from the old part and literal bytes, deflated. A change of a few lines in
 * a part of 1 MB takes a few hundred bytes.
 */
final class PartDelta {
    /** Maximum size of a part, from the design page; decoding stops with an error beyond it. */
    static final int MAX_PART_BYTES = 1_048_576;

    /** Block size for matching against the old part. Shorter matches cost more than literal bytes. */
    private static final int BLOCK_BYTES = 32;

    private static final int COPY_BYTES = 1 + 2 * Integer.BYTES;
    private static final byte COPY = 1;
    private static final byte LITERAL = 2;

    private PartDelta() {}

    /** Encodes {@code target} as a deflated delta against {@code old}. */
    static Bytes encode(Bytes old, Bytes target) {
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

    /** Applies a deflated delta. Throws a {@code SETTINGS_INVALID} exception if it does not fit the old part. */
    static Bytes apply(Bytes old, Bytes delta) {
        byte[] instructions = inflate(delta).unsafeArray();
        ByteBuffer input = ByteBuffer.wrap(instructions);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            while (input.hasRemaining()) {
                applyInstruction(old.unsafeArray(), instructions, input, out);
            }
        } catch (BufferUnderflowException e) {
            throw invalid("the delta is truncated");
        }
        return Bytes.wrap(out.toByteArray());
    }

    private static void applyInstruction(byte[] old, byte[] instructions, ByteBuffer input, ByteArrayOutputStream out) {
        byte opcode = input.get();
        int offset = opcode == COPY ? input.getInt() : input.position() + Integer.BYTES;
        int length = input.getInt();
        byte[] source = opcode == COPY ? old : instructions;
        boolean fits = offset >= 0 && length >= 0 && length <= source.length - offset;
        if (!fits || (opcode != COPY && opcode != LITERAL)) {
            throw invalid("the delta does not fit the old part");
        }
        if (out.size() + length > MAX_PART_BYTES) {
            throw invalid("the part is larger than " + MAX_PART_BYTES + " bytes");
        }
        out.write(source, offset, length);
        if (opcode == LITERAL) {
            input.position(offset + length);
        }
    }

    /** Deflates a whole part at the fastest level, because a part of 1 MB is deflated on an event loop. */
    static Bytes deflateWhole(Bytes content) {
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

    /** Inflates a part or delta, up to twice the maximum part size, which also bounds a delta with its literals. */
    static Bytes inflate(Bytes content) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(content.unsafeArray());
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[4_096];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw invalid("the deflated data is truncated");
                }
                out.write(buffer, 0, count);
                if (out.size() > 2 * MAX_PART_BYTES) {
                    throw invalid("the part is larger than " + MAX_PART_BYTES + " bytes");
                }
            }
            return Bytes.wrap(out.toByteArray());
        } catch (DataFormatException e) {
            throw invalid("the data cannot be inflated: " + e.getMessage());
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
