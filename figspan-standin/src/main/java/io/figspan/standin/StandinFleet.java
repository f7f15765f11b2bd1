package io.figspan.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.standin.engine.EngineOptions;
import io.figspan.standin.engine.EngineServer;
import io.figspan.standin.platform.LaggingHostList;
import io.figspan.standin.platform.PlatformStandins;
import io.figspan.standin.service.PlainService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Stand-ins of one deployment: engines in three availability zones, plain services and the platform. */
public final class StandinFleet {
    /** Availability zones of the fleet. */
    public static final List<String> ZONES = List.of("az-1", "az-2", "az-3");

    /** Organisation with a rate limit that a few prompts exhaust. */
    public static final String SMALL_ORGANISATION = "small";

    /** Model that all engines have loaded when they start. */
    public static final String MODEL = "fig-large";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx vertx;
    private final String address;
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<PlainService> services = new ArrayList<>();
    private PlatformStandins platform;

    public StandinFleet(Vertx vertx, String address) {
        this.vertx = vertx;
        this.address = address;
    }

    public List<EngineServer> engines() {
        return engines;
    }

    public List<PlainService> services() {
        return services;
    }

    public PlatformStandins platform() {
        return platform;
    }

    /** Starts all stand-ins on free ports. Every third engine ignores fencing tokens. */
    public Future<Void> start(int enginesPerZone, int serviceCount) {
        Future<Void> started = PlatformStandins.start(vertx, address, 0)
                .onSuccess(running -> platform = running)
                .mapEmpty();
        for (String zone : ZONES) {
            for (int i = 1; i <= enginesPerZone; i++) {
                EngineOptions options = EngineOptions.of("engine-" + zone + "-" + i, zone, MODEL)
                        .withChecksFencingTokens(i % 3 != 0);
                EngineServer engine = new EngineServer(options, address, 0);
                engines.add(engine);
                started = started.compose(unused -> vertx.deployVerticle(engine).mapEmpty());
            }
        }
        for (int i = 1; i <= serviceCount; i++) {
            PlainService service = new PlainService("orders-" + i, address, 0, i % 2 == 0);
            services.add(service);
            started = started.compose(unused -> vertx.deployVerticle(service).mapEmpty());
        }
        return started;
    }

    /**
     * Publishes the host list and version 1 of the settings. The lag of the host list is 0 meanwhile, so that the first
     * read returns all entries.
     */
    public void publish(List<StandinFiles.HostPorts> hosts) {
        long nowNanos = System.nanoTime();
        platform.hostList().setLagNanos(0);
        for (EngineServer engine : engines) {
            ObjectNode entry = listEntry(
                    engine.options().server().value(),
                    engine.port(),
                    engine.options().availabilityZone().value(),
                    engine.incarnation());
            entry.put("kind", "modelEngine").putArray("services");
            platform.hostList().upsert(LaggingHostList.Section.BACKEND_SERVERS, entry, nowNanos);
        }
        for (PlainService service : services) {
            ObjectNode entry = listEntry(service.name() + "-server", service.port(), ZONES.get(0), 1);
            entry.put("kind", "plainService").putArray("services").add(service.name());
            platform.hostList().upsert(LaggingHostList.Section.BACKEND_SERVERS, entry, nowNanos);
        }
        for (StandinFiles.HostPorts host : hosts) {
            ObjectNode entry = listEntry(host.id(), host.callerPort(), host.availabilityZone(), 1);
            platform.hostList().upsert(LaggingHostList.Section.HOSTS, entry, nowNanos);
        }
        platform.hostList().read(nowNanos);
        platform.hostList().setLagNanos(PlatformStandins.DEFAULT_LAG_MS * 1_000_000);
        platform.configuration().publish(1, Map.of("fleet.toml", settingsText(hosts)));
        platform.answerPendingWatches();
    }

    private ObjectNode listEntry(String id, int port, String zone, long incarnation) {
        return MAPPER.createObjectNode()
                .put("id", id)
                .put("address", address)
                .put("port", port)
                .put("availabilityZone", zone)
                .put("incarnation", incarnation)
                .put("state", "live");
    }

    /**
     * Returns the settings of the fleet, of the two organisations that the quickstart uses and of
     * {@link #SMALL_ORGANISATION}.
     */
    private String settingsText(List<StandinFiles.HostPorts> hosts) {
        StringBuilder text = new StringBuilder("[fleet]\n");
        text.append("tokenKey = \"").append(StandinFiles.TOKEN_KEY).append("\"\n\n");
        text.append("[fleet.engines]\n")
                .append("prefillTokensPerSecond = ")
                .append(EngineOptions.DEFAULT_PREFILL_TOKENS_PER_STEP * 1_000 / EngineOptions.DEFAULT_STEP_MS)
                .append("\nprefillChunkTokens = ")
                .append(EngineOptions.DEFAULT_PREFILL_TOKENS_PER_STEP)
                .append("\ndecodeStepMicros = ")
                .append(EngineOptions.DEFAULT_STEP_MS * 1_000)
                .append("\n\n");
        text.append("[fleet.roster]\n");
        hosts.forEach(host -> text.append(host.id())
                .append(" = \"")
                .append(host.availabilityZone())
                .append("\"\n"));
        text.append("\n[organisation.").append(SMALL_ORGANISATION).append("]\n");
        text.append("limits.tokensPerSecond = 100_000\nlimits.burstTokens = 10_000\n");
        for (String organisation : List.of("driftglass", "brisbane")) {
            text.append("\n[organisation.").append(organisation).append("]\n");
            text.append("share = 0.5\n");
            text.append("limits.tokensPerSecond = 3_000_000\n");
            text.append("limits.burstTokens = 10_000_000\n");
            for (PlainService service : services) {
                text.append("\n[organisation.")
                        .append(organisation)
                        .append(".service.")
                        .append(service.name())
                        .append("]\nkind = \"order\"\n");
                text.append("orders.idempotencyKey = ")
                        .append(service.honoursIdempotencyKey())
                        .append('\n');
            }
        }
        return text.toString();
    }
}
