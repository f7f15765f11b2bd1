package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.settings.gateway.CallerAccess;
import io.figspan.settings.gateway.GatewaySettings;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against settings without keys that open a host to keys which no version ever had. */
class MissingKeysTest {
    private static final long TIMEOUT_MS = 2_000;

    private final AtomicInteger runs = new AtomicInteger();
    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        gateway.add("plain-1", (request, connection) -> {
            runs.incrementAndGet();
            connection.answer(request, 200, "", "done");
        });
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private GatewaySettings withAccess(CallerAccess access) {
        GatewaySettings same = gateway.settings(TIMEOUT_MS);
        return new GatewaySettings(same.version(), same.routes(), same.services(), same.callerLimits(), access);
    }

    private String call(String key, String path) throws IOException {
        return gateway.callAs(key, "POST", path, "", "body");
    }

    private void assertRefused(String key) throws IOException {
        String response = call(key, "/order/1");
        assertTrue(response.startsWith("HTTP/1.1 401"), response);
    }

    @Test
    void aVersionWithoutKeysAfterOneWithKeysAdmitsNobody() throws IOException {
        gateway.open();
        gateway.apply(withAccess(CallerAccess.OPEN));
        assertRefused(GatewayHarness.KEY);
        assertRefused("never-issued");
        assertEquals(0, runs.get());
    }

    @Test
    void keysOfALaterVersionAreValid() throws IOException {
        gateway.open();
        gateway.apply(withAccess(CallerAccess.OPEN));
        gateway.apply(gateway.settings(TIMEOUT_MS));
        assertTrue(call(GatewayHarness.KEY, "/order/1").startsWith("HTTP/1.1 200"));
        assertRefused("never-issued");
    }

    @Test
    void aPublicRouteNeedsNoKeyInAnyVersion() throws IOException {
        gateway.open();
        gateway.apply(withAccess(CallerAccess.OPEN));
        assertTrue(call("never-issued", "/open/1").startsWith("HTTP/1.1 200"));
    }

    @Test
    void aHostThatRequiresKeysAdmitsNobodyByAFirstVersionWithoutThem() throws IOException {
        gateway.onLoop(() -> gateway.forwarder().requireKeys());
        gateway.open(withAccess(CallerAccess.OPEN));
        assertRefused("never-issued");
        assertEquals(0, runs.get());
    }

    @Test
    void settingsThatNeverHadKeysNeedNone() throws IOException {
        gateway.open(withAccess(CallerAccess.OPEN));
        assertTrue(call("any", "/order/1").startsWith("HTTP/1.1 200"));
    }
}
