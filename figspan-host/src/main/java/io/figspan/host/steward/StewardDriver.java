package io.figspan.host.steward;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.control.steward.EngineReport;
import io.figspan.control.steward.EngineRole;
import io.figspan.control.steward.FleetView;
import io.figspan.control.steward.ModelOrder;
import io.figspan.control.steward.ModelPlan;
import io.figspan.control.steward.ModelReconciler;
import io.figspan.control.steward.ModelReconcilerConfig;
import io.figspan.control.steward.ModelShare;
import io.figspan.control.steward.PlannedEngine;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ModelId;
import io.figspan.host.HostContext;
import io.figspan.host.StrictHttpClients;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineMessages;
import io.figspan.settings.ModelSetting;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.Json;
import io.vertx.rxjava3.core.buffer.Buffer;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the engines that this host stewards for reports and sends them what {@link ModelReconciler} decides. Does
 * nothing while the settings name no models. Used on the event loop only.
 */
public final class StewardDriver {
    private static final Logger LOG = LoggerFactory.getLogger(StewardDriver.class);
    private static final String PREFIX = Part.STEWARD.logPrefix();
    private static final long PERIOD_MS = 2_000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int SECONDS_PER_MINUTE = 60;

    /** Models, versions and adapters assumed to fit beside each other, because engines do not report free places. */
    private static final int SLOTS = 2;

    private final HostContext context;
    private final Supplier<Membership> membership;
    private final HttpClient client;
    private final Map<BackendServerId, EngineReport> reports = new HashMap<>();
    private ModelReconcilerConfig config = ModelReconcilerConfig.DEFAULT;
    private ModelReconciler steward;

    /** Seats believed alive, this host's included, and when that was last confirmed. */
    public record Membership(List<HostId> liveHosts, long atNanos) {}

    /** JSON form of a model order. */
    record OrderBody(
            @JsonProperty("fence") long fence,
            @JsonProperty("action") String action,
            @JsonProperty("model") String model) {}

