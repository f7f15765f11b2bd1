package io.figspan.host.entry;

import io.figspan.core.error.Problem;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.policy.affinity.PrefixAffinity;
import io.figspan.policy.dispatch.DispatchAction;
import io.figspan.policy.dispatch.DispatchSettings;
import io.figspan.policy.dispatch.Prompt;
import io.figspan.policy.dispatch.PromptDispatcher;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.placement.LengthAwarePlacement;
import io.figspan.policy.placement.PromptCost;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import io.figspan.settings.SettingsLevel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Carries out what {@link PromptDispatcher} decides on this host. Used on the event loop only. */
public final class Dispatcher {
    /** Interval at which waiting prompts are looked at when no report has come in. */
    private static final long POLL_MS = 20;

    /** Told of the outcome, exactly once for each request for a place. */
    interface Listener {
        void onPlaced(BackendServerId server, long priorityDelayMs);

        void onGroupPlaced(List<BackendServerId> servers, long kvTokensEach, long priorityDelayMs);

        void onRefused(Problem problem);
    }

    /** A request for a place. */
    record Want(
            RequestId request,
            OrganisationId organisation,
            PriorityClass priority,
            PromptCost cost,
            Deadline deadline,
            long arrivedNanos) {}

    private record Waiting(Want want, Prompt prompt, Listener listener) {}

    private final HostContext context;
    private final LimitGate limits;
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private DispatchSettings settings = DispatchSettings.DEFAULT;
    private PromptDispatcher decisions;

    public Dispatcher(HostContext context, LimitGate limits) {
        this.context = context;
        this.limits = limits;
        this.decisions = newDecisions();
        context.vertx().setPeriodic(POLL_MS, id -> poll());
    }

    /**
     * Asks for a place. Returns the id under which the load view counts the prompt.
     *
     * @param again whether the prompt was admitted before; its tokens are not taken from the limit again
     */
    long submit(Want want, boolean again, Listener listener) {
        long id = context.sequence().incrementAndGet();
        Prompt prompt =
                new Prompt(id, want.organisation(), want.priority(), want.cost(), want.deadline(), want.arrivedNanos());
        waiting.put(id, new Waiting(want, prompt, listener));
        carryOut(again ? decisions.again(prompt, context.nowNanos()) : decisions.offer(prompt, context.nowNanos()));
        return id;
    }

    /** Forgets a prompt that is no longer wanted; its place in the queue is given up when its turn comes. */
    void withdraw(long id) {
        waiting.remove(id);
    }

    int queued() {
        return decisions.waiting();
    }

    /** Gives engines to the prompts whose turn it is. */
    void poll() {
        if (decisions.waiting() > 0) {
            carryOut(decisions.poll(context.nowNanos()));
        }
    }

    /** Takes over the settings in force. Prompts that wait are asked for again under the new ones. */
    public void reconfigure() {
        DispatchSettings wanted = DispatchSettings.DEFAULT.withPlacement(placement());
        if (wanted.equals(settings)) {
            return;
        }
        settings = wanted;
        decisions = newDecisions();
        for (Waiting entry : List.copyOf(waiting.values())) {
            carryOut(decisions.again(entry.prompt(), context.nowNanos()));
        }
    }

    private PromptDispatcher newDecisions() {
        return new PromptDispatcher(
                settings,
                context.backends().loads(),
                new PrefixAffinity(PrefixAffinity.DEFAULT_LOAD_BOUND),
                limits.shares(),
                organisation -> context.tree().resolve(organisation).number(SettingKey.WEIGHT),
                context.random());
    }

    /** The measured defaults of the policy, with what the settings set. */
    private LengthAwarePlacement placement() {
        ResolvedSettings fleet = context.tree().fleet();
        LengthAwarePlacement base = LengthAwarePlacement.DEFAULT;
        boolean setsSamples = fleet.level(SettingKey.PLACEMENT_SAMPLE_SIZE) != SettingsLevel.DEFAULT;
        boolean setsShare = fleet.level(SettingKey.PLACEMENT_SHARE_FREE_OF_LONG) != SettingsLevel.DEFAULT;
        return new LengthAwarePlacement(
                setsSamples ? (int) fleet.integer(SettingKey.PLACEMENT_SAMPLE_SIZE) : base.samples(),
                setsShare ? fleet.number(SettingKey.PLACEMENT_SHARE_FREE_OF_LONG) : base.keptFreeShare(),
                base.overtakenShare(),
                base.shortReserveShare(),
                base.awayTokens());
    }

    private void carryOut(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            Waiting entry = waiting.remove(action.prompt().id());
            if (entry == null) {
                forget(action);
            } else {
                tell(entry, action);
            }
        }
    }

    private void tell(Waiting entry, DispatchAction action) {
        if (action instanceof DispatchAction.Send send) {
            event(entry, "placed", send.server() + " delay " + send.priorityDelayMs() + " ms");
            entry.listener().onPlaced(send.server(), send.priorityDelayMs());
        } else if (action instanceof DispatchAction.SendGroup group) {
            event(entry, "placedOnGroup", group.servers() + " delay " + group.priorityDelayMs() + " ms");
            entry.listener().onGroupPlaced(group.servers(), group.kvTokensEach(), group.priorityDelayMs());
        } else if (action instanceof DispatchAction.Refuse refuse) {
            entry.listener().onRefused(refuse.problem());
        }
    }

    /** Takes a prompt that was withdrawn out of the load view again. */
    private void forget(DispatchAction action) {
        if (action instanceof DispatchAction.Send send) {
            context.backends().loads().finished(send.server(), send.prompt().id());
        } else if (action instanceof DispatchAction.SendGroup group) {
            group.servers().forEach(server -> context.backends()
                    .loads()
                    .finished(server, group.prompt().id()));
        }
    }

    private void event(Waiting entry, String kind, String text) {
        context.timeline().add(Part.PLACE, kind, entry.want().request().value(), text);
    }
}
