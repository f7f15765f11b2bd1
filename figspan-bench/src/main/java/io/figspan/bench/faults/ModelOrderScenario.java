package io.figspan.bench.faults;

import io.figspan.control.steward.EngineReport;
import io.figspan.control.steward.EngineRole;
import io.figspan.control.steward.FleetView;
import io.figspan.control.steward.ModelOrder;
import io.figspan.control.steward.ModelPlan;
import io.figspan.control.steward.ModelReconciler;
import io.figspan.control.steward.ModelReconcilerConfig;
import io.figspan.control.steward.ModelShare;
import io.figspan.control.steward.PlannedEngine;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ModelId;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Section 3.6: two stewards, each of which believes in turn that the other is dead, order models on an engine that
 * honours fencing tokens and on one that ignores them, while the settings change. No unload or change of role may take
 * effect after an order of a newer version.
 */
final class ModelOrderScenario implements Scenario {
    private static final long DURATION_MS = 40_000;
    private static final long RECONCILE_MS = 500;
    private static final int SLOTS = 2;
    private static final List<HostId> HOSTS = List.of(HostId.of("h0"), HostId.of("h1"));

    private final boolean ignoresFencing;
    private final List<ModelEngine> engines = new ArrayList<>();
    private long published = 1;

    /** {@code ignoresFencing}: the naive steward, which treats all engines as if they honoured fencing tokens. */
    ModelOrderScenario(boolean ignoresFencing) {
        this.ignoresFencing = ignoresFencing;
    }

    @Override
    public long durationMs() {
        return DURATION_MS;
    }

    @Override
    public void start(FaultRun faultRun) {
        engines.add(new ModelEngine(faultRun, "e0", true));
        engines.add(new ModelEngine(faultRun, "e1", false));
        for (HostId host : HOSTS) {
            StewardHost steward = new StewardHost(faultRun, host);
            faultRun.scheduleFaults(steward.process, 20_000, 0.2, 0.6);
            engines.forEach(engine -> faultRun.scheduleCuts(steward.process, engine.process, 20_000, 0.3));
        }
        for (int i = 0; i < 3; i++) {
            faultRun.after(2_000 + faultRun.random().nextInt(18_000), () -> published++);
        }
    }

    @Override
    public void check(FaultRun faultRun) {
        // Orders that take effect too late are reported by the engines.
    }

    /** Each version wants another model and another role on both engines. */
    private ModelPlan plan(long version) {
        ModelShare share = new ModelShare(ModelId.of("model" + version), 1, version % 2, List.of());
        List<PlannedEngine> planned = engines.stream()
                .map(engine -> new PlannedEngine(engine.incarnation().server(), AvailabilityZoneId.of("a")))
                .toList();
        return ModelPlan.compute(new SettingsVersion(version), List.of(share), planned);
    }

    private static final class ModelEngine {
        private final FaultRun faultRun;
        private final FaultyProcess process;
        private final boolean honoursFencing;
        private final Set<ModelId> loaded = new TreeSet<>();
        private EngineRole role = EngineRole.MIXED;
        private SettingsVersion newest = SettingsVersion.NONE;

        ModelEngine(FaultRun faultRun, String name, boolean honoursFencing) {
            this.faultRun = faultRun;
            this.process = new FaultyProcess(faultRun, name, () -> {});
            this.honoursFencing = honoursFencing;
            loaded.add(ModelId.of("model0"));
        }

        BackendIncarnation incarnation() {
            return new BackendIncarnation(BackendServerId.of(process.name()), process.number());
        }

        void receive(ModelOrder order) {
            boolean late = newest.isNewerThan(order.fence());
            if (late && honoursFencing) {
                return;
            }
            if (late && !order.isAdditive()) {
                faultRun.violate(Count.STALE_ORDER, order.toString());
            }
            newest = late ? newest : order.fence();
            if (order instanceof ModelOrder.Load load && loaded.size() < SLOTS) {
                loaded.add(load.model());
            } else if (order instanceof ModelOrder.Unload unload) {
                loaded.remove(unload.model());
            } else if (order instanceof ModelOrder.SetRole setRole) {
                role = setRole.role();
            }
        }
    }

    private final class StewardHost {
        private final FaultRun faultRun;
        private final HostId host;
        private final FaultyProcess process;
        private ModelReconciler steward;
        private long inForce;
        private boolean believesAlone;
        private long viewNanos;
        private final List<EngineReport> reports = new ArrayList<>();

        StewardHost(FaultRun faultRun, HostId host) {
            this.faultRun = faultRun;
            this.host = host;
            this.process = new FaultyProcess(faultRun, host.value(), this::reset);
            reset();
        }

        private void reset() {
            steward = new ModelReconciler(host, new ModelReconcilerConfig(600, 2_000, 1_000));
            reports.clear();
            inForce = published;
            process.every(RECONCILE_MS, this::reconcile);
            process.every(RECONCILE_MS, () -> engines.forEach(this::poll));
            process.every(1_000, this::learn);
        }

        /** The views of the hosts differ: a version arrives late, and the other host seems dead at times. */
        private void learn() {
            inForce = faultRun.chance(0.5) ? published : inForce;
            believesAlone = faultRun.chance(0.4);
            viewNanos = faultRun.nowNanos();
        }

        private FleetView view() {
            List<HostId> live = believesAlone ? List.of(host) : HOSTS;
            return new FleetView(new SettingsVersion(inForce), live, Set.of(), viewNanos);
        }

        private void poll(ModelEngine engine) {
            faultRun.send(process, engine.process, () -> {
                EngineReport report = new EngineReport(
                        engine.incarnation(),
                        engine.loaded,
                        Set.of(),
                        engine.role,
                        SLOTS - engine.loaded.size(),
                        engine.honoursFencing || ignoresFencing,
                        faultRun.nowNanos());
                faultRun.send(engine.process, process, () -> {
                    reports.removeIf(known -> known.engine().equals(report.engine()));
                    reports.add(report);
                });
            });
        }

        private void reconcile() {
            List<ModelOrder> orders = steward.reconcile(plan(inForce), view(), reports, faultRun.nowNanos());
            for (ModelOrder order : orders) {
                process.after(faultRun.random().nextInt(100), () -> send(order));
            }
        }

        private void send(ModelOrder order) {
            boolean allowed = reports.stream()
                    .filter(report -> report.engine().equals(order.engine()))
                    .anyMatch(report -> steward.mayStillSend(order, report, view(), faultRun.nowNanos()));
            if (allowed) {
                engines.stream()
                        .filter(engine -> engine.incarnation().equals(order.engine()))
                        .forEach(engine -> faultRun.send(process, engine.process, () -> engine.receive(order)));
            }
        }
    }
}
