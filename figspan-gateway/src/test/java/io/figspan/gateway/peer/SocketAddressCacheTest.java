package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.PeerAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SocketAddressCacheTest {
    private final SocketAddressCache addresses = new SocketAddressCache();

    @Test
    void anIpLiteralResolvesToTheSourceAddressOfItsPackets() {
        assertEquals(
                Optional.of(new InetSocketAddress("127.0.0.9", 7)), addresses.resolve(new PeerAddress("127.0.0.9", 7)));
    }

    @Test
    void aHostNameIsNotLookedUp() {
        assertTrue(addresses.resolve(new PeerAddress("localhost", 7)).isEmpty());
    }

    @Test
    void forgedSendersUseBoundedMemory() {
        for (int port = 1; port <= 3 * SocketAddressCache.MAX_ENTRIES; port++) {
            addresses.resolve(new PeerAddress("10.0.0.1", port));
        }

        assertEquals(SocketAddressCache.MAX_ENTRIES, addresses.size());
    }
}
