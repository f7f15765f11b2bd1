package io.figspan.policy.engine;

import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Simulates the batch scheduling of one model engine from the requests that were sent to it.
 *
 * <p>While requests decode, the engine works in passes of a fixed number of steps. Each request emits one piece at the
 * end of a pass. A pass includes the prefill that arrived before it, up to a number of tokens, which lengthens the gap
 * between pieces. While no request decodes, prompts are prefilled one after the other. Shares of prompts that are split
 * among several engines go before whole prompts, the latest share first.
 *
 * <p>All times are milliseconds on one clock. Not thread-safe. The getters report the state at the time of the latest
 * event or forecast.
 */
public final class EngineSimulation {
    /** Maximum number of rounds of a forecast; more than the longest prompts need while other requests decode. */
    private static final int MAX_FORECAST_PASSES = 64;

    /** Remaining prefill below this counts as done. */
    private static final double MIN_PREFILL_MS = 1e-3;

    /** Prefill outside passes takes this many times its forecast, since later shares of split prompts preempt it. */
    private static final double PREEMPTION_FACTOR = 2.5;

    /** Key of the task that is added for a forecast. */
    private static final long FORECAST_KEY = Long.MIN_VALUE;

    private final EngineProfile profile;
    private final List<Task> prefilling = new ArrayList<>();
    private final List<Task> decoding = new ArrayList<>();
    /** Tasks whose prefill ended in the latest step. */
    private final List<Task> finishedPrefills = new ArrayList<>();

    private double timeMs;
    private double passStartMs;
    private double passEndMs;
    private boolean inPass;
    private double slowdown = 1;

    /** A request on this engine, or a share that it prefills for a request on another engine. */
    private static final class Task {
        final long key;
        final RequestTraits traits;
        final boolean decodesHere;
        final boolean isSplit;
        final double prefillMsTotal;
        final double shareWeight;
        final double shareTokens;
        double prefillMsLeft;
        double prefillMsInPass;
        double contextTokens;
        double helpersReadyMs;

        Task(long key, RequestTraits traits, PrefillShare share, EngineProfile profile, boolean decodesHere) {
            this.key = key;
            this.traits = traits;
            this.decodesHere = decodesHere;
            this.isSplit = share.isSplit();
            this.shareWeight = traits.weight() / Math.sqrt(share.engines());
            this.prefillMsTotal = Math.max(MIN_PREFILL_MS, share.prefillMs(profile));
            this.shareTokens = share.tokens();
            this.prefillMsLeft = prefillMsTotal;
            this.contextTokens = traits.contextTokens();
        }

        Task(Task other) {
            this.key = other.key;
            this.traits = other.traits;
            this.decodesHere = other.decodesHere;
            this.isSplit = other.isSplit;
            this.shareWeight = other.shareWeight;
            this.prefillMsTotal = other.prefillMsTotal;
            this.shareTokens = other.shareTokens;
            this.prefillMsLeft = other.prefillMsLeft;
            this.contextTokens = other.contextTokens;
            this.helpersReadyMs = other.helpersReadyMs;
            this.prefillMsInPass = other.prefillMsInPass;
        }
    }

    /**
     * The properties of a request that determine its effect on the engine and its expected loss.
     *
     * @param contextTokens tokens of its prompt in this engine's memory
     * @param dueMs time after which its first token is late
     * @param abandonMs time at which its caller has given up
     * @param maxGapMs longest gap between pieces with which its answer is on time; 0 when there is no limit
     * @param weight value of an answer on time relative to other requests
     */
    public record RequestTraits(double contextTokens, double dueMs, double abandonMs, double maxGapMs, double weight) {
        static final RequestTraits NONE = new RequestTraits(0, 0, 0, 0, 0);
    }

    public EngineSimulation(EngineProfile profile, double nowMs) {
        this.profile = profile;
        this.timeMs = nowMs;
    }

    private EngineSimulation(EngineSimulation other) {
        this.profile = other.profile;
        this.timeMs = other.timeMs;
        this.passStartMs = other.passStartMs;
        this.passEndMs = other.passEndMs;
        this.inPass = other.inPass;
        this.slowdown = other.slowdown;
        other.prefilling.forEach(task -> prefilling.add(new Task(task)));
        other.decoding.forEach(task -> decoding.add(new Task(task)));
    }

