package io.figspan.bench.faults;

import io.figspan.control.lifecycle.HostLifecycle;
import io.figspan.control.lifecycle.HostState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** P7: one of three hosts shuts down gracefully while callers keep entry lists for a while and requests are long. */
final class ShutdownScenario implements Scenario {
    /** How a host shuts down. */
    enum Scheme {
        FIGSPAN,
        /** It finishes what is in flight and exits, without waiting for the callers' lists. */
        NO_LIST_WAIT,
        /** It waits for the lists and exits, whatever is in flight. */
        NO_DRAIN
    }

    private static final long DURATION_MS = 60_000;
    private static final long KEEP_SECONDS = 5;
    /** Covers an answer with an entry list that is late on its way. */
    private static final long LIST_MARGIN_MS = 4_000;

    private static final long LIMIT_MS = 50_000;
    private static final long TICK_MS = 100;
    private static final int CALLERS = 4;
    private static final int REQUESTS = 25;

    private final Scheme scheme;
    private final List<ShutdownHost> hosts = new ArrayList<>();
    private FaultyProcess callers;

    ShutdownScenario(Scheme scheme) {
        this.scheme = scheme;
    }

    @Override
    public long durationMs() {
        return DURATION_MS;
    }

    @Override
    public void start(FaultRun faultRun) {
        callers = new FaultyProcess(faultRun, "callers", () -> {});
        for (int i = 0; i < 3; i++) {
            hosts.add(new ShutdownHost(faultRun, "h" + i));
            faultRun.scheduleFaults(hosts.get(i).process, 20_000, 0, 0.5);
        }
        for (int i = 0; i < CALLERS; i++) {
            Caller caller = new Caller(faultRun);
            for (int request = 0; request < REQUESTS; request++) {
                faultRun.after(faultRun.random().nextLong(20_000), caller::send);
            }
        }
        faultRun.after(3_000 + faultRun.random().nextInt(8_000), () -> {
            faultRun.note("h0 shuts down");
            hosts.get(0).lifecycle.onShutdown(KEEP_SECONDS, faultRun.nowNanos());
        });
    }

    @Override
    public void check(FaultRun faultRun) {
        hosts.forEach(ShutdownHost::check);
    }

    private List<ShutdownHost> listed() {
        return hosts.stream().filter(host -> host.lifecycle.isListed()).toList();
    }

    private final class ShutdownHost {
        private final FaultRun faultRun;
        private final FaultyProcess process;
        private final HostLifecycle lifecycle = new HostLifecycle(LIST_MARGIN_MS, LIMIT_MS);
        private final Set<String> inFlight = new HashSet<>();
        private long requests;
        private boolean exited;

        ShutdownHost(FaultRun faultRun, String name) {
            this.faultRun = faultRun;
            this.process = new FaultyProcess(faultRun, name, () -> {});
            lifecycle.onSettingsReady();
            process.every(TICK_MS, this::tick);
        }

        private void tick() {
            HostState state = lifecycle.onTick(inFlight.size(), faultRun.nowNanos());
            exited = switch (scheme) {
                case FIGSPAN -> state == HostState.STOPPED;
                case NO_LIST_WAIT -> !lifecycle.isListed() && inFlight.isEmpty();
                case NO_DRAIN -> state == HostState.DRAINING || state == HostState.STOPPED;
            };
        }

        void receive() {
            if (exited || !lifecycle.takesNewWork()) {
                faultRun.violate(Count.CUT_OFF, process.name() + " turned a listed caller away");
                return;
            }
            requests++;
            String request = process.name() + "-" + requests;
            inFlight.add(request);
            process.after(100 + faultRun.random().nextInt(9_000), () -> inFlight.remove(request));
        }

        void check() {
            if (exited && !inFlight.isEmpty()) {
                faultRun.violate(Count.CUT_OFF, process.name() + " exited with requests in flight");
            }
        }
    }

    /** A caller that asks for the list when its copy is older than it may keep it. */
    private final class Caller {
        private final FaultRun faultRun;
        private List<ShutdownHost> list = List.of();
        private long listUntilMs;

        Caller(FaultRun faultRun) {
            this.faultRun = faultRun;
        }

        void send() {
            if (faultRun.nowMs() < listUntilMs) {
                ShutdownHost host = list.get(faultRun.random().nextInt(list.size()));
                // A connection attempt either arrives soon or fails; it is not delivered after the list ran out.
                host.process.after(5, host::receive);
                return;
            }
            ShutdownHost source = hosts.get(1 + faultRun.random().nextInt(2));
            faultRun.send(callers, source.process, () -> {
                List<ShutdownHost> fresh = listed();
                faultRun.send(source.process, callers, () -> {
                    list = fresh;
                    listUntilMs = faultRun.nowMs() + KEEP_SECONDS * 1_000;
                });
            });
        }
    }
}
