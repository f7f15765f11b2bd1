package io.figspan.cluster.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.Bytes;
import io.figspan.core.error.FigspanException;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against deltas that decode to a different part, and against data that inflates without limit. */
class PartDeltaProperties {
    private static final int SIZE_BYTES = 20_000;

    @Property(seed = "21", tries = 200)
    void aDeltaDecodesToTheNewPartAfterAnyEdits(@ForAll long seed, @ForAll @IntRange(max = 12) int edits) {
        Random random = new Random(seed);
        byte[] old = new byte[random.nextInt(SIZE_BYTES)];
        for (int i = 0; i < old.length; i++) {
            old[i] = (byte) ('a' + random.nextInt(4));
        }
        byte[] target = old;
        for (int i = 0; i < edits; i++) {
            target = edit(target, random);
        }
        Bytes delta = PartDelta.encode(Bytes.wrap(old), Bytes.wrap(target));
        assertEquals(Bytes.wrap(target), PartDelta.apply(Bytes.wrap(old), delta));
        assertEquals(Bytes.wrap(target), PartDelta.inflate(PartDelta.deflateWhole(Bytes.wrap(target))));
    }

    @Property(seed = "22", tries = 300)
    void aCorruptDeltaIsRejectedOrDecodesToSomePart(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] old = new byte[500];
        random.nextBytes(old);
        byte[] delta =
                PartDelta.encode(Bytes.wrap(old), Bytes.wrap(edit(old, random))).toArray();
        delta[random.nextInt(delta.length)] ^= (byte) (1 + random.nextInt(255));
        try {
            PartDelta.apply(Bytes.wrap(old), Bytes.wrap(delta));
        } catch (FigspanException e) {
            assertTrue(e.detail().length() > 0);
        }
    }

    @Test
    void aOneLineChangeInAPartOfOneMegabyteTakesLessThanTwoHundredBytes() {
        byte[] old = new byte[1_000_000];
        new Random(3).nextBytes(old);
        byte[] target = old.clone();
        target[500_000]++;
        Bytes delta = PartDelta.encode(Bytes.wrap(old), Bytes.wrap(target));
        assertTrue(delta.size() < 200, delta.size() + " bytes");
    }

    @Test
    void dataThatInflatesBeyondTheMaximumPartSizeIsRejected() {
        Bytes bomb = PartDelta.deflateWhole(Bytes.wrap(new byte[3 * PartDelta.MAX_PART_BYTES]));
        assertThrows(FigspanException.class, () -> PartDelta.inflate(bomb));
    }

    private static byte[] edit(byte[] old, Random random) {
        int start = random.nextInt(old.length + 1);
        int removed = random.nextInt(Math.min(100, old.length - start) + 1);
        byte[] inserted = new byte[random.nextInt(100)];
        random.nextBytes(inserted);
        byte[] result = new byte[old.length - removed + inserted.length];
        System.arraycopy(old, 0, result, 0, start);
        System.arraycopy(inserted, 0, result, start, inserted.length);
        System.arraycopy(old, start + removed, result, start + inserted.length, old.length - start - removed);
        return result;
    }
}
