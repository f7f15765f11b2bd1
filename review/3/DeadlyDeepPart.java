package io.figspan.review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of some prompts crashes each runner that begins to write an answer on it. The prompts hold many passages,
 * and the deadly one is the eighteenth part.
 */
final class DeadlyDeepPart {
    private static final int PASSAGES = 16;
    private static final long PHASE_MS = 10_000;
    private static final long SOUND_INTERVAL_MS = 250;
    private static final long DEADLY_INTERVAL_MS = 1_000;
    private static final int DEADLY_REQUESTS = 30;
    private static final long STABLE_WINDOW_MS = 3_000;

    /** BUDGET allows as many requests with the part later than the window after the fifth crash. */
    private static final int MAX_ARRIVALS = 3;

    private final Recorder recorder;
    private final Deployment deployment;
    private final DeadlyRunners runners;
    private final List<Sound> sound = new CopyOnWriteArrayList<>();
    private final AtomicInteger deadlySent = new AtomicInteger();

    private record Sound(long sentMs, boolean isComplete) {}

    private DeadlyDeepPart(Recorder recorder, Deployment deployment) {
        this.recorder = recorder;
        this.deployment = deployment;
        this.runners = new DeadlyRunners(recorder, deployment);
    }

    public static void main(String[] arguments) throws Exception {
        try (Recorder recorder = new Recorder(Path.of(arguments[0]))) {
            System.exit(Cases.status(recorder, () -> {
                try (Deployment deployment = new Deployment(recorder, 3)) {
                    return new DeadlyDeepPart(recorder, deployment).run();
                }
            }));
        }
    }

    /** The parts that all prompts of the caller share. */
    private static String sharedParts() {
        StringBuilder parts = new StringBuilder("a11ce:40,");
        for (int i = 1; i <= PASSAGES; i++) {
            parts.append("d0c%02x:70,".formatted(i));
        }
        return parts.toString();
    }

    private void sound(int number) {
        Host host = deployment.hosts.get(number % deployment.hosts.size());
        long sentMs = recorder.elapsedMs();
        Client.Outcome outcome = Client.send(
                recorder,
                host,
                "POST",
                "/query/parts",
                Client.promptHeaders(40 + PASSAGES * 70 + 60, sharedParts() + "5%06x:60".formatted(number)),
                "{\"question\":" + number + "}",
                10_000,
                2_000);
        sound.add(new Sound(sentMs, outcome.status() == 200 && outcome.isComplete()));
        recorder.line(
                "sound request %s to %s sent at %d: %d complete=%s",
                outcome.attemptId(), host.name(), sentMs, outcome.status(), outcome.isComplete());
    }

    private void deadly(int number) {
        Host host = deployment.hosts.get(number % deployment.hosts.size());
        deadlySent.incrementAndGet();
        Client.Outcome outcome = Client.send(
                recorder,
                host,
                "POST",
                "/query/parts",
                Client.promptHeaders(
                        40 + PASSAGES * 70 + 200 + 60,
                        sharedParts() + DeadlyRunners.PART + ":200,6%06x:60".formatted(number)),
                "{\"deadly\":" + number + "}",
                10_000,
                2_000);
        recorder.line(
                "deadly request %s to %s: %d %s", outcome.attemptId(), host.name(), outcome.status(), outcome.text());
    }

    private int run() throws Exception {
        for (int i = 1; i <= 18; i++) {
            deployment.addRunner("i-pool-" + i, "pool", true, 11, runners::crashOnDeadlyPart);
        }
        deployment.start();
        Thread.sleep(3_000);
        long startMs = recorder.elapsedMs();
        long deadlyMs = startMs + PHASE_MS;
        long endMs = deadlyMs + DEADLY_REQUESTS * DEADLY_INTERVAL_MS;
        Threads.start("sound", () -> {
            for (int i = 0; recorder.elapsedMs() < endMs; i++) {
                int number = i;
                Threads.start("sound-" + i, () -> sound(number));
                recorder.sleepUntil(startMs + (i + 1) * SOUND_INTERVAL_MS);
            }
        });
        recorder.sleepUntil(deadlyMs);
        for (int i = 0; Deployment.hasTrouble() && i < DEADLY_REQUESTS; i++) {
            int number = i;
            Threads.start("deadly-" + i, () -> deadly(number));
            recorder.sleepUntil(deadlyMs + (i + 1) * DEADLY_INTERVAL_MS);
        }
        recorder.sleepUntil(endMs + 3_000);
        return judge(deadlyMs);
    }

    /** Holds the requests with the deadly part against BUDGET, with its bound. */
    private int judge(long deadlyMs) {
        long arrivals = runners.arrivalsAfterFifthCrash(STABLE_WINDOW_MS);
        recorder.say(
                "%d deadly requests, %d crashes, %d arrivals at runners later than 3 s after the fifth crash",
                deadlySent.get(), runners.crashes(), arrivals);
        long before = sound.stream().filter(s -> s.sentMs() < deadlyMs).count();
        long failedBefore = sound.stream()
                .filter(s -> s.sentMs() < deadlyMs && !s.isComplete())
                .count();
        long failed = sound.stream().filter(s -> !s.isComplete()).count();
        recorder.say(
                "sound requests without a whole answer: %d of %d before the first deadly one, %d of %d after it",
                failedBefore, before, failed - failedBefore, sound.size() - before);
        boolean isBroken = arrivals > MAX_ARRIVALS;
        recorder.say(isBroken ? "BUDGET is broken" : "BUDGET holds");
        return isBroken ? 1 : 0;
    }
}
