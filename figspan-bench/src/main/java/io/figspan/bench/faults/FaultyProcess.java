package io.figspan.bench.faults;

import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;

/** A process that can be killed, restarted as a new incarnation, paused and resumed. */
final class FaultyProcess {
    private final FaultRun faultRun;
    private final String name;
    private final Runnable onStart;
    private long number = 1;
    private boolean alive = true;
    private long pausedUntilMs;

    /** {@code onStart} sets up the state of each new incarnation, the first one excepted. */
    FaultyProcess(FaultRun faultRun, String name, Runnable onStart) {
        this.faultRun = faultRun;
        this.name = name;
        this.onStart = onStart;
    }

    String name() {
        return name;
    }

    long number() {
        return number;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isPaused() {
        return faultRun.nowMs() < pausedUntilMs;
    }

    HostIncarnation incarnation() {
        return new HostIncarnation(HostId.of(name), number);
    }

    /** Runs an action in this incarnation after a delay, or when a pause ends. */
    void after(long delayMs, Runnable action) {
        long incarnation = number;
        faultRun.after(delayMs, () -> runWhenAwake(incarnation, action));
    }

    /** Repeats an action for as long as this incarnation lives. */
    void every(long periodMs, Runnable action) {
        after(periodMs, () -> {
            action.run();
            every(periodMs, action);
        });
    }

    void runWhenAwake(long incarnation, Runnable action) {
        if (!alive || number != incarnation) {
            return;
        }
        if (isPaused()) {
            faultRun.after(pausedUntilMs - faultRun.nowMs(), () -> runWhenAwake(incarnation, action));
            return;
        }
        action.run();
    }

    void kill(long downMs) {
        if (!alive) {
            return;
        }
        faultRun.note("kill " + name);
        alive = false;
        faultRun.after(downMs, () -> {
            alive = true;
            number++;
            pausedUntilMs = 0;
            faultRun.note("restart " + name);
            onStart.run();
        });
    }

    void pause(long forMs) {
        if (alive) {
            faultRun.note("pause " + name + " for " + forMs + " ms");
            pausedUntilMs = faultRun.nowMs() + forMs;
        }
    }
}
