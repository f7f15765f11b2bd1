package io.figspan.bench.faults;

import io.figspan.bench.policy.EventQueue;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Logical time, a network that loses, delays, doubles and reorders messages, and the violations of one run. */
final class FaultRun {
    private static final double LOSS = 0.06;
    private static final double DOUBLING = 0.06;
    private static final double LATE = 0.06;
    private static final int USUAL_DELAY_MS = 20;
    private static final int LATE_DELAY_MS = 3_000;

    private final EventQueue queue = new EventQueue();
    private final RandomGenerator random;
    private final Scenario scenario;
    private final Consumer<String> trace;
    private final Set<Link> cutLinks = new HashSet<>();
    private final Map<Count, Set<String>> violations = new EnumMap<>(Count.class);
    private long steps;
    private boolean faultsOver;

    private record Link(String from, String to) {}

    FaultRun(long seed, Scenario scenario, Consumer<String> trace) {
        this.random = new SplittableRandom(seed);
        this.scenario = scenario;
        this.trace = trace;
    }

    /** Runs the scenario once. */
    FaultRun run() {
        scenario.start(this);
        queue.runUntil(nanos(scenario.durationMs()));
        scenario.finish(this);
        return this;
    }

    RandomGenerator random() {
        return random;
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    long nowNanos() {
        return queue.nowNanos();
    }

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(queue.nowNanos());
    }

    long steps() {
        return steps;
    }

    /** Violations by kind; a subject that stays violated over many steps counts once. */
    int violations(Count kind) {
        return violations.getOrDefault(kind, Set.of()).size();
    }

    void violate(Count kind, String subject) {
        if (violations.computeIfAbsent(kind, k -> new HashSet<>()).add(subject)) {
            note("VIOLATION " + kind.title() + ": " + subject);
        }
    }

    void note(String text) {
        trace.accept(nowMs() + " ms " + text);
    }

    /** Runs an action after a delay, whatever state the processes are in. */
    void after(long delayMs, Runnable action) {
        queue.after(nanos(delayMs), () -> {
            action.run();
            steps++;
            scenario.check(this);
        });
    }

    /** Ends all faults: links heal and messages are neither lost nor late from now on. */
    void endFaults() {
        faultsOver = true;
        cutLinks.clear();
    }

    // Network

    /** Sends a message that may be lost, late, doubled or out of order. */
    void send(FaultyProcess from, FaultyProcess to, Runnable arrival) {
        sendOnce(from, to, arrival);
        if (!faultsOver && chance(DOUBLING)) {
            deliver(from, to, arrival);
        }
    }

    /** Sends a message that may be lost, late or out of order, and is never doubled. */
    void sendOnce(FaultyProcess from, FaultyProcess to, Runnable arrival) {
        if (!faultsOver && chance(LOSS)) {
            return;
        }
        deliver(from, to, arrival);
    }

    private void deliver(FaultyProcess from, FaultyProcess to, Runnable arrival) {
        if (!from.isAlive()) {
            return;
        }
        long incarnation = to.number();
        boolean late = !faultsOver && chance(LATE);
        long delayMs = 1L + random.nextInt(late ? LATE_DELAY_MS : USUAL_DELAY_MS);
        after(delayMs, () -> {
            if (!cutLinks.contains(new Link(from.name(), to.name()))) {
                to.runWhenAwake(incarnation, arrival);
            }
        });
    }

    // Faults

    /** Schedules cuts of the links between two processes, each healed after a while. */
    void scheduleCuts(FaultyProcess a, FaultyProcess b, long untilMs, double probability) {
        if (!chance(probability)) {
            return;
        }
        after(random.nextLong(untilMs), () -> {
            note("cut " + a.name() + " and " + b.name());
            cutLinks.add(new Link(a.name(), b.name()));
            cutLinks.add(new Link(b.name(), a.name()));
        });
        after(random.nextLong(untilMs), () -> {
            cutLinks.remove(new Link(a.name(), b.name()));
            cutLinks.remove(new Link(b.name(), a.name()));
        });
    }

    /** Schedules at most one kill with a restart and one pause of a process. */
    void scheduleFaults(FaultyProcess process, long untilMs, double killProbability, double pauseProbability) {
        if (chance(killProbability)) {
            after(random.nextLong(untilMs), () -> process.kill(200 + random.nextInt(2_000)));
        }
        if (chance(pauseProbability)) {
            after(random.nextLong(untilMs), () -> process.pause(500 + random.nextInt(8_000)));
        }
    }

    static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
