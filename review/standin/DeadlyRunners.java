package io.figspan.review;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Runners that crash when they begin to write an answer on one part of a prompt, and are back after some seconds. */
final class DeadlyRunners {
    /** The id of the part. */
    static final String PART = "bad0c0de";

    /** Bounds of the rules begin with this crash. */
    private static final int BOUNDING_CRASH = 5;

    /** The runner reads the prompt before it begins to write. */
    private static final long READ_MS = 200;

    /** Time until a runner that crashed is back. */
    private static final long DOWN_MS = 3_000;

    private final Recorder recorder;
    private final Deployment deployment;
    private final List<Long> arrivalsMs = new CopyOnWriteArrayList<>();
    private final List<Long> crashesMs = new CopyOnWriteArrayList<>();

    DeadlyRunners(Recorder recorder, Deployment deployment) {
        this.recorder = recorder;
        this.deployment = deployment;
    }

    /** The fault of the runners. */
    boolean crashOnDeadlyPart(Runner runner, HttpMessage request, Socket socket)
            throws IOException, InterruptedException {
        if (!request.header("figspan-prompt-prefix").contains(PART)) {
            return false;
        }
        arrivalsMs.add(recorder.elapsedMs());
        Thread.sleep(READ_MS);
        crashesMs.add(recorder.elapsedMs());
        recorder.line("%s crashes under %s", runner.id(), request.header("figspan-attempt-id"));
        runner.crash();
        Threads.start("restart", () -> {
            Thread.sleep(DOWN_MS);
            runner.restart();
            deployment.store.put("servers/" + runner.id(), runner.entry("zone-a", 0));
            recorder.line("%s is back", runner.id());
        });
        return true;
    }

    int crashes() {
        return crashesMs.size();
    }

    /** Time of the fifth crash, or of the last if there are fewer; without any, the given time. */
    long boundingCrashMs(long otherwiseMs) {
        List<Long> times = crashesMs.stream().sorted().limit(BOUNDING_CRASH).toList();
        return times.isEmpty() ? otherwiseMs : times.get(times.size() - 1);
    }

    /** Requests with the deadly part that reached runners after the fifth crash and this time beyond it. */
    long arrivalsAfterFifthCrash(long beyondMs) {
        if (crashesMs.size() < BOUNDING_CRASH) {
            return 0;
        }
        long fromMs = boundingCrashMs(0) + beyondMs;
        return arrivalsMs.stream().filter(ms -> ms > fromMs).count();
    }
}
