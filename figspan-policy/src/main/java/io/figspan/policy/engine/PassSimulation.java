package io.figspan.policy.engine;

import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * What one model engine does, as far as it follows from the requests that were sent to it. It runs passes. While
 * requests write, a pass has a fixed number of steps and takes in the reading that has arrived before it, up to a
 * number of tokens, so that the reading lengthens the pause between the pieces of those that write. While none writes,
 * prompts are read one after the other. Parts of prompts that several engines read go before whole prompts, the latest
 * part first. All times are milliseconds on one clock.
 */
public final class PassSimulation {
    /** Rounds of a forecast; more than a prompt of the longest kind needs beside writers. */
    private static final int MAX_FORECAST_PASSES = 64;

    /** Reading that takes less counts as done. */
    private static final double MIN_READ_MS = 1e-3;

    /** Reading outside passes takes this much longer than alone, since parts that come later go before it. */
    private static final double SLOWDOWN = 2.5;

    /** Key of reading that is only forecast. */
    private static final long ADDED = Long.MIN_VALUE;

    private final EngineProfile profile;
    private final List<Task> reading = new ArrayList<>();
    private final List<Task> writing = new ArrayList<>();
    /** Those whose reading ended in the latest step. */
    private final List<Task> finished = new ArrayList<>();

    private double timeMs;
    private double passStartMs;
    private double passEndMs;
    private boolean inPass;
    private double pace = 1;

    /** One request at the engine, or the part of a prompt that it reads for another engine. */
    private static final class Task {
        final long key;
        final RequestTraits traits;
        final boolean writesHere;
        final boolean isPart;
        final double readMsTotal;
        final double readWorth;
        final double tokensTotal;
        double readMsLeft;
        double readMsInPass;
        double contextTokens;
        double othersReadyMs;

        Task(long key, RequestTraits traits, ReadShare share, EngineProfile profile, boolean writesHere) {
            this.key = key;
            this.traits = traits;
            this.writesHere = writesHere;
            this.isPart = share.isPart();
            this.readWorth = traits.worth() / Math.sqrt(share.engines());
            this.readMsTotal = Math.max(MIN_READ_MS, share.readMs(profile));
            this.tokensTotal = share.tokens();
            this.readMsLeft = readMsTotal;
            this.contextTokens = traits.contextTokens();
        }

        Task(Task other) {
            this.key = other.key;
            this.traits = other.traits;
            this.writesHere = other.writesHere;
            this.isPart = other.isPart;
            this.readWorth = other.readWorth;
            this.readMsTotal = other.readMsTotal;
            this.tokensTotal = other.tokensTotal;
            this.readMsLeft = other.readMsLeft;
            this.contextTokens = other.contextTokens;
            this.othersReadyMs = other.othersReadyMs;
            this.readMsInPass = other.readMsInPass;
        }
    }

    /**
     * What matters of a request for the others at its engine.
     *
     * @param contextTokens tokens of its prompt that lie in this engine's memory
     * @param dueMs when its first token is late
     * @param lostMs when its caller has given up
     * @param maxGapMs longest pause with which its answer is still on time; 0 when there is none
     * @param worth what an answer on time is worth beside others
     */
    public record RequestTraits(double contextTokens, double dueMs, double lostMs, double maxGapMs, double worth) {
        static final RequestTraits NONE = new RequestTraits(0, 0, 0, 0, 0);
    }

    public PassSimulation(EngineProfile profile, double nowMs) {
        this.profile = profile;
        this.timeMs = nowMs;
    }

    private PassSimulation(PassSimulation other) {
        this.profile = other.profile;
        this.timeMs = other.timeMs;
        this.passStartMs = other.passStartMs;
        this.passEndMs = other.passEndMs;
        this.inPass = other.inPass;
        this.pace = other.pace;
        other.reading.forEach(task -> reading.add(new Task(task)));
        other.writing.forEach(task -> writing.add(new Task(task)));
    }

    // State

    /** Requests that hold a slot: those that read or write here, without the parts read for other engines. */
    public int occupiedSlots() {
        int slots = writing.size();
        for (Task task : reading) {
            slots += task.writesHere ? 1 : 0;
        }
        return slots;
    }

    /** Parts that are read here for other engines. */
    public int partsForOthers() {
        return reading.size() + writing.size() - occupiedSlots();
    }

    public int writers() {
        return writing.size();
    }

    /** Tokens of memory that the requests here need now. */
    public double memoryTokens() {
        double tokens = 0;
        for (Task task : writing) {
            tokens += task.contextTokens;
        }
        for (Task task : reading) {
            tokens += task.writesHere ? task.contextTokens : 0;
        }
        return tokens;
    }

    /** The shortest pause limit of the requests that read or write here; infinite when there is none. */
    public double strictestGapMs() {
        double strictest = Double.POSITIVE_INFINITY;
        for (Task task : writing) {
            strictest = Math.min(strictest, gapOf(task));
        }
        for (Task task : reading) {
            strictest = Math.min(strictest, task.writesHere ? gapOf(task) : Double.POSITIVE_INFINITY);
        }
        return strictest;
    }

