package io.figspan.bench.faults;

import io.figspan.control.leaving.LeavingRegistry;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import java.util.ArrayList;
import java.util.List;

/** P6: three hosts send work to an engine that begins to leave; the platform's list shows it as live for long. */
final class LeavingScenario implements Scenario {
    /** The bound of the design page. */
    private static final long BOUND_MS = 3_000;

    private static final long DURATION_MS = 30_000;
    private static final long LIST_LAG_MS = 15_000;
    private static final long WORK_MS = 250;
    private static final long POLL_MS = 500;
    private static final BackendIncarnation ENGINE = new BackendIncarnation(BackendServerId.of("e0"), 1);

    private final boolean listOnly;
    private final List<LeavingHost> hosts = new ArrayList<>();
    private FaultyProcess engine;
    private long leavesAtMs = Long.MAX_VALUE;
    private long firstSeenMs = Long.MAX_VALUE;

    LeavingScenario(boolean listOnly) {
        this.listOnly = listOnly;
    }

    @Override
    public long durationMs() {
        return DURATION_MS;
    }

    @Override
    public void start(FaultRun faultRun) {
        engine = new FaultyProcess(faultRun, "e0", () -> {});
        for (int i = 0; i < 3; i++) {
            hosts.add(new LeavingHost(faultRun, "h" + i));
            faultRun.scheduleFaults(hosts.get(i).process, 10_000, 0.3, 0.5);
            faultRun.scheduleCuts(hosts.get(i).process, engine, 10_000, 0.3);
        }
        for (int i = 0; i < hosts.size(); i++) {
            faultRun.scheduleCuts(hosts.get(i).process, hosts.get((i + 1) % 3).process, 10_000, 0.3);
        }
        faultRun.after(2_000 + faultRun.random().nextInt(6_000), () -> {
            leavesAtMs = faultRun.nowMs();
            faultRun.note("engine begins to leave");
        });
    }

    @Override
    public void check(FaultRun faultRun) {
        // Work sent too late is reported at the send.
    }

    private boolean isLeaving(FaultRun faultRun) {
        return faultRun.nowMs() >= leavesAtMs;
    }

    /** A host that learns from the list, the engine's reports, refusals and the other hosts. */
    private final class LeavingHost {
        private final FaultRun faultRun;
        private final FaultyProcess process;
        private LeavingRegistry registry;
        private long heardNanos;

        LeavingHost(FaultRun faultRun, String name) {
            this.faultRun = faultRun;
            this.process = new FaultyProcess(faultRun, name, this::reset);
            reset();
        }

        private void reset() {
            registry = new LeavingRegistry(LeavingRegistry.DEFAULT_CAPACITY_SERVERS);
            heardNanos = faultRun.nowNanos() - FaultRun.nanos(60_000);
            process.every(WORK_MS, this::sendWork);
            process.every(POLL_MS, this::poll);
            process.every(1_000, this::gossip);
            process.every(1_000, this::readList);
        }

        private void note(LeavingSource source) {
            firstSeenMs = Math.min(firstSeenMs, faultRun.nowMs());
            if (!listOnly || source == LeavingSource.LIST) {
                registry.onLeaving(ENGINE, source, faultRun.nowNanos());
            }
        }

        private void sendWork() {
            boolean allowed = listOnly
                    ? registry.mayTakeNewWork(ENGINE)
                    : registry.mayTakeNewWork(ENGINE, heardNanos, faultRun.nowNanos());
            if (!allowed) {
                return;
            }
            if (firstSeenMs != Long.MAX_VALUE && faultRun.nowMs() - firstSeenMs > BOUND_MS) {
                faultRun.violate(Count.LEAVING_WORK, process.name() + " at " + faultRun.nowMs());
            }
            faultRun.send(process, engine, () -> {
                if (isLeaving(faultRun)) {
                    faultRun.send(engine, process, () -> note(LeavingSource.REFUSAL));
                }
            });
        }

        private void poll() {
            long askedNanos = faultRun.nowNanos();
            faultRun.send(process, engine, () -> {
                boolean leaving = isLeaving(faultRun);
                faultRun.send(engine, process, () -> {
                    // The age of a report counts from the question, because the answer may be late.
                    heardNanos = Math.max(heardNanos, askedNanos);
                    if (leaving) {
                        note(LeavingSource.REPORT);
                    }
                });
            });
        }

        private void gossip() {
            if (!registry.leaving().isEmpty()) {
                hosts.forEach(host -> faultRun.send(process, host.process, () -> host.note(LeavingSource.GOSSIP)));
            }
        }

        private void readList() {
            if (isLeaving(faultRun) && faultRun.nowMs() - leavesAtMs > LIST_LAG_MS) {
                note(LeavingSource.LIST);
            }
        }
    }
}
