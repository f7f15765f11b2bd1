package io.figspan.bench.faults;

import io.figspan.control.hold.GroupMember;
import io.figspan.control.hold.GroupReservation;
import io.figspan.control.hold.HoldAction;
import io.figspan.control.hold.HoldLedger;
import io.figspan.control.hold.HoldLedgerConfig;
import io.figspan.control.hold.HoldState;
import io.figspan.control.hold.ListedHold;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.time.Deadline;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** P2: two hosts reserve groups of three engines; every hold has to come back, and none of a live request early. */
final class HoldScenario implements Scenario {
    private static final long FAULTS_UNTIL_MS = 15_000;
    private static final long DURATION_MS = 45_000;
    private static final long REQUEST_MS = 4_000;
    private static final long STEP_MS = 300;
    private static final long TICK_MS = 100;
    private static final long SWEEP_MS = 1_000;

    private final boolean onlyOwnerReleases;
    private final List<HoldEngine> engines = new ArrayList<>();
    private final List<HoldHost> hosts = new ArrayList<>();

    HoldScenario(boolean onlyOwnerReleases) {
        this.onlyOwnerReleases = onlyOwnerReleases;
    }

    @Override
    public long durationMs() {
        return DURATION_MS;
    }

    @Override
    public void start(FaultRun faultRun) {
        for (int i = 0; i < 3; i++) {
            engines.add(new HoldEngine(faultRun, "e" + i));
            faultRun.scheduleFaults(engines.get(i).process(), FAULTS_UNTIL_MS, 0.15, 0.2);
        }
        for (int i = 0; i < 2; i++) {
            HoldHost host = new HoldHost(faultRun, "h" + i);
            hosts.add(host);
            faultRun.scheduleFaults(host.process, FAULTS_UNTIL_MS, 0.4, 0.4);
            engines.forEach(engine -> faultRun.scheduleCuts(host.process, engine.process(), FAULTS_UNTIL_MS, 0.3));
            for (int prompt = 0; prompt < 6; prompt++) {
                faultRun.after(faultRun.random().nextLong(FAULTS_UNTIL_MS), host::startPrompt);
            }
        }
        faultRun.after(FAULTS_UNTIL_MS + 9_000, faultRun::endFaults);
    }

    @Override
    public void check(FaultRun faultRun) {
        // Holds released early are reported by the engines at the release.
    }

    @Override
    public void finish(FaultRun faultRun) {
        for (HoldEngine engine : engines) {
            for (ListedHold hold : engine.list()) {
                faultRun.violate(Count.HOLDS_LOST, engine.process().name() + " " + hold.handle());
            }
        }
    }

    private boolean isInUse(HoldHandle handle, BackendIncarnation engine) {
        return hosts.stream()
                .anyMatch(host -> host.process.incarnation().equals(handle.owner())
                        && host.process.isAlive()
                        && host.ledger.state(handle).equals(Optional.of(HoldState.HELD)));
    }

    /** A host that takes holds for long prompts and sweeps what the engines list. */
    private final class HoldHost {
        private final FaultRun faultRun;
        private final FaultyProcess process;
        private final List<GroupReservation> groups = new ArrayList<>();
        private HoldLedger ledger;

        HoldHost(FaultRun faultRun, String name) {
            this.faultRun = faultRun;
            this.process = new FaultyProcess(faultRun, name, this::reset);
            reset();
        }

        private void reset() {
            ledger = new HoldLedger(process.incarnation(), new HoldLedgerConfig(1_000, 1_000, 250));
            groups.clear();
            process.every(TICK_MS, this::tick);
            if (!onlyOwnerReleases) {
                process.every(SWEEP_MS, () -> engines.forEach(this::sweep));
            }
        }

        void startPrompt() {
            if (!process.isAlive() || process.isPaused()) {
                return;
            }
            List<GroupMember> members = engines.stream()
                    .map(engine -> new GroupMember(engine.incarnation(), AvailabilityZoneId.of("a"), 1))
                    .toList();
            GroupReservation group =
                    new GroupReservation(ledger, members, Deadline.after(faultRun.nowNanos(), REQUEST_MS), STEP_MS);
            groups.add(group);
            perform(group, group.start(faultRun.nowNanos()));
            process.after(
                    500 + faultRun.random().nextInt(3_000), () -> perform(group, group.release(faultRun.nowNanos())));
        }

        private void tick() {
            for (GroupReservation group : groups) {
                perform(group, group.onTick(faultRun.nowNanos()));
            }
            if (!onlyOwnerReleases) {
                perform(null, ledger.onTick(faultRun.nowNanos()));
            }
        }

        private void perform(GroupReservation group, List<HoldAction> actions) {
            for (HoldAction action : actions) {
                HoldEngine engine = engines.stream()
                        .filter(candidate -> candidate
                                .incarnation()
                                .server()
                                .equals(action.engine().server()))
                        .findFirst()
                        .orElseThrow();
                if (action instanceof HoldAction.Reserve reserve) {
                    reserve(group, engine, reserve);
                } else {
                    release(engine, action.handle());
                }
            }
        }

        private void reserve(GroupReservation group, HoldEngine engine, HoldAction.Reserve reserve) {
            HoldHandle handle = reserve.handle();
            faultRun.send(process, engine.process(), () -> {
                boolean held = engine.reserve(handle, reserve.timeLeftMs());
                faultRun.send(
                        engine.process(),
                        process,
                        () -> perform(
                                group,
                                held
                                        ? group.onReserved(handle, faultRun.nowNanos())
                                        : group.onRefused(handle, faultRun.nowNanos())));
            });
        }

        private void release(HoldEngine engine, HoldHandle handle) {
            faultRun.send(process, engine.process(), () -> {
                boolean wasHeld = engine.release(handle, process.incarnation(), HoldScenario.this::isInUse);
                faultRun.send(engine.process(), process, () -> ledger.onReleaseAnswered(handle, wasHeld));
            });
        }

        private void sweep(HoldEngine engine) {
            faultRun.send(process, engine.process(), () -> {
                BackendIncarnation from = engine.incarnation();
                List<ListedHold> listed = engine.list();
                faultRun.send(engine.process(), process, () -> perform(null, ledger.sweep(from, listed, Map.of())));
            });
        }
    }
}
