package io.figspan.core.util;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

class FreePortsTest {
    /** So many that a port named twice is all but certain when each is let go before the next one is picked. */
    private static final int PORTS = 600;

    @Test
    void noPortIsPickedTwice() throws IOException {
        List<Integer> picked = FreePorts.pick("127.0.0.1", PORTS);

        assertEquals(PORTS, new HashSet<>(picked).size());
    }
}
