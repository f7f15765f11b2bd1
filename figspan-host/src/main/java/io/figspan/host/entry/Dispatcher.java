package io.figspan.host.entry;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.figspan.policy.affinity.PrefixAffinity;
import io.figspan.policy.dispatch.DispatchAction;
import io.figspan.policy.dispatch.DispatchSettings;
import io.figspan.policy.dispatch.Prompt;
import io.figspan.policy.dispatch.PromptDispatcher;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.placement.LengthAwarePlacement;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.subset.HomeEngines;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Drives the decisions of {@link PromptDispatcher}: passes on prompts and time, and tells each prompt its outcome. */
final class Dispatcher {
    /** Interval at which waiting prompts are looked at when no report has come in. */
    private static final long POLL_INTERVAL_MS = 20;

    private static final long RETRY_AFTER_MS = 1_000;

    /** Told of each decision on a prompt. */
    interface Listener {
        /** Send the prompt to this engine. */
        void onPlaced(BackendServerId server, long priorityDelayMs);

        /** Reserve these engines, then send the prompt's segments to them in this order. */
        void onGroup(List<BackendServerId> servers, long priorityDelayMs);

        /** Nothing of the prompt was sent by this decision. */
        void onRefused(Problem problem);
    }

    private record Waiting(Prompt prompt, Listener listener) {}

    private final HostContext context;
    private final PrefixAffinity affinity = new PrefixAffinity(PrefixAffinity.DEFAULT_LOAD_BOUND);
    private final ShareLimits shares;
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private PromptDispatcher decisions;
    private SettingsVersion version = SettingsVersion.NONE;
    private Set<BackendServerId> engines = Set.of();
    private long capacityTokens;

    Dispatcher(HostContext context) {
        this.context = context;
        this.shares = new ShareLimits(context);
        this.decisions = newDecisions();
        context.vertx().setPeriodic(POLL_INTERVAL_MS, id -> poll());
    }

    /** Takes a new prompt; the listener is told at once or later. */
    void submit(Prompt prompt, Listener listener) {
        refresh();
        if (context.backends().engines().stream().allMatch(BackendTable.Server::isLeaving)) {
            listener.onRefused(Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "no engine takes new work")
                    .withRetryAfterMs(RETRY_AFTER_MS));
            return;
        }
        shares.ensureConfigured(prompt.organisation());
        waiting.put(prompt.id(), new Waiting(prompt, listener));
        carryOut(decisions.offer(prompt, context.nowNanos()));
    }

    /** Takes a prompt again that was sent and has to go elsewhere; it has been counted already. */
    void submitAgain(Prompt prompt, Listener listener) {
        waiting.put(prompt.id(), new Waiting(prompt, listener));
        carryOut(decisions.requeue(prompt, context.nowNanos()));
    }

    /** Forgets a prompt that is no longer wanted. */
    void withdraw(Prompt prompt) {
        if (waiting.remove(prompt.id()) != null) {
            decisions.withdraw(prompt);
        }
    }

    /** Notes the first token of a prompt that was sent to an engine, or to a group of engines, at {@code sentNanos}. */
    void firstToken(Prompt prompt, BackendServerId server, long sentNanos) {
        decisions.recordFirstToken(prompt, server, sentNanos, context.nowNanos());
    }

    int queued() {
        return decisions.queuedPrompts();
    }

    /** Gives engines to the prompts whose turn it is. */
    void poll() {
        refresh();
        carryOut(decisions.poll(context.nowNanos()));
    }

    private void carryOut(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            Waiting decided = waiting.remove(action.prompt().id());
            if (decided != null) {
                tell(decided, action);
            }
        }
    }

    private void tell(Waiting decided, DispatchAction action) {
        if (action instanceof DispatchAction.Send send) {
            decided.listener().onPlaced(send.server(), send.priorityDelayMs());
        } else if (action instanceof DispatchAction.SendGroup group) {
            decided.listener().onGroup(group.servers(), group.priorityDelayMs());
        } else if (action instanceof DispatchAction.Refuse refuse) {
            decided.listener().onRefused(refuse.problem());
        }
    }

    // Settings and engines

    /** Takes over new settings and a changed set of engines. Prompts that wait are decided anew. */
    private void refresh() {
        context.backends().refreshAges(context.nowNanos());
        LoadView loads = context.backends().loads();
        long smallestTokens = context.backends().smallestCapacityTokens();
        boolean unchanged = smallestTokens == capacityTokens
                && version.equals(context.settings().version())
                && engines.size() == loads.engines().size()
                && loads.engines().stream().allMatch(load -> engines.contains(load.server()));
        if (unchanged) {
            return;
        }
        version = context.settings().version();
        capacityTokens = smallestTokens;
        context.backends().setSubsetSize((int) context.tree().fleet().integer(SettingKey.PLACEMENT_SUBSET_SIZE));
        engines = loads.engines().stream().map(LoadView.EngineLoad::server).collect(Collectors.toUnmodifiableSet());
        loads.setSpeed(speed());
        loads.setHomeEngines(HomeEngines.choose(context.config().hostId(), seats(), engines));
        shares.reconfigure(context.backends().engineCount());
        decisions = newDecisions();
        List.copyOf(waiting.values()).forEach(kept -> carryOut(decisions.requeue(kept.prompt(), context.nowNanos())));
    }

    private PromptDispatcher newDecisions() {
        return new PromptDispatcher(
                dispatchSettings(),
                context.backends().loads(),
                affinity,
                shares.limits(),
                shares::weightOf,
                context.random());
    }

    private List<HostId> seats() {
        return context.seats().stream().map(EntryHost::host).toList();
    }

    private EngineSpeed speed() {
        ResolvedSettings fleet = context.tree().fleet();
        return new EngineSpeed(
                fleet.integer(SettingKey.ENGINES_PREFILL_TOKENS_PER_SECOND),
                fleet.integer(SettingKey.ENGINES_PREFILL_CHUNK_TOKENS),
                TimeUnit.MICROSECONDS.toNanos(fleet.integer(SettingKey.ENGINES_DECODE_STEP_MICROS)),
                capacityTokens > 0 ? capacityTokens : fleet.integer(SettingKey.ENGINES_MEMORY_TOKENS));
    }

    private DispatchSettings dispatchSettings() {
        ResolvedSettings fleet = context.tree().fleet();
        LengthAwarePlacement placement = new LengthAwarePlacement(
                (int) fleet.integer(SettingKey.PLACEMENT_SAMPLE_SIZE),
                fleet.number(SettingKey.PLACEMENT_SHARE_FREE_OF_LONG),
                LengthAwarePlacement.DEFAULT.maxAheadRatio(),
                LengthAwarePlacement.DEFAULT.shortReserveShare(),
                LengthAwarePlacement.DEFAULT.nonHomePenaltyTokens());
        return DispatchSettings.DEFAULT
                .withPlacement(placement)
                .withAdmissionMargin(fleet.number(SettingKey.ADMISSION_SAFETY_FACTOR));
    }
}