    // State

    /** Number of requests that occupy a slot, which excludes shares prefilled for other engines. */
    public int occupiedSlots() {
        int slots = decoding.size();
        for (Task task : prefilling) {
            slots += task.decodesHere ? 1 : 0;
        }
        return slots;
    }

    /** Number of shares that are prefilled here for requests on other engines. */
    public int helperShares() {
        return prefilling.size() + decoding.size() - occupiedSlots();
    }

    public int decodingRequests() {
        return decoding.size();
    }

    /** Memory in tokens that the requests here need now, without shares prefilled for other engines. */
    public double memoryTokens() {
        double tokens = 0;
        for (Task task : decoding) {
            tokens += task.contextTokens;
        }
        for (Task task : prefilling) {
            tokens += task.decodesHere ? task.contextTokens : 0;
        }
        return tokens;
    }

    /** The tightest gap limit of the requests here, in milliseconds; infinite when there is none. */
    public double strictestGapMs() {
        double strictest = Double.POSITIVE_INFINITY;
        for (Task task : decoding) {
            strictest = Math.min(strictest, gapLimitMs(task));
        }
        for (Task task : prefilling) {
            strictest = Math.min(strictest, task.decodesHere ? gapLimitMs(task) : Double.POSITIVE_INFINITY);
        }
        return strictest;
    }

    private static double gapLimitMs(Task task) {
        return task.traits.maxGapMs() > 0 ? task.traits.maxGapMs() : Double.POSITIVE_INFINITY;
    }

    /** Time of the prefill that is still to be done, in milliseconds. */
    public double prefillBacklogMs() {
        double total = 0;
        for (Task task : prefilling) {
            total += task.prefillMsLeft;
        }
        return total * slowdown;
    }

    /** Sets the factor by which the engine is slower than its profile says; at least 1. */
    public void setSlowdown(double newSlowdown) {
        slowdown = Math.max(1, newSlowdown);
    }

    /** End of the pass in progress, when the next pieces are emitted; the simulation's time when there is no pass. */
    public double passEndMs() {
        return inPass ? passEndMs : timeMs;
    }

    // Events

    /**
     * Adds a request that was sent to this engine.
     *
     * @param helpersReadyMs time at which the helpers are expected to have prefilled their shares
     */
    public void addRequest(long key, RequestTraits traits, PrefillShare share, double helpersReadyMs, double nowMs) {
        advanceTo(nowMs);
        Task task = new Task(key, traits, share, profile, true);
        task.helpersReadyMs = helpersReadyMs;
        enqueue(task);
    }

    /** Adds a share to prefill for a request on another engine. */
    public void addHelperShare(long key, RequestTraits traits, PrefillShare share, double nowMs) {
        advanceTo(nowMs);
        enqueue(new Task(key, traits, share, profile, false));
    }

    /** Adds a request that is already decoding and has emitted {@code generatedTokens} tokens. */
    public void addDecodingRequest(long key, RequestTraits traits, double generatedTokens, double nowMs) {
        advanceTo(nowMs);
        Task task = new Task(key, traits, PrefillShare.of(0, 1), profile, true);
        task.contextTokens = traits.contextTokens() + generatedTokens;
        decoding.add(task);
    }

    /** Removes a request, or the share prefilled for it; does nothing when the key is unknown. */
    public void remove(long key, double nowMs) {
        advanceTo(nowMs);
        prefilling.removeIf(task -> task.key == key);
        decoding.removeIf(task -> task.key == key);
    }

    /** Records that the first token of a request was observed, so its prefill is done. */
    public void firstTokenSeen(long key, double nowMs) {
        advanceTo(nowMs);
        for (Iterator<Task> tasks = prefilling.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            if (task.key == key) {
                tasks.remove();
                startDecoding(task);
            }
        }
        passEnded(nowMs);
    }

    /**
     * Records that a piece of an answer was observed, so a pass has just ended and, if requests still decode, the next
     * one begins. Aligns the simulated pass when its end or its start deviates by less than half the time of a pass
     * without load; larger deviations are not corrected.
     */
    public void passEnded(double nowMs) {
        advanceTo(nowMs);
        if (!inPass) {
            return;
        }
        double tolerableMs = profile.decodeStepsPerPass() * profile.stepMs() / 2 * slowdown;
        if (passEndMs - nowMs < tolerableMs) {
            passEndMs = nowMs;
            advanceTo(nowMs);
        } else if (nowMs - passStartMs < tolerableMs) {
            passEndMs += nowMs - passStartMs;
            passStartMs = nowMs;
        }
    }

