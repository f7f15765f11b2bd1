package io.figspan.review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of some prompts crashes each runner that begins to write an answer on it. Sound prompts of the same caller
 * share the other parts, one of which stands behind the deadly one.
 */
final class DeadlyPart {
    /** The caller sends a few sound prompts at a time. */
    private static final int SOUND_PER_ROUND = 4;

    private static final long ROUND_MS = 5_000;
    private static final int ROUNDS_BEFORE = 6;
    private static final int ROUNDS_AFTER = 8;

    /** Time from the last round before the first deadly prompt to that prompt. */
    private static final long FIRST_DEADLY_MS = 2_300;

    private static final long DEADLY_INTERVAL_MS = 700;
    private static final long STABLE_WINDOW_MS = 3_000;

    /** LOST compares as many sound requests, at least. */
    private static final int MIN_REQUESTS = 20;

    private final Recorder recorder;
    private final Deployment deployment;
    private final DeadlyRunners runners;
    private final List<Sound> sound = new CopyOnWriteArrayList<>();
    private final AtomicInteger deadlySent = new AtomicInteger();
    private final AtomicInteger deadlyRefused = new AtomicInteger();

    /** A sound request, and whether its answer began at the first attempt. */
    private record Sound(long sentMs, boolean hasBegun) {}

    private DeadlyPart(Recorder recorder, Deployment deployment) {
        this.recorder = recorder;
        this.deployment = deployment;
        this.runners = new DeadlyRunners(recorder, deployment);
    }

    public static void main(String[] arguments) throws Exception {
        try (Recorder recorder = new Recorder(Path.of(arguments[0]))) {
            System.exit(Cases.status(recorder, () -> {
                try (Deployment deployment = new Deployment(recorder, 3)) {
                    return new DeadlyPart(recorder, deployment).run();
                }
            }));
        }
    }

    private void sound(int number) {
        Host host = deployment.hosts.get(number % deployment.hosts.size());
        long sentMs = recorder.elapsedMs();
        Client.Outcome outcome = Client.send(
                recorder,
                host,
                "POST",
                "/query/parts",
                Client.promptHeaders(1_300, "a11ce:40,d0c5:1200,5%06x:60".formatted(number)),
                "{\"question\":" + number + "}",
                10_000,
                2_000);
        boolean hasBegun = outcome.hasBegun();
        sound.add(new Sound(sentMs, hasBegun));
        recorder.line(
                "sound request %s to %s sent at %d: %d complete=%s %s",
                outcome.attemptId(),
                host.name(),
                sentMs,
                outcome.status(),
                outcome.isComplete(),
                hasBegun ? "" : outcome.text());
    }

    private void deadly(int number) {
        Host host = deployment.hosts.get((number + deployment.hosts.size() - 1) % deployment.hosts.size());
        deadlySent.incrementAndGet();
        Client.Outcome outcome = Client.send(
                recorder,
                host,
                "POST",
                "/query/parts",
                Client.promptHeaders(
                        1_500, "a11ce:40," + DeadlyRunners.PART + ":200,d0c5:1200,6%06x:60".formatted(number)),
                "{\"deadly\":" + number + "}",
                10_000,
                2_000);
        if (outcome.status() == 503) {
            deadlyRefused.incrementAndGet();
        }
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
        Threads.start("sound", () -> {
            for (int round = 0; round < ROUNDS_BEFORE + ROUNDS_AFTER; round++) {
                recorder.sleepUntil(startMs + round * ROUND_MS);
                for (int i = 0; i < SOUND_PER_ROUND; i++) {
                    int number = round * SOUND_PER_ROUND + i;
                    Threads.start("sound-" + number, () -> sound(number));
                }
            }
        });
        long deadlyMs = startMs + (ROUNDS_BEFORE - 1) * ROUND_MS + FIRST_DEADLY_MS;
        long endMs = startMs + (ROUNDS_BEFORE + ROUNDS_AFTER) * ROUND_MS - 500;
        recorder.sleepUntil(deadlyMs);
        for (int i = 0; Deployment.hasTrouble() && recorder.elapsedMs() < endMs; i++) {
            int number = i;
            Threads.start("deadly-" + i, () -> deadly(number));
            recorder.sleepUntil(deadlyMs + (i + 1) * DEADLY_INTERVAL_MS);
        }
        recorder.sleepUntil(endMs + 1_500);
        return judge(deadlyMs, endMs);
    }

    /** Holds the sound requests against LOST, with its bounds. */
    private int judge(long deadlyMs, long endMs) {
        long afterMs = runners.boundingCrashMs(deadlyMs) + 2 * STABLE_WINDOW_MS;
        List<Sound> before = sound.stream().filter(s -> s.sentMs() < deadlyMs).toList();
        List<Sound> after = sound.stream()
                .filter(s -> s.sentMs() >= afterMs && s.sentMs() < endMs)
                .toList();
        long begunBefore = before.stream().filter(Sound::hasBegun).count();
        long begunAfter = after.stream().filter(Sound::hasBegun).count();
        recorder.say(
                "%d crashes; %d deadly requests, %d refused", runners.crashes(), deadlySent.get(), deadlyRefused.get());
        recorder.say(
                "sound requests whose first attempt began: %d of %d before, %d of %d from 6 s after the fifth crash"
                        + " or the last",
                begunBefore, before.size(), begunAfter, after.size());
        if (before.size() < MIN_REQUESTS || after.size() < MIN_REQUESTS) {
            return 2;
        }
        boolean isBroken = begunAfter * before.size() * 2 < begunBefore * after.size();
        recorder.say(isBroken ? "LOST is broken" : "LOST holds");
        return isBroken ? 1 : 0;
    }
}
