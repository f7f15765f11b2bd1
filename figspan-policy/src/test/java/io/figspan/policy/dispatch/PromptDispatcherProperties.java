package io.figspan.policy.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.RunState;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.Deadline;
import io.figspan.policy.affinity.PrefixAffinity;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.limit.OrganisationLimit;
import io.figspan.policy.limit.OrganisationLimits;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.placement.LoadReport;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.placement.PromptCost;
import io.figspan.policy.subset.EngineLocation;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against prompts that get no action and so are never answered, and against prompts that are sent although they
 * cannot meet their deadline.
 */
class PromptDispatcherProperties {
    private static final EngineSpeed SPEED = new EngineSpeed(40_000, 2_048, 50_000_000, 400_000);
    private static final OrganisationId ORGANISATION = OrganisationId.of("organisation");
    private static final int QUEUE_CAPACITY = 5;

    private static PromptDispatcher dispatcher(LoadView view, SplittableRandom random) {
        HostId self = HostId.of("host-0");
        OrganisationLimits limits = new OrganisationLimits(self, 0);
        limits.configure(
                ORGANISATION,
                new OrganisationLimit(200_000, 10, 1),
                List.of(new EntryHost(self, AvailabilityZoneId.of("az-0"))),
                0);
        DispatchSettings defaults = DispatchSettings.DEFAULT;
        DispatchSettings settings = new DispatchSettings(
                defaults.placement(), defaults.groups(), 1_400, 4, 30, 500, defaults.admissionMargin(), QUEUE_CAPACITY);
        return new PromptDispatcher(
                settings,
                view,
                new PrefixAffinity(PrefixAffinity.DEFAULT_LOAD_BOUND),
                limits,
                organisation -> 1,
                random);
    }

    @Property(tries = 150, seed = "1")
    void eachPromptIsQueuedOrGetsExactlyOneActionAndNoneIsSentThatMissesItsDeadline(
            @ForAll @IntRange(min = 10, max = 120) int steps, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoadView view = new LoadView(SPEED);
        for (int i = 0; i < 6; i++) {
            view.add(new EngineLocation(BackendServerId.of("runner-" + i), AvailabilityZoneId.of("az-" + i % 2)));
        }
        PromptDispatcher dispatcher = dispatcher(view, random);
        Set<Long> answered = new HashSet<>();
        int offered = 0;
        long now = 0;
        for (int step = 1; step <= steps; step++) {
            now += random.nextLong(300_000_000L);
            BackendServerId server = BackendServerId.of("runner-" + random.nextInt(6));
            view.report(
                    server,
                    new LoadReport(step, random.nextLong(200_000), 2, random.nextLong(400_000), 400_000, 0),
                    now - random.nextLong(2_000_000_000L));
            List<DispatchAction> actions;
            if (random.nextBoolean()) {
                offered++;
                actions = dispatcher.offer(prompt(step, random, now), now);
            } else {
                actions = dispatcher.poll(now);
            }
            for (DispatchAction action : actions) {
                assertTrue(answered.add(action.prompt().id()), "two actions for one prompt");
                check(action, view, now);
            }
            assertEquals(offered, answered.size() + dispatcher.queuedPrompts());
            assertTrue(dispatcher.queuedPrompts() <= 3 * QUEUE_CAPACITY);
        }
    }

    private static Prompt prompt(long id, SplittableRandom random, long now) {
        long tokens = (long) (1_000 * Math.pow(1_000, random.nextDouble()));
        Deadline deadline = Deadline.after(now, 500 + random.nextLong(60_000));
        PromptCost cost = new PromptCost(tokens, 20 + random.nextLong(200), 0, 0);
        return new Prompt(id, ORGANISATION, PriorityClass.STANDARD, cost, deadline, now);
    }

    private static void check(DispatchAction action, LoadView view, long now) {
        PromptCost cost = action.prompt().cost();
        long minNanos = SPEED.prefillNanos(cost.promptTokens()) + SPEED.decodeNanos(cost.maxOutputTokens());
        if (action instanceof DispatchAction.Refuse refuse) {
            assertEquals(RunState.NOT_RUN, refuse.problem().run());
            return;
        }
        assertTrue(now + minNanos <= action.prompt().deadline().atNanos(), "sent although it cannot meet its deadline");
        if (action instanceof DispatchAction.SendGroup group) {
            assertTrue(group.servers().size() > 1);
            assertTrue(group.kvTokensEach() * group.servers().size() >= cost.kvTokens());
            Set<AvailabilityZoneId> zones = new HashSet<>();
            group.servers().forEach(server -> zones.add(view.get(server).zone()));
            assertEquals(1, zones.size());
        }
    }
}
