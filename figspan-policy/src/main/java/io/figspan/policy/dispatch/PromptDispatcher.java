package io.figspan.policy.dispatch;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.policy.admission.AdmissionDecision;
import io.figspan.policy.admission.AdmissionPolicy;
import io.figspan.policy.admission.AdmissionRequest;
import io.figspan.policy.admission.LongPromptEstimator;
import io.figspan.policy.affinity.PrefixAffinity;
import io.figspan.policy.fair.FairQueue;
import io.figspan.policy.limit.OrganisationLimits;
import io.figspan.policy.placement.GroupPlacement;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.placement.LoadView.EngineLoad;
import io.figspan.policy.placement.PromptCost;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Schedules the prompts of one host: each is refused, sent to one engine or a group of engines, or queued until an
 * engine has enough free memory. Short prompts, long prompts and prompts that need a group of engines have separate
 * queues, to avoid head-of-line blocking by a prompt that no engine has memory for.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 */
public final class PromptDispatcher {
    private static final long AGEING_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long OVERLOAD_RETRY_MS = 1_000;

    private final DispatchSettings settings;
    private final LoadView view;
    private final PrefixAffinity affinity;
    private final OrganisationLimits limits;
    private final AdmissionPolicy admission;
    private final LongPromptEstimator longPrompts;
    private final GroupPlacement groups;
    private final RandomGenerator random;
    private final FairQueue<Prompt> shortQueue;
    private final FairQueue<Prompt> longQueue;
    private final FairQueue<Prompt> groupQueue;

    public PromptDispatcher(
            DispatchSettings settings,
            LoadView view,
            PrefixAffinity affinity,
            OrganisationLimits limits,
            ToDoubleFunction<OrganisationId> weightOf,
            RandomGenerator random) {
        this.settings = settings;
        this.view = view;
        this.affinity = affinity;
        this.limits = limits;
        this.random = random;
        this.groups = settings.groups();
        this.admission = new AdmissionPolicy(view.speed(), settings.admissionMargin());
        this.longPrompts = new LongPromptEstimator(view.speed());
        this.shortQueue = new FairQueue<>(settings.queueCapacity(), AGEING_NANOS, weightOf);
        this.longQueue = new FairQueue<>(settings.queueCapacity(), AGEING_NANOS, weightOf);
        this.groupQueue = new FairQueue<>(settings.queueCapacity(), AGEING_NANOS, weightOf);
    }

