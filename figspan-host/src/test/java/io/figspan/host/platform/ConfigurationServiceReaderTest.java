package io.figspan.host.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.error.FigspanException;
import io.figspan.core.id.SettingsVersion;
import io.figspan.settings.SettingsManifest;
import io.figspan.settings.cfg.PeerAddress;
import io.figspan.standin.platform.ConfigurationStore;
import io.figspan.standin.platform.PlatformStandins;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigurationServiceReaderTest {
    private static final int LIMIT_SECONDS = 30;
    private static final int MANY_READS = 2_000;
    private static final String ADDRESS = "127.0.0.1";

    private final Vertx vertx = Vertx.vertx();
    private final List<SettingsVersion> refused = new ArrayList<>();
    private ConfigurationStore store;
    private ConfigurationServiceReader reader;

    @BeforeEach
    void start() throws Exception {
        PlatformStandins platform = PlatformStandins.start(vertx, ADDRESS, 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
        store = platform.configuration();
        reader = new ConfigurationServiceReader(
                vertx,
                new PeerAddress(ADDRESS, platform.port()),
                (version, problem) -> refused.add(version),
                new MetricRegistry());
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a watcher that reads megabytes for each change of one line. */
    @Test
    void aNewVersionCostsOneReadForEachChangedPart() {
        store.publish(1, Map.of("fleet", "a", "organisations", "b"));
        assertEquals(new SettingsVersion(1), reader.read().blockingGet().version());
        store.publish(2, Map.of("fleet", "a", "organisations", "c"));
        assertEquals(new SettingsVersion(2), reader.read().blockingGet().version());
        Map<String, Long> calls = store.counts().callsByKey();
        assertEquals(1, calls.get(SettingsManifest.partKey("fleet")));
        assertEquals(2, calls.get(SettingsManifest.partKey("organisations")));
    }

    /** Guards against a wrong part that ends the watch without a word to the operator. */
    @Test
    void aPartWithTheWrongDigestIsReportedAsARefusedVersion() {
        store.publish(1, Map.of("fleet", "a"));
        store.put(SettingsManifest.partKey("fleet"), "damaged");
        assertThrows(FigspanException.class, () -> reader.read().blockingGet());
        assertEquals(List.of(new SettingsVersion(1)), refused);
    }

    /** Guards against a read, and a watch after it, that never ends because the service stalled within an answer. */
    @Test
    void aReadWhoseAnswerStallsAfterTheHeadFails() throws Exception {
        HttpServer stalling = vertx.createHttpServer()
                .requestHandler(request ->
                        request.response().putHeader("Content-Length", "1000").write("begun"));
        stalling.listen(0, ADDRESS).toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        ConfigurationServiceReader stalled = new ConfigurationServiceReader(
                vertx,
                new PeerAddress(ADDRESS, stalling.actualPort()),
                (version, problem) -> refused.add(version),
                new MetricRegistry());
        stalled.read().test().awaitDone(LIMIT_SECONDS, TimeUnit.SECONDS).assertError(Throwable.class);
    }

    /** Guards against a response whose body arrives before its handler is set, which left the read without an end. */
    @Test
    void noResponseIsLostWhenReadsStartOnAThreadOfNoEventLoop() {
        for (int version = 1; version <= MANY_READS; version++) {
            store.publish(version, Map.of("fleet", "v" + version));
            SettingsContent content =
                    reader.read().timeout(LIMIT_SECONDS, TimeUnit.SECONDS).blockingGet();
            assertEquals(new SettingsVersion(version), content.version());
        }
    }
}
