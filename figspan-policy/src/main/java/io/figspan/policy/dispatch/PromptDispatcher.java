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
 * Decides on one host what happens to each prompt: refuse, send to an engine or a group of engines, or wait in this
 * host's queue for memory. Short prompts, long ones and those that need a group of engines wait in queues of their own,
 * so that a prompt that finds no memory does not hold up shorter ones.
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
        this.shortQueue = new FairQueue<>(settings.queueItems(), AGEING_NANOS, weightOf);
        this.longQueue = new FairQueue<>(settings.queueItems(), AGEING_NANOS, weightOf);
        this.groupQueue = new FairQueue<>(settings.queueItems(), AGEING_NANOS, weightOf);
    }

    /** Takes a new prompt. The actions may also concern prompts that have waited. */
    public List<DispatchAction> offer(Prompt prompt, long nowNanos) {
        List<DispatchAction> actions = new ArrayList<>(1);
        Optional<Problem> refusal = checkShare(prompt, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new DispatchAction.Refuse(prompt, refusal.get()));
            return actions;
        }
        enter(prompt, nowNanos, actions);
        return actions;
    }

    /** Takes a prompt again whose group of engines could not be acquired. */
    public List<DispatchAction> requeue(Prompt prompt, long nowNanos) {
        List<DispatchAction> actions = new ArrayList<>(1);
        enter(prompt, nowNanos, actions);
        return actions;
    }

    private void enter(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
        FairQueue<Prompt> queue = queueOf(prompt);
        if (queue.size() == 0 && place(prompt, nowNanos, actions)) {
            return;
        }
        long waitNanos = prompt.cost().isLong() ? longPrompts.waitNanos(queue.queuedTokens(), nowNanos) : 0;
        Optional<Problem> refusal = checkTimes(prompt, prompt.cost().promptTokens(), 0, waitNanos, nowNanos);
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

    /** Places prompts that have waited, to be called when memory was freed, a report came or some time has passed. */
    public List<DispatchAction> poll(long nowNanos) {
        List<DispatchAction> actions = new ArrayList<>(0);
        drain(shortQueue, nowNanos, actions);
        drain(groupQueue, nowNanos, actions);
        drain(longQueue, nowNanos, actions);
        return actions;
    }

    /**
     * Records the first token of a prompt.
     *
     * @param sentNanos time at which the prompt was sent, or at which the group of engines had been acquired
     */
    public void recordFirstToken(Prompt prompt, BackendServerId server, long sentNanos, long nowNanos) {
        view.recordFirstToken(server, prompt.id());
        if (prompt.cost().isLong()) {
            longPrompts.recordFirstToken(prompt.cost().promptTokens(), nowNanos - sentNanos);
        }
    }

    /** Forgets a waiting prompt that is no longer wanted. */
    public void withdraw(Prompt prompt) {
        queueOf(prompt).remove(prompt.organisation(), prompt);
    }

    /** Number of prompts that wait on this host. */
    public int queuedPrompts() {
        return shortQueue.size() + longQueue.size() + groupQueue.size();
    }

    private void drain(FairQueue<Prompt> queue, long nowNanos, List<DispatchAction> actions) {
        while (true) {
            Optional<FairQueue.Entry<Prompt>> head = queue.peek(nowNanos);
            if (head.isEmpty() || !place(head.get().item(), nowNanos, actions)) {
                return;
            }
            queue.poll(nowNanos);
        }
    }

    private Optional<Problem> checkShare(Prompt prompt, long nowNanos) {
        Result<Long> taken = limits.tryTake(prompt.organisation(), workTokens(prompt.cost()), nowNanos);
        if (taken instanceof Result.Failed<Long> failed) {
            double spareTokens = view.speed().prefillTokens(TimeUnit.MILLISECONDS.toNanos(settings.spareBacklogMs()));
            if (view.meanBacklogTokens(nowNanos) > spareTokens) {
                return Optional.of(failed.problem());
            }
        }
        return Optional.empty();
    }

    /** Tokens of work that count against the organisation's share; a prefix that some runner may hold is no work. */
    private long workTokens(PromptCost cost) {
        boolean cached = cost.prefixTokens() > 0 && affinity.hasHint(cost.prefixHash());
        return cost.prefillTokens(cached) + cost.maxOutputTokens();
    }

    /** Decides on a prompt; answers false when it has to wait for memory. */
    private boolean place(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
        PromptCost cost = prompt.cost();
        if (!groups.fitsOneEngine(cost, view.speed())) {
            return placeGroup(prompt, nowNanos, actions);
        }
        Optional<EngineLoad> chosen = choose(cost, nowNanos);
        if (chosen.isEmpty()) {
            return refuseIfHopeless(prompt, nowNanos, actions);
        }
        EngineLoad load = chosen.get();
        boolean cached = cost.prefixTokens() > 0 && affinity.mayHavePrefix(cost.prefixHash(), load.server());
        long prefillTokens = cost.prefillTokens(cached);
        long aheadTokens = settings.placement().aheadTokens(cost, view, load, nowNanos);
        Optional<Problem> refusal = checkTimes(prompt, prefillTokens, aheadTokens, 0, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new DispatchAction.Refuse(prompt, refusal.get()));
            return true;
        }
        view.recordSent(load.server(), prompt.id(), cost.promptTokens(), prefillTokens, cost.kvTokens(), nowNanos);
        if (cost.prefixTokens() > 0) {
            affinity.recordSent(cost.prefixHash(), load.server());
        }
        noteSent(prompt, nowNanos);
        actions.add(new DispatchAction.Send(prompt, load.server(), priorityDelayMs(prompt, prefillTokens, nowNanos)));
        return true;
    }

    private Optional<EngineLoad> choose(PromptCost cost, long nowNanos) {
        return settings.placement()
                .choose(cost, view, load -> affinity.mayHavePrefix(cost.prefixHash(), load.server()), random, nowNanos);
    }

    private boolean placeGroup(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
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
            return refuseIfHopeless(prompt, nowNanos, actions);
        }
        long aheadTokens = 0;
        for (BackendServerId server : servers) {
            aheadTokens = Math.max(aheadTokens, view.get(server).backlogTokens(nowNanos));
        }
        Optional<Problem> refusal = checkTimes(prompt, cost.promptTokens(), aheadTokens, 0, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new DispatchAction.Refuse(prompt, refusal.get()));
            return true;
        }
        long each = groups.kvTokensEach(cost, servers.size());
        for (BackendServerId server : servers) {
            view.recordSent(server, prompt.id(), cost.promptTokens(), cost.promptTokens() / servers.size(), each, nowNanos);
        }
        noteSent(prompt, nowNanos);
        actions.add(new DispatchAction.SendGroup(
                prompt, servers, each, priorityDelayMs(prompt, cost.promptTokens(), nowNanos)));
        return true;
    }

    private boolean refuseIfHopeless(Prompt prompt, long nowNanos, List<DispatchAction> actions) {
        Optional<Problem> refusal = checkTimes(prompt, prompt.cost().promptTokens(), 0, 0, nowNanos);
        refusal.ifPresent(problem -> actions.add(new DispatchAction.Refuse(prompt, problem)));
        return refusal.isPresent();
    }

    private Optional<Problem> checkTimes(
            Prompt prompt, long prefillTokens, long aheadTokens, long waitNanos, long nowNanos) {
        PromptCost cost = prompt.cost();
        long overtakenTokens = cost.isLong() ? (long) ((longPrompts.slowdown() - 1) * prefillTokens) : 0;
        long beforeTokens =
                Math.max(aheadTokens, overtakenTokens) + view.speed().prefillTokens(waitNanos);
        AdmissionDecision decision = admission.decide(
                new AdmissionRequest(prefillTokens, cost.maxOutputTokens(), beforeTokens, prompt.deadline()), nowNanos);
        if (decision instanceof AdmissionDecision.Refused refused) {
            return Optional.of(refused.problem());
        }
        long firstTokenNanos = ((AdmissionDecision.Admitted) decision).firstTokenNanos() - prompt.arrivedNanos();
        long allowedNanos = TimeUnit.MILLISECONDS.toNanos(settings.firstTokenMs())
                + (long) (settings.firstTokenStretch() * view.speed().prefillNanos(cost.promptTokens()));
        if (firstTokenNanos > allowedNanos && !cost.isLong()) {
            long lateMs = TimeUnit.NANOSECONDS.toMillis(firstTokenNanos - allowedNanos);
            return Optional.of(
                    Problem.notRun(ProblemKind.OVERLOADED, "the first token would come " + lateMs + " ms too late")
                            .withRetryAfterMs(OVERLOAD_RETRY_MS + lateMs));
        }
        return Optional.empty();
    }

    /** Time that the prompt would have to itself on an idle engine, stretched, less what it has waited already. */
    private long priorityDelayMs(Prompt prompt, long prefillTokens, long nowNanos) {
        long stretchNanos = (long) (settings.urgencyStretch() * view.speed().prefillNanos(prefillTokens));
        return TimeUnit.NANOSECONDS.toMillis(stretchNanos - (nowNanos - prompt.arrivedNanos()));
    }

    private void noteSent(Prompt prompt, long nowNanos) {
        if (prompt.cost().isLong()) {
            longPrompts.recordSent(prompt.cost().kvTokens(), nowNanos);
        }
    }

    private FairQueue<Prompt> queueOf(Prompt prompt) {
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