    /**
     * Dispatches or queues a new prompt. Prompts above the rate limit of their organisation are refused unless the
     * engines have spare capacity.
     *
     * @return the actions to take now; one may concern a queued prompt that the new one displaced
     */
    public List<DispatchAction> offer(Prompt prompt, long nowNanos) {
        List<DispatchAction> actions = new ArrayList<>(1);
        Optional<Problem> refusal = checkLimit(prompt, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new DispatchAction.Refuse(prompt, refusal.get()));
            return actions;
        }
        placeOrEnqueue(prompt, nowNanos, actions);
        return actions;
    }

    /**
     * Dispatches or queues a prompt again, such as one whose group of engines could not be reserved. It is not counted
     * against the rate limit a second time.
     */
    public List<DispatchAction> requeue(Prompt prompt, long nowNanos) {
        List<DispatchAction> actions = new ArrayList<>(1);
        placeOrEnqueue(prompt, nowNanos, actions);
        return actions;
    }

    private void placeOrEnqueue(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
        FairQueue<Prompt> queue = queueFor(prompt);
        if (queue.size() == 0 && tryPlace(prompt, nowNanos, actions)) {
            return;
        }
        long waitNanos = prompt.cost().isLong() ? longPrompts.waitNanos(queue.queuedTokens(), nowNanos) : 0;
        Optional<Problem> refusal = checkPredictedTimes(prompt, prompt.cost().promptTokens(), 0, waitNanos, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new DispatchAction.Refuse(prompt, refusal.get()));
            return;
        }
        queue.offer(new FairQueue.Entry<>(
                        prompt,
                        prompt.organisation(),
                        prompt.priority(),
                        prompt.cost().kvTokens(),
                        nowNanos))
                .ifPresent(displaced -> actions.add(overloaded(displaced.item(), "the queue of this host is full")));
    }

    /** Dispatches queued prompts. Called when memory was freed, when a load report arrived and periodically. */
    public List<DispatchAction> poll(long nowNanos) {
        List<DispatchAction> actions = new ArrayList<>(0);
        drain(shortQueue, nowNanos, actions);
        drain(groupQueue, nowNanos, actions);
        drain(longQueue, nowNanos, actions);
        return actions;
    }

    /**
     * Records the first token of a prompt that was sent to {@code server}.
     *
     * @param sentNanos time at which the prompt was sent, or at which its group of engines was reserved
     */
    public void recordFirstToken(Prompt prompt, BackendServerId server, long sentNanos, long nowNanos) {
        view.recordFirstToken(server, prompt.id());
        if (prompt.cost().isLong()) {
            longPrompts.recordFirstToken(prompt.cost().promptTokens(), nowNanos - sentNanos);
        }
    }

    /** Removes a queued prompt that its caller has cancelled; no effect if it is not queued. */
    public void withdraw(Prompt prompt) {
        queueFor(prompt).remove(prompt.organisation(), prompt);
    }

    /** Number of prompts in the queues of this host. */
    public int queuedPrompts() {
        return shortQueue.size() + longQueue.size() + groupQueue.size();
    }

    private void drain(FairQueue<Prompt> queue, long nowNanos, List<DispatchAction> actions) {
        while (true) {
            Optional<FairQueue.Entry<Prompt>> head = queue.peek(nowNanos);
            if (head.isEmpty() || !tryPlace(head.get().item(), nowNanos, actions)) {
                return;
            }
            queue.poll(nowNanos);
        }
    }

    private Optional<Problem> checkLimit(Prompt prompt, long nowNanos) {
        Result<Long> taken = limits.tryTake(prompt.organisation(), chargedTokens(prompt.cost()), nowNanos);
        if (taken instanceof Result.Failed<Long> failed) {
            double spareTokens = view.speed().prefillTokens(TimeUnit.MILLISECONDS.toNanos(settings.spareBacklogMs()));
            if (view.meanBacklogTokens(nowNanos) > spareTokens) {
                return Optional.of(failed.problem());
            }
        }
        return Optional.empty();
    }

    /** Tokens charged to the organisation's rate limit; a prefix that some engine may have cached is not charged. */
    private long chargedTokens(PromptCost cost) {
        boolean cached = cost.prefixTokens() > 0 && affinity.hasHint(cost.prefixHash());
        return cost.prefillTokens(cached) + cost.maxOutputTokens();
    }

    /** Sends or refuses a prompt; returns false if it must queue for memory. */
    private boolean tryPlace(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
        PromptCost cost = prompt.cost();
        if (!groups.fitsOneEngine(cost, view.speed())) {
            return tryPlaceGroup(prompt, nowNanos, actions);
        }
        Optional<EngineLoad> chosen = chooseEngine(cost, nowNanos);
        if (chosen.isEmpty()) {
            return refuseIfTooLate(prompt, nowNanos, actions);
        }
        EngineLoad load = chosen.get();
        boolean cached = cost.prefixTokens() > 0 && affinity.mayHavePrefix(cost.prefixHash(), load.server());
        long prefillTokens = cost.prefillTokens(cached);
        long aheadTokens = settings.placement().aheadTokens(cost, view, load, nowNanos);
        Optional<Problem> refusal = checkPredictedTimes(prompt, prefillTokens, aheadTokens, 0, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new DispatchAction.Refuse(prompt, refusal.get()));
            return true;
        }
        view.recordSent(load.server(), prompt.id(), cost.promptTokens(), prefillTokens, cost.kvTokens(), nowNanos);
        if (cost.prefixTokens() > 0) {
            affinity.recordSent(cost.prefixHash(), load.server());
        }
        recordLongPromptSent(prompt, nowNanos);
        actions.add(new DispatchAction.Send(prompt, load.server(), priorityDelayMs(prompt, prefillTokens, nowNanos)));
        return true;
    }

    private Optional<EngineLoad> chooseEngine(PromptCost cost, long nowNanos) {
        return settings.placement()
                .choose(cost, view, load -> affinity.mayHavePrefix(cost.prefixHash(), load.server()), random, nowNanos);
    }

    private boolean tryPlaceGroup(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
        PromptCost cost = prompt.cost();
        if (!groups.isPossible(cost, view)) {
            Problem problem = Problem.notRun(
                            ProblemKind.NO_BACKEND_SERVER, "no availability zone has enough engines for the prompt")
                    .withRetryAfterMs(OVERLOAD_RETRY_MS);
            actions.add(new DispatchAction.Refuse(prompt, problem));
            return true;
        }
        List<BackendServerId> servers = groups.choose(
                cost,
                view,
                settings.placement().enginesForLongPrompts(view),
                settings.placement().reserveTokens(view));
        if (servers.isEmpty()) {
            return refuseIfTooLate(prompt, nowNanos, actions);
        }
        long aheadTokens = 0;
        for (BackendServerId server : servers) {
            aheadTokens = Math.max(aheadTokens, view.get(server).backlogTokens(nowNanos));
        }
        Optional<Problem> refusal = checkPredictedTimes(prompt, cost.promptTokens(), aheadTokens, 0, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new DispatchAction.Refuse(prompt, refusal.get()));
            return true;
        }
        long tokensPerEngine = groups.kvTokensEach(cost, servers.size());
        for (BackendServerId server : servers) {
            view.recordSent(
                    server,
                    prompt.id(),
                    cost.promptTokens(),
                    cost.promptTokens() / servers.size(),
                    tokensPerEngine,
                    nowNanos);
        }
        recordLongPromptSent(prompt, nowNanos);
        actions.add(new DispatchAction.SendGroup(
                prompt, servers, tokensPerEngine, priorityDelayMs(prompt, cost.promptTokens(), nowNanos)));
        return true;
    }

    /** Refuses a prompt that could not meet its deadline even if memory became free now; returns whether it did. */
    private boolean refuseIfTooLate(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
        Optional<Problem> refusal = checkPredictedTimes(prompt, prompt.cost().promptTokens(), 0, 0, nowNanos);
        refusal.ifPresent(problem -> actions.add(new DispatchAction.Refuse(prompt, problem)));
        return refusal.isPresent();
    }

    /** Checks the predicted times to the first and the last token; returns the reason for refusal, if any. */
    private Optional<Problem> checkPredictedTimes(
            Prompt prompt, long prefillTokens, long aheadTokens, long waitNanos, long nowNanos) {
        PromptCost cost = prompt.cost();
        long slowdownTokens = cost.isLong() ? (long) ((longPrompts.slowdown() - 1) * prefillTokens) : 0;
        long totalAheadTokens =
                Math.max(aheadTokens, slowdownTokens) + view.speed().prefillTokens(waitNanos);
        AdmissionDecision decision = admission.decide(
                new AdmissionRequest(prefillTokens, cost.maxOutputTokens(), totalAheadTokens, prompt.deadline()),
                nowNanos);
        if (decision instanceof AdmissionDecision.Refused refused) {
            return Optional.of(refused.problem());
        }
        long firstTokenNanos = ((AdmissionDecision.Admitted) decision).firstTokenNanos() - prompt.arrivedNanos();
        long allowedNanos = TimeUnit.MILLISECONDS.toNanos(settings.firstTokenMs())
                + (long) (settings.firstTokenSlowdown() * view.speed().prefillNanos(cost.promptTokens()));
        if (firstTokenNanos > allowedNanos && !cost.isLong()) {
            long excessMs = TimeUnit.NANOSECONDS.toMillis(firstTokenNanos - allowedNanos);
            return Optional.of(
                    Problem.notRun(ProblemKind.OVERLOADED, "the first token would come " + excessMs + " ms too late")
                            .withRetryAfterMs(OVERLOAD_RETRY_MS + excessMs));
        }
        return Optional.empty();
    }

    /** Prefill time on an idle engine times the priority delay factor, minus the time already spent on this host. */
    private long priorityDelayMs(Prompt prompt, long prefillTokens, long nowNanos) {
        long delayNanos = (long) (settings.priorityDelayFactor() * view.speed().prefillNanos(prefillTokens));
        return TimeUnit.NANOSECONDS.toMillis(delayNanos - (nowNanos - prompt.arrivedNanos()));
    }

    private void recordLongPromptSent(Prompt prompt, long nowNanos) {
        if (prompt.cost().isLong()) {
            longPrompts.recordSent(prompt.cost().kvTokens(), nowNanos);
        }
    }

    private FairQueue<Prompt> queueFor(Prompt prompt) {
        if (!groups.fitsOneEngine(prompt.cost(), view.speed())) {
            return groupQueue;
        }
        return prompt.cost().isLong() ? longQueue : shortQueue;
    }

    private static DispatchAction overloaded(Prompt prompt, String detail) {
        return new DispatchAction.Refuse(
                prompt, Problem.notRun(ProblemKind.OVERLOADED, detail).withRetryAfterMs(OVERLOAD_RETRY_MS));
    }
}