    private static double gapOf(Task task) {
        return task.traits.maxGapMs() > 0 ? task.traits.maxGapMs() : Double.POSITIVE_INFINITY;
    }

    /** Time of reading that is still to be done, in milliseconds. */
    public double readingMs() {
        double total = 0;
        for (Task task : reading) {
            total += task.readMsLeft;
        }
        return total * pace;
    }

    /** How many times as long as its profile says the engine takes. */
    public void setPace(double newPace) {
        pace = Math.max(1, newPace);
    }

    /** When the pass in progress ends, which is when the next pieces come; the present time while none is. */
    public double passEndMs() {
        return inPass ? passEndMs : timeMs;
    }

    // Events

    /**
     * A request was sent here.
     *
     * @param othersReadyMs when the other engines that read its prompt are expected to be done
     */
    public void addRequest(long key, RequestTraits traits, ReadShare share, double othersReadyMs, double nowMs) {
        advanceTo(nowMs);
        Task task = new Task(key, traits, share, profile, true);
        task.othersReadyMs = othersReadyMs;
        insert(task);
    }

    /** A part of the prompt of a request at another engine is to be read here. */
    public void addPart(long key, RequestTraits traits, ReadShare share, double nowMs) {
        advanceTo(nowMs);
        insert(new Task(key, traits, share, profile, false));
    }

    /** A request was found here that writes already. */
    public void addWriter(long key, RequestTraits traits, double writtenTokens, double nowMs) {
        advanceTo(nowMs);
        Task task = new Task(key, traits, ReadShare.of(0, 1), profile, true);
        task.contextTokens = traits.contextTokens() + writtenTokens;
        writing.add(task);
    }

    /** A request, or the part read for it, is no longer here. */
    public void remove(long key, double nowMs) {
        advanceTo(nowMs);
        reading.removeIf(task -> task.key == key);
        writing.removeIf(task -> task.key == key);
    }

    /** The first token of a request was seen, so its reading is done. */
    public void firstTokenSeen(long key, double nowMs) {
        advanceTo(nowMs);
        for (Iterator<Task> tasks = reading.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            if (task.key == key) {
                tasks.remove();
                write(task);
            }
        }
        passEnded(nowMs);
    }

    /** A piece of an answer has arrived, so a pass has just ended and, if requests still write, the next one begins. */
    public void passEnded(double nowMs) {
        advanceTo(nowMs);
        if (!inPass) {
            return;
        }
        double tolerableMs = profile.decodeStepsPerPass() * profile.stepMs() / 2 * pace;
        if (passEndMs - nowMs < tolerableMs) {
            passEndMs = nowMs;
            advanceTo(nowMs);
        } else if (nowMs - passStartMs < tolerableMs) {
            passEndMs += nowMs - passStartMs;
            passStartMs = nowMs;
        }
    }

    /** Parts go before all other reading, the latest first. */
    private void insert(Task task) {
        if (task.isPart) {
            reading.add(0, task);
        } else {
            reading.add(task);
        }
    }

    private void write(Task task) {
        if (task.writesHere) {
            writing.add(task);
        }
    }

    // Time

    /** Carries the state forward. */
    public void advanceTo(double nowMs) {
        while (timeMs < nowMs) {
            if (!step(nowMs)) {
                timeMs = nowMs;
            }
        }
    }

    /** Goes on to the end of a pass or of a prompt, or to the limit; false when there is nothing to do. */
    private boolean step(double limitMs) {
        finished.clear();
        if (inPass) {
            if (passEndMs > limitMs) {
                return false;
            }
            timeMs = passEndMs;
            endPass();
            return true;
        }
        if (!writing.isEmpty()) {
            startPass();
            return true;
        }
        return readOn(limitMs);
    }

    private void startPass() {
        double readMs = 0;
        double tokensLeft = (double) profile.chunkTokens() * profile.decodeStepsPerPass();
        for (Task task : reading) {
            double tokens = Math.min(tokensLeft, task.tokensTotal * task.readMsLeft / task.readMsTotal);
            task.readMsInPass = tokens / Math.max(1, task.tokensTotal) * task.readMsTotal;
            tokensLeft -= tokens;
            readMs += task.readMsInPass;
        }
        inPass = true;
        passStartMs = timeMs;
        passEndMs = timeMs + (strideMs() + readMs) * pace;
    }

    /** Time of the steps of a pass in which the present requests write. */
    private double strideMs() {
        double contextTokens = 0;
        for (Task task : writing) {
            contextTokens += task.contextTokens;
        }
        double stepMs = profile.stepMs()
                + writing.size() * profile.stepMsPerDecodingRequest()
                + contextTokens / 1_000 * profile.stepMsPerThousandContextTokens();
        return profile.decodeStepsPerPass() * stepMs;
    }

