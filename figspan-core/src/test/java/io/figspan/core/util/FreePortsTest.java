package io.figspan.core.util;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

class FreePortsTest {
    /** Large enough that a duplicate is almost certain if each port is closed before the next one is chosen. */
    private static final int PORT_COUNT = 600;

    @Test
    void portsAreDistinct() throws IOException {
        List<Integer> picked = FreePorts.pick("127.0.0.1", PORT_COUNT);

        assertEquals(PORT_COUNT, new HashSet<>(picked).size());
    }
}
