package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.HostId;
import io.figspan.gateway.log.DecisionLog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ConfigReloaderTest {
    private static final long LIMIT_S = 20;

    private final List<GatewayConfig> applied = new ArrayList<>();
    private final ScriptedSource source = new ScriptedSource();
    private final ConfigReloader reloader = new ConfigReloader(source, config(1, 0.2), new DecisionLog(), applied::add);

    @Test
    void aChangedSourceIsReadWithoutASignal() {
        source.next = config(1, 0.5);

        reloader.tick();

        assertEquals(List.of(config(1, 0.5)), applied);
    }

    @Test
    void anUnchangedSourceIsNotRead() {
        source.changed = false;
        source.next = config(1, 0.5);

        reloader.tick();

        assertTrue(applied.isEmpty());
    }

    @Test
    void anUnchangedConfigurationIsNotAppliedTwice() {
        source.next = config(1, 0.5);

        reloader.reload("test");
        reloader.reload("test");

        assertEquals(1, applied.size());
    }

    @Test
    void anUnreadableConfigurationLeavesTheCurrentOneInForce() {
        source.next = null;

        reloader.reload("test");

        assertTrue(applied.isEmpty());
    }

    @Test
    void portsAndIdentityAreNotReloadable() {
        GatewayConfig moved = config(2, 0.5);

        GatewayConfig reloaded = config(1, 0.2).withReloadable(moved);

        assertEquals(config(1, 0.2).callers(), reloaded.callers());
        assertEquals(0.5, reloaded.retryFraction());
    }

    @Test
    void sighupRunsTheActionInsteadOfEndingTheProcess() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        HangupSignal.handle(received::countDown);

        raiseHangup();

        assertTrue(received.await(LIMIT_S, TimeUnit.SECONDS));
    }

    private static void raiseHangup() throws IOException, InterruptedException {
        long pid = ProcessHandle.current().pid();
        new ProcessBuilder("kill", "-HUP", Long.toString(pid)).start().waitFor();
    }

    private static GatewayConfig config(int port, double retryFraction) {
        InetSocketAddress address = InetSocketAddress.createUnresolved("host", port);
        return TestConfigs.of(HostId.of("host"), address, List.of(), retryFraction);
    }

    /** Returns the configuration that the test has set, or fails if there is none. */
    private static final class ScriptedSource implements ConfigSource {
        private boolean changed = true;
        private GatewayConfig next;

        @Override
        public boolean hasChanged() {
            return changed;
        }

        @Override
        public GatewayConfig read() {
            if (next == null) {
                throw new FigspanException(ProblemKind.HOST_FILE_INVALID, "no such field", Location.of("test"));
            }
            return next;
        }
    }
}