    /** Adds a task to the prefill queue; shares of split prompts go first, the latest at the head. */
    private void enqueue(Task task) {
        if (task.isSplit) {
            prefilling.add(0, task);
        } else {
            prefilling.add(task);
        }
    }

    private void startDecoding(Task task) {
        if (task.decodesHere) {
            decoding.add(task);
        }
    }

    // Time

    /** Advances the simulation to a time; does nothing when it is in the past. */
    public void advanceTo(double nowMs) {
        while (timeMs < nowMs) {
            if (!step(nowMs)) {
                timeMs = nowMs;
            }
        }
    }

    /** Advances to the start or end of a pass, the end of a prefill or the limit; returns false when nothing is due. */
    private boolean step(double limitMs) {
        finishedPrefills.clear();
        if (inPass) {
            if (passEndMs > limitMs) {
                return false;
            }
            timeMs = passEndMs;
            endPass();
            return true;
        }
        if (!decoding.isEmpty()) {
            startPass();
            return true;
        }
        return prefillWithoutDecoding(limitMs);
    }

    private void startPass() {
        double prefillMs = 0;
        double tokensLeft = (double) profile.chunkTokens() * profile.decodeStepsPerPass();
        for (Task task : prefilling) {
            double tokens = Math.min(tokensLeft, task.shareTokens * task.prefillMsLeft / task.prefillMsTotal);
            task.prefillMsInPass = tokens / Math.max(1, task.shareTokens) * task.prefillMsTotal;
            tokensLeft -= tokens;
            prefillMs += task.prefillMsInPass;
        }
        inPass = true;
        passStartMs = timeMs;
        passEndMs = timeMs + (decodeMs() + prefillMs) * slowdown;
    }

    /** Time of the decode steps of a pass with the present requests. */
    private double decodeMs() {
        double contextTokens = 0;
        for (Task task : decoding) {
            contextTokens += task.contextTokens;
        }
        double stepMs = profile.stepMs()
                + decoding.size() * profile.stepMsPerDecodingRequest()
                + contextTokens / 1_000 * profile.stepMsPerThousandContextTokens();
        return profile.decodeStepsPerPass() * stepMs;
    }

    private void endPass() {
        inPass = false;
        for (Task task : decoding) {
            task.contextTokens += profile.decodeStepsPerPass();
        }
        for (Iterator<Task> tasks = prefilling.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            task.prefillMsLeft -= task.prefillMsInPass;
            task.prefillMsInPass = 0;
            if (task.prefillMsLeft < MIN_PREFILL_MS) {
                task.prefillMsLeft = 0;
                finishPrefill(tasks, task);
            }
        }
    }

    /** Advances the prefill while no request decodes; each chunk takes an additional step. */
    private boolean prefillWithoutDecoding(double limitMs) {
        for (Iterator<Task> tasks = prefilling.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            if (task.prefillMsLeft <= 0) {
                continue;
            }
            double stepOverheadFactor = stepOverheadFactor(task);
            double endMs = timeMs + task.prefillMsLeft * stepOverheadFactor * slowdown;
            if (endMs > limitMs) {
                task.prefillMsLeft -= (limitMs - timeMs) / stepOverheadFactor / slowdown;
                timeMs = limitMs;
                return true;
            }
            timeMs = endMs;
            task.prefillMsLeft = 0;
            finishPrefill(tasks, task);
            return true;
        }
        return finishAwaitingHelpers(limitMs);
    }

    /** Factor by which prefill takes longer because of the step of each chunk. */
    private double stepOverheadFactor(Task task) {
        double steps = Math.ceil(task.shareTokens / profile.chunkTokens());
        return 1 + steps * profile.stepMs() / task.prefillMsTotal;
    }

    private void finishPrefill(Iterator<Task> tasks, Task task) {
        boolean helpersReady = !task.decodesHere || task.helpersReadyMs <= timeMs;
        if (helpersReady) {
            tasks.remove();
            finishedPrefills.add(task);
            startDecoding(task);
        }
    }

