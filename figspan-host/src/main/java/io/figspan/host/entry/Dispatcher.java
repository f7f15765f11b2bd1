package io.figspan.host.entry;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.figspan.policy.admission.AdmissionDecision;
import io.figspan.policy.admission.AdmissionPolicy;
import io.figspan.policy.admission.AdmissionRequest;
import io.figspan.policy.fair.FairQueue;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.placement.LengthAwarePlacement;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.placement.PromptCost;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Admits prompts that fit on one engine, queues them fairly by organisation and gives each an engine. Long prompts wait
 * in a queue of their own, so that one that waits for memory holds up no short prompt.
 */
final class Dispatcher {
    /** Entries per queue; the settings bound both together at {@code admission.queueLimit}. */
    private static final int QUEUE_ENTRIES = 1_024;

    /** A waiting prompt counts as one class more urgent after this time. */
    private static final long AGEING_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Work that an engine may have queued when it gets more: a quarter second, so that fairness is decided here. */
    private static final long MAX_QUEUED_AT_ENGINE_MS = 250;

    /** Interval at which the queues are looked at when no report has come in. */
    private static final long PUMP_INTERVAL_MS = 20;

    private static final long RETRY_AFTER_MS = 1_000;

    /** Told of the outcome, exactly once. */
    interface Listener {
        void onPlaced(BackendTable.Server server);

        void onRefused(Problem problem);
    }

    /** A prompt that waits for an engine. Compared by identity. */
    static final class Waiting {
        private final RequestId request;
        private final OrganisationId organisation;
        private final PriorityClass priority;
        private final PromptCost cost;
        private final Deadline deadline;
        private final Listener listener;

        Waiting(
                RequestId request,
                OrganisationId organisation,
                PriorityClass priority,
                PromptCost cost,
                Deadline deadline,
                Listener listener) {
            this.request = request;
            this.organisation = organisation;
            this.priority = priority;
            this.cost = cost;
            this.deadline = deadline;
            this.listener = listener;
        }
    }

    private final HostContext context;
    private final FairQueue<Waiting> shortPrompts;
    private final FairQueue<Waiting> longPrompts;

    Dispatcher(HostContext context) {
        this.context = context;
        this.shortPrompts = new FairQueue<>(QUEUE_ENTRIES, AGEING_NANOS, this::weightOf);
        this.longPrompts = new FairQueue<>(QUEUE_ENTRIES, AGEING_NANOS, this::weightOf);
        context.vertx().setPeriodic(PUMP_INTERVAL_MS, id -> pump());
    }

    /** Admits and queues a prompt, or refuses it at once. */
    void submit(Waiting waiting) {
        long nowNanos = context.nowNanos();
        if (context.backends().loads().runners().stream().allMatch(LoadView.RunnerLoad::leaving)) {
            refuse(
                    waiting,
                    Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "no engine takes new work")
                            .withRetryAfterMs(RETRY_AFTER_MS));
            return;
        }
        AdmissionDecision decision = admit(waiting, nowNanos);
        if (decision instanceof AdmissionDecision.Refused refused) {
            refuse(waiting, refused.problem());
            return;
        }
        boolean queueFull = queued() >= context.tree().fleet().integer(SettingKey.ADMISSION_QUEUE_LIMIT);
        if (queueFull) {
            refuse(waiting, overloaded());
            return;
        }
        FairQueue.Entry<Waiting> entry = new FairQueue.Entry<>(
                waiting, waiting.organisation, waiting.priority, waiting.cost.promptTokens(), nowNanos);
        queueOf(waiting).offer(entry).ifPresent(displaced -> refuse(displaced.item(), overloaded()));
        pump();
    }

    /** Forgets a prompt that is no longer wanted. */
    void withdraw(Waiting waiting) {
        queueOf(waiting).remove(waiting.organisation, waiting);
    }

    int queued() {
        return shortPrompts.size() + longPrompts.size();
    }

    /** Gives engines to the prompts whose turn it is. */
    void pump() {
        pump(shortPrompts);
        pump(longPrompts);
    }

    private void pump(FairQueue<Waiting> queue) {
        long nowNanos = context.nowNanos();
        Optional<FairQueue.Entry<Waiting>> head = queue.peek(nowNanos);
        while (head.isPresent()) {
            Waiting waiting = head.get().item();
            if (waiting.deadline.hasPassed(nowNanos)) {
                queue.poll(nowNanos);
                refuse(waiting, Problem.notRun(ProblemKind.DEADLINE_PASSED, "no engine was free in time"));
            } else {
                Optional<BackendTable.Server> server = place(waiting, nowNanos);
                if (server.isEmpty()) {
                    return;
                }
                queue.poll(nowNanos);
                waiting.listener.onPlaced(server.get());
            }
            head = queue.peek(nowNanos);
        }
    }

    private Optional<BackendTable.Server> place(Waiting waiting, long nowNanos) {
        ResolvedSettings fleet = context.tree().fleet();
        LengthAwarePlacement placement = new LengthAwarePlacement(
                (int) fleet.integer(SettingKey.PLACEMENT_SAMPLE_SIZE),
                fleet.number(SettingKey.PLACEMENT_SHARE_FREE_OF_LONG));
        LoadView loads = context.backends().loads();
        long maxQueuedTokens = loads.speed().prefillTokens(TimeUnit.MILLISECONDS.toNanos(MAX_QUEUED_AT_ENGINE_MS));
        Optional<LoadView.RunnerLoad> chosen = placement
                .choose(waiting.cost, loads, context.random(), nowNanos)
                .filter(load -> load.backlogTokens(nowNanos) < maxQueuedTokens);
        return chosen.flatMap(load -> {
            context.timeline()
                    .add(
                            Part.PLACE,
                            "placed",
                            waiting.request.value(),
                            load.server() + " backlog " + load.backlogTokens(nowNanos));
            return context.backends().find(load.server());
        });
    }

    private AdmissionDecision admit(Waiting waiting, long nowNanos) {
        LoadView loads = context.backends().loads();
        List<LoadView.RunnerLoad> candidates = new LengthAwarePlacement(
                        1, context.tree().fleet().number(SettingKey.PLACEMENT_SHARE_FREE_OF_LONG))
                .candidates(waiting.cost, loads);
        long aheadTokens = candidates.stream()
                .mapToLong(load -> load.backlogTokens(nowNanos))
                .min()
                .orElse((long) loads.meanBacklogTokens(nowNanos));
        double margin = Math.max(1, context.tree().fleet().number(SettingKey.ADMISSION_SAFETY_FACTOR));
        return new AdmissionPolicy(loads.speed(), margin)
                .decide(
                        new AdmissionRequest(
                                waiting.cost.promptTokens(),
                                waiting.cost.maxOutputTokens(),
                                aheadTokens,
                                waiting.deadline),
                        nowNanos);
    }

    private void refuse(Waiting waiting, Problem problem) {
        waiting.listener.onRefused(problem);
    }

    private FairQueue<Waiting> queueOf(Waiting waiting) {
        return waiting.cost.isLong() ? longPrompts : shortPrompts;
    }

    private double weightOf(OrganisationId organisation) {
        return context.tree().resolve(organisation).number(SettingKey.WEIGHT);
    }

    private static Problem overloaded() {
        return Problem.notRun(ProblemKind.OVERLOADED, "the queue of this host is full")
                .withRetryAfterMs(RETRY_AFTER_MS);
    }
}