    public StewardDriver(HostContext context, Supplier<Membership> membership) {
        this.context = context;
        this.membership = membership;
        this.client = HttpClient.newInstance(StrictHttpClients.create(
                context.vertx(), new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS), context.metrics()));
        this.steward = new ModelReconciler(context.config().hostId(), config);
    }

    public void start() {
        context.vertx().setPeriodic(PERIOD_MS, id -> tick());
    }

    private void tick() {
        ResolvedSettings fleet = context.tree().fleet();
        if (fleet.models().isEmpty()) {
            return;
        }
        reconfigure(fleet);
        ModelPlan plan = plan(fleet);
        FleetView view = view();
        reports.keySet().retainAll(plan.assignments().keySet());
        for (ModelOrder order : steward.reconcile(plan, view, reports.values(), context.nowNanos())) {
            send(order);
        }
        for (BackendTable.Server engine : context.backends().engines()) {
            if (view.isResponsible(context.config().hostId(), engine.id())) {
                askForReport(engine, fleet);
            }
        }
    }

    /** The rate of the weight store in loads of the largest model. */
    private void reconfigure(ResolvedSettings fleet) {
        long largestMegabytes = fleet.models().stream()
                .mapToLong(ModelSetting::sizeMegabytes)
                .max()
                .orElse(ModelSetting.DEFAULT_SIZE_MEGABYTES);
        double megabytesPerMinute =
                fleet.integer(SettingKey.WEIGHT_STORE_MEGABYTES_PER_SECOND) * (double) SECONDS_PER_MINUTE;
        ModelReconcilerConfig wanted = new ModelReconcilerConfig(
                megabytesPerMinute / Math.max(1, largestMegabytes), config.maxReportAgeMs(), config.orderRetryMs());
        if (!wanted.equals(config)) {
            config = wanted;
            steward = new ModelReconciler(context.config().hostId(), config);
        }
    }

    private ModelPlan plan(ResolvedSettings fleet) {
        List<ModelShare> shares = fleet.models().stream()
                .map(model -> new ModelShare(model.model(), model.share(), 0, List.of()))
                .toList();
        List<PlannedEngine> engines = context.backends().engines().stream()
                .filter(engine -> !engine.isLeaving())
                .map(engine -> new PlannedEngine(engine.id(), engine.listed().availabilityZone()))
                .toList();
        return ModelPlan.compute(context.settings().version(), shares, engines);
    }

    private FleetView view() {
        Set<BackendIncarnation> leaving = context.backends().engines().stream()
                .filter(BackendTable.Server::isLeaving)
                .map(BackendTable.Server::incarnation)
                .collect(Collectors.toSet());
        Membership now = membership.get();
        return new FleetView(context.settings().version(), now.liveHosts(), leaving, now.atNanos());
    }

    private void askForReport(BackendTable.Server engine, ResolvedSettings fleet) {
        boolean honoursFencing = fleet.flag(SettingKey.BACKEND_CHECKS_FENCING_TOKENS);
        long askedNanos = context.nowNanos();
        context.engines().report(engine).onSuccess(report -> {
            if (report.models() != null) {
                reports.put(engine.id(), toReport(engine, report, honoursFencing, askedNanos));
            }
        });
    }

    private static EngineReport toReport(
            BackendTable.Server engine, EngineMessages.Report report, boolean honoursFencing, long askedNanos) {
        Set<ModelId> loaded = new TreeSet<>();
        report.models().forEach(model -> loaded.add(ModelId.of(model)));
        int freeSlots = Math.max(0, SLOTS - loaded.size());
        return new EngineReport(
                new BackendIncarnation(engine.id(), report.incarnation()),
                loaded,
                new HashSet<>(),
                role(report.role()),
                freeSlots,
                honoursFencing,
                askedNanos);
    }

    private static EngineRole role(String name) {
        for (EngineRole role : EngineRole.values()) {
            if (role.name().toLowerCase(Locale.ROOT).equals(name)) {
                return role;
            }
        }
        return EngineRole.MIXED;
    }

    // Sending

    /** Connects, checks the order against a fresh view, and sends it once. */
    private void send(ModelOrder order) {
        BackendTable.Server engine =
                context.backends().find(order.engine().server()).orElse(null);
        if (engine == null) {
            return;
        }
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(engine.address())
                .setPort(engine.port())
                .setURI("/v1/model-orders");
        var unused = client.rxRequest(options)
                .subscribe(
                        connected -> sendIfStillRight(order, connected),
                        cause -> LOG.warn("{} {}: no connection: {}", PREFIX, order, cause.getMessage()));
    }

    private void sendIfStillRight(ModelOrder order, HttpClientRequest connected) {
        EngineReport report = reports.get(order.engine().server());
        if (report == null || !steward.mayStillSend(order, report, view(), context.nowNanos())) {
            LOG.info("{} {} is no longer right and was not sent", PREFIX, order);
            connected.reset();
            return;
        }
        context.count("modelOrders.sent");
        context.timeline().add(Part.STEWARD, "modelOrder", "", order.toString());
        var unused = connected
                .putHeader("Content-Type", "application/json")
                .rxSend(Buffer.newInstance(Json.encodeToBuffer(body(order))))
                .subscribe(
                        response -> LOG.info("{} {} answered {}", PREFIX, order, response.statusCode()),
                        cause -> LOG.warn("{} {}: {}", PREFIX, order, cause.getMessage()));
    }

    static OrderBody body(ModelOrder order) {
        long fence = order.fence().number();
        if (order instanceof ModelOrder.Load load) {
            return new OrderBody(fence, "load", load.model().value());
        }
        if (order instanceof ModelOrder.Unload unload) {
            return new OrderBody(fence, "unload", unload.model().value());
        }
        EngineRole role = ((ModelOrder.SetRole) order).role();
        return new OrderBody(fence, "role", role.name().toLowerCase(Locale.ROOT));
    }
}