    private void endPass() {
        inPass = false;
        for (Task task : writing) {
            task.contextTokens += profile.decodeStepsPerPass();
        }
        for (Iterator<Task> tasks = reading.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            task.readMsLeft -= task.readMsInPass;
            task.readMsInPass = 0;
            if (task.readMsLeft < MIN_READ_MS) {
                task.readMsLeft = 0;
                finishReading(tasks, task);
            }
        }
    }

    /** Reads prompts while nothing writes; a step goes with each chunk. */
    private boolean readOn(double limitMs) {
        for (Iterator<Task> tasks = reading.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            if (task.readMsLeft <= 0) {
                continue;
            }
            double withSteps = withSteps(task);
            double endMs = timeMs + task.readMsLeft * withSteps * pace;
            if (endMs > limitMs) {
                task.readMsLeft -= (limitMs - timeMs) / withSteps / pace;
                timeMs = limitMs;
                return true;
            }
            timeMs = endMs;
            task.readMsLeft = 0;
            finishReading(tasks, task);
            return true;
        }
        return waitForOthers(limitMs);
    }

    /** How much longer reading takes with the steps that its chunks go with. */
    private double withSteps(Task task) {
        double steps = Math.ceil(task.tokensTotal / profile.chunkTokens());
        return 1 + steps * profile.stepMs() / task.readMsTotal;
    }

    private void finishReading(Iterator<Task> tasks, Task task) {
        boolean othersReady = !task.writesHere || task.othersReadyMs <= timeMs;
        if (othersReady) {
            tasks.remove();
            finished.add(task);
            write(task);
        }
    }

    /** Requests whose own part is read wait for the parts of other engines. */
    private boolean waitForOthers(double limitMs) {
        for (Iterator<Task> tasks = reading.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            if (task.othersReadyMs <= limitMs) {
                timeMs = Math.max(timeMs, task.othersReadyMs);
                tasks.remove();
                finished.add(task);
                write(task);
                return true;
            }
        }
        return false;
    }

    // Forecast

    /**
     * What becomes of reading that is added now.
     *
     * @param doneMs when it is read, which is when the first token comes if all other parts are read by then
     * @param harm worth that others at this engine lose, since a pause gets too long or a first token late
     */
    public record Forecast(double doneMs, double harm) {}

    /**
     * Forecasts reading that is added now; nothing changes.
     *
     * @param writer the request that writes here afterwards, whose own pauses count too; empty when another engine
     *     writes the answer
     * @param harmBefore what others lose without it, from {@link #harmSoon}
     */
    public Forecast forecast(
            ReadShare share, Optional<RequestTraits> writer, LateLoss loss, double harmBefore, double nowMs) {
        advanceTo(nowMs);
        PassSimulation with = new PassSimulation(this);
        RequestTraits traits = writer.orElse(RequestTraits.NONE);
        with.insert(new Task(ADDED, traits, share, profile, writer.isPresent()));
        Forecast forecast = with.runOut(ADDED, loss);
        return new Forecast(forecast.doneMs(), Math.max(0, forecast.harm() - harmBefore));
    }

    /** What requests here lose while the prompts that have arrived are read. */
    public double harmSoon(LateLoss loss, double nowMs) {
        advanceTo(nowMs);
        return reading.isEmpty()
                ? 0
                : new PassSimulation(this).runOut(ADDED, loss).harm();
    }

    /** Runs until all reading is done; notes when the task with the key is, and what the others lose. */
    private Forecast runOut(long key, LateLoss loss) {
        double nowMs = timeMs;
        double doneMs = timeMs;
        double harm = 0;
        for (int pass = 0; pass < MAX_FORECAST_PASSES && !reading.isEmpty(); pass++) {
            double startMs = timeMs;
            boolean wasInPass = inPass;
            if (!step(Double.MAX_VALUE)) {
                break;
            }
            boolean passEnded = wasInPass && !inPass;
            if (passEnded) {
                harm += gapHarm(timeMs - startMs, loss);
            }
            double slowdown = passEnded ? 1 : SLOWDOWN;
            for (Task task : finished) {
                if (task.key == key) {
                    doneMs = timeMs;
                } else {
                    harm += lossOf(task, nowMs + slowdown * (timeMs - nowMs), nowMs, loss);
                }
            }
        }
        return new Forecast(doneMs, harm);
    }

    /**
     * What a request loses when an engine reads its part by a time. The request waits for the slowest of its engines,
     * and a plan mostly delays several of them, so each counts for more than its even share and less than the whole.
     */
    private static double lossOf(Task task, double doneMs, double nowMs, LateLoss loss) {
        RequestTraits traits = task.traits;
        return task.readWorth * loss.ofFirstToken(doneMs, traits.dueMs(), traits.lostMs(), nowMs);
    }

    private double gapHarm(double gapMs, LateLoss loss) {
        double harm = 0;
        for (Task task : writing) {
            if (task.traits.maxGapMs() > 0) {
                harm += task.traits.worth() * loss.ofGap(gapMs, task.traits.maxGapMs());
            }
        }
        return harm;
    }
}