    /** Finishes the prefill of a request whose own share is done once its helpers are expected to be done too. */
    private boolean finishAwaitingHelpers(double limitMs) {
        for (Iterator<Task> tasks = prefilling.iterator(); tasks.hasNext(); ) {
            Task task = tasks.next();
            if (task.helpersReadyMs <= limitMs) {
                timeMs = Math.max(timeMs, task.helpersReadyMs);
                tasks.remove();
                finishedPrefills.add(task);
                startDecoding(task);
                return true;
            }
        }
        return false;
    }

    // Forecast

    /**
     * Forecast for a share that is added now.
     *
     * @param doneMs time at which it is prefilled, and of the first token if all other shares are done by then
     * @param lossToOthers expected loss of other requests on this engine, from long gaps and late first tokens
     */
    public record Forecast(double doneMs, double lossToOthers) {}

    /**
     * Forecasts a share as if it were added now, without adding it.
     *
     * @param decodingTraits the request that decodes here afterwards, whose own gaps count too; empty when it decodes
     *     on another engine
     * @param baselineLoss loss of the other requests without the share, from {@link #baselineLoss}
     */
    public Forecast forecast(
            PrefillShare share,
            Optional<RequestTraits> decodingTraits,
            LatenessLoss latenessLoss,
            double baselineLoss,
            double nowMs) {
        advanceTo(nowMs);
        EngineSimulation copy = new EngineSimulation(this);
        RequestTraits traits = decodingTraits.orElse(RequestTraits.NONE);
        copy.enqueue(new Task(FORECAST_KEY, traits, share, profile, decodingTraits.isPresent()));
        Forecast forecast = copy.simulatePrefills(FORECAST_KEY, latenessLoss);
        return new Forecast(forecast.doneMs(), Math.max(0, forecast.lossToOthers() - baselineLoss));
    }

    /** Expected loss of the requests here until the present prefill backlog is done; 0 without a backlog. */
    public double baselineLoss(LatenessLoss latenessLoss, double nowMs) {
        advanceTo(nowMs);
        return prefilling.isEmpty()
                ? 0
                : new EngineSimulation(this)
                        .simulatePrefills(FORECAST_KEY, latenessLoss)
                        .lossToOthers();
    }

    /** Runs until all prefill is done; returns when the task with the key is, and the loss of all other tasks. */
    private Forecast simulatePrefills(long key, LatenessLoss latenessLoss) {
        double nowMs = timeMs;
        double doneMs = timeMs;
        double lossToOthers = 0;
        for (int pass = 0; pass < MAX_FORECAST_PASSES && !prefilling.isEmpty(); pass++) {
            double startMs = timeMs;
            boolean wasInPass = inPass;
            if (!step(Double.MAX_VALUE)) {
                break;
            }
            boolean passEnded = wasInPass && !inPass;
            if (passEnded) {
                lossToOthers += gapLoss(timeMs - startMs, latenessLoss);
            }
            double delayFactor = passEnded ? 1 : PREEMPTION_FACTOR;
            for (Task task : finishedPrefills) {
                if (task.key == key) {
                    doneMs = timeMs;
                } else {
                    lossToOthers += firstTokenLoss(task, nowMs + delayFactor * (timeMs - nowMs), nowMs, latenessLoss);
                }
            }
        }
        return new Forecast(doneMs, lossToOthers);
    }

    /**
     * Expected loss of a request whose share on this engine is prefilled at {@code doneMs}. The request waits for the
     * slowest of its engines, and a plan usually delays several of them, so each engine counts with more than an equal
     * fraction of the weight and less than all of it.
     */
    private static double firstTokenLoss(Task task, double doneMs, double nowMs, LatenessLoss latenessLoss) {
        RequestTraits traits = task.traits;
        return task.shareWeight * latenessLoss.ofFirstToken(doneMs, traits.dueMs(), traits.abandonMs(), nowMs);
    }

    private double gapLoss(double gapMs, LatenessLoss latenessLoss) {
        double lossToOthers = 0;
        for (Task task : decoding) {
            if (task.traits.maxGapMs() > 0) {
                lossToOthers += task.traits.weight() * latenessLoss.ofGap(gapMs, task.traits.maxGapMs());
            }
        }
        return lossToOthers;
    }
}
