package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.zip.DataFormatException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class DeflateCodingProperties {
    private static final int MAX_BYTES = 100_000;

    @Property
    void aCompressedBodyIsRestored(@ForAll @Size(max = 40_000) byte[] body) throws DataFormatException {
        assertArrayEquals(body, DeflateCoding.decompress(DeflateCoding.compress(body), MAX_BYTES));
    }

    /** Guards against a body that ends early and is taken for whole. */
    @Property
    void anIncompleteBodyIsRefused(@ForAll @Size(min = 1, max = 2_000) byte[] body) {
        byte[] compressed = DeflateCoding.compress(body);
        for (int length = 0; length < compressed.length; length += 7) {
            byte[] incomplete = Arrays.copyOf(compressed, length);
            assertThrows(DataFormatException.class, () -> DeflateCoding.decompress(incomplete, MAX_BYTES));
        }
    }

    /** Guards against a small message that fills the memory when it is decompressed. */
    @Property(tries = 20)
    void aBodyAboveTheLimitIsRefused(@ForAll byte value) {
        byte[] body = new byte[MAX_BYTES + 1];
        Arrays.fill(body, value);
        byte[] compressed = DeflateCoding.compress(body);

        assertThrows(DataFormatException.class, () -> DeflateCoding.decompress(compressed, MAX_BYTES));
    }
}
