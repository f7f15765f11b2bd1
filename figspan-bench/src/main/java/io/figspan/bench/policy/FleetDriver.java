package io.figspan.bench.policy;

import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.Deadline;
import io.figspan.policy.affinity.CacheEvent;
import io.figspan.policy.dispatch.DispatchAction;
import io.figspan.policy.dispatch.Prompt;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.entry.EntryList;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.placement.LoadReport;
import io.figspan.policy.placement.PromptCost;
import io.figspan.policy.subset.EngineLocation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Runs one scenario: arrivals, hosts with their own views, engines, late reports and late cache events. */
final class FleetDriver {
    static final long DEADLINE_MS = 20_000;
    static final long DEADLINE_MS_PER_THOUSAND_TOKENS = 100;

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long REPORT_INTERVAL_NANOS = SECOND_NANOS / 2;
    private static final long POLL_INTERVAL_NANOS = SECOND_NANOS / 10;
    private static final long HOLD_TIMEOUT_NANOS = 3 * SECOND_NANOS;
    private static final long GROUP_RETRY_NANOS = SECOND_NANOS / 5;
    private static final double REPORT_LOSS = 0.05;
    private static final double CACHE_EVENT_LOSS = 0.05;
    /** A greedy organisation sends this many times its share on top of it, from the start of the measured time. */
    private static final double GREEDY_EXTRA = 9;

    private static final long DRAIN_SECONDS = 150;

    private final Scenario scenario;
    private final Outcome outcome = new Outcome();
    private final EventQueue events = new EventQueue();
    private final SplittableRandom network;
    private final Map<BackendServerId, Engine> engines = new LinkedHashMap<>();
    private final List<HostModel> hosts = new ArrayList<>();
    private final List<OrganisationId> organisations = new ArrayList<>();
    private final List<List<Integer>> entryLists = new ArrayList<>();
    private final Map<Prompt, Job> jobs = new HashMap<>();
    private final Map<Long, List<Job>> held = new HashMap<>();
    private final long fromNanos;
    private final long toNanos;
    private long nextId;

    FleetDriver(Scenario scenario) {
        this.scenario = scenario;
        SplittableRandom root = new SplittableRandom(scenario.seed());
        SplittableRandom arrivals = root.split();
        network = root.split();
        fromNanos = Scenario.WARM_UP_SECONDS * SECOND_NANOS;
        toNanos = fromNanos + scenario.seconds() * SECOND_NANOS;
        createFleet(root);
        for (int i = 0; i < organisations.size(); i++) {
            SplittableRandom random = arrivals.split();
            double rate = Deployment.SHARES[i]
                    * scenario.load()
                    * scenario.deployment().capacityPerSecond();
            scheduleArrival(random, i, rate);
            SplittableRandom more = arrivals.split();
            if (i == scenario.greedy()) {
                int organisation = i;
                events.after(fromNanos, () -> scheduleArrival(more, organisation, GREEDY_EXTRA * rate));
            }
        }
        engines.values().forEach(this::scheduleReport);
        hosts.forEach(this::schedulePoll);
    }

    static Outcome run(Scenario scenario) {
        FleetDriver driver = new FleetDriver(scenario);
        driver.events.runUntil(driver.toNanos + DRAIN_SECONDS * SECOND_NANOS);
        for (Engine engine : driver.engines.values()) {
            driver.outcome.hitTokens += engine.hitTokens;
            driver.outcome.sharedTokens += engine.sharedTokens;
        }
        driver.outcome.measuredSeconds = scenario.seconds();
        return driver.outcome;
    }

    private void createFleet(SplittableRandom root) {
        List<EngineLocation> runners = new ArrayList<>();
        for (int i = 0; i < Deployment.RUNNERS; i++) {
            EngineLocation runner = new EngineLocation(BackendServerId.of(String.format("runner-%02d", i)), zone(i));
            runners.add(runner);
            engines.put(runner.server(), new Engine(runner, events, this::deliver));
        }
        List<EntryHost> roster = new ArrayList<>();
        for (int i = 0; i < scenario.hosts(); i++) {
            roster.add(new EntryHost(HostId.of("host-" + i), zone(i)));
        }
        Map<OrganisationId, Double> shares = new LinkedHashMap<>();
        for (int i = 0; i < Deployment.SHARES.length; i++) {
            OrganisationId organisation = OrganisationId.of("organisation-" + i);
            organisations.add(organisation);
            shares.put(organisation, Deployment.SHARES[i]);
            entryLists.add(EntryList.choose(organisation, Deployment.SHARES[i], roster).stream()
                    .map(roster::indexOf)
                    .toList());
        }
        for (EntryHost host : roster) {
            hosts.add(HostModel.create(scenario, host.host(), runners, shares, roster, root.split()));
        }
    }

    private static AvailabilityZoneId zone(int index) {
        return AvailabilityZoneId.of("az-" + index % Deployment.ZONES);
    }

    // ---- Arrivals ----

    private void scheduleArrival(SplittableRandom random, int organisation, double perSecond) {
        long gapNanos = (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND_NANOS);
        if (events.nowNanos() + gapNanos >= toNanos) {
            return;
        }
        events.after(gapNanos, () -> {
            arrive(random, organisation);
            scheduleArrival(random, organisation, perSecond);
        });
    }

    private void arrive(SplittableRandom random, int organisation) {
        Deployment deployment = scenario.deployment();
        LengthClass lengthClass = deployment.drawClass(random);
        int promptTokens = lengthClass.lengthTokens(random.nextDouble());
        int outputTokens = random.nextInt(Deployment.MIN_OUTPUT_TOKENS, Deployment.MAX_OUTPUT_TOKENS + 1);
        boolean shared = random.nextDouble() < deployment.prefixShare();
        int prefixIndex = random.nextInt(Deployment.PREFIXES_PER_ORGANISATION);
        int host = entryLists
                .get(organisation)
                .get(random.nextInt(entryLists.get(organisation).size()));
        if (scenario.onlyShort() && !lengthClass.isShort()) {
            return;
        }
        int prefixTokens = shared ? deployment.prefixTokens(lengthClass) : 0;
        long prefixHash = prefixTokens == 0 ? 0 : prefixHash(organisation, prefixIndex, prefixTokens);
        long now = events.nowNanos();
        long deadlineMs = DEADLINE_MS + DEADLINE_MS_PER_THOUSAND_TOKENS * promptTokens / 1_000;
        Prompt prompt = new Prompt(
                nextId++,
                organisations.get(organisation),
                PriorityClass.INTERACTIVE,
                new PromptCost(promptTokens, outputTokens, prefixHash, prefixTokens),
                Deadline.after(now, deadlineMs),
                now);
        Job job = new Job(prompt, lengthClass, organisation, host, outputTokens);
        jobs.put(prompt, job);
        if (measured(job)) {
            outcome.offered(job);
            outcome.admitted(job);
        }
        events.after(deadlineMs * 1_000_000, () -> expire(job));
        perform(hosts.get(host).offer(prompt, now));
    }

    private static long prefixHash(int organisation, int index, int tokens) {
        return new SplittableRandom(organisation * 1_000_003L + index * 101L + tokens).nextLong();
    }

    private boolean measured(Job job) {
        return job.arrivedNanos >= fromNanos;
    }

    // ---- Actions of the hosts ----

    private void perform(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            Job job = jobs.get(action.prompt());
            if (job == null) {
                continue;
            }
            if (action instanceof DispatchAction.Refuse refuse) {
                refuse(job, refuse.problem().kind());
            } else if (action instanceof DispatchAction.Send send) {
                long order = order(send.priorityDelayMs());
                PromptCost cost = send.prompt().cost();
                job.sentNanos = events.nowNanos();
                Job part = job.part(order, cost.kvTokens(), cost.promptTokens(), job.outputTokens);
                runLast(job, part, engines.get(send.server()));
            } else if (action instanceof DispatchAction.SendGroup group) {
                acquire(job, group, 0);
            }
        }
    }

    private long order(long priorityDelayMs) {
        return scenario.scheme() == Scheme.CURRENT
                ? events.nowNanos() + priorityDelayMs * 1_000_000
                : events.nowNanos();
    }

    private void refuse(Job job, ProblemKind kind) {
        jobs.remove(job.prompt);
        if (measured(job)) {
            outcome.refused(job, kind);
        }
    }

    /** Runs the part that produces the tokens. */
    private void runLast(Job job, Job part, Engine engine) {
        held.computeIfAbsent(job.prompt.id(), id -> new ArrayList<>()).add(part);
        part.engine = engine;
        HostModel host = hosts.get(job.host);
        part.onPrefilled = () -> {
            job.firstTokenSeen = true;
            held.getOrDefault(job.prompt.id(), List.of())
                    .forEach(each -> host.view.recordFirstToken(each.engine.runner.server(), job.prompt.id()));
            host.firstToken(job.prompt, engine.runner.server(), job.sentNanos, events.nowNanos());
            if (measured(job)) {
                outcome.firstToken(job, events.nowNanos());
            }
        };
        part.onFinished = () -> {
            jobs.remove(job.prompt);
            letGo(job);
            if (measured(job)) {
                outcome.finished(job);
            }
            perform(host.poll(events.nowNanos()));
        };
        engine.submit(part);
    }

    /** Acquires the holds of a group one after the other, then runs the segments. */
    private void acquire(Job job, DispatchAction.SendGroup group, int index) {
        if (index == group.servers().size()) {
            job.sentNanos = events.nowNanos();
            runSegment(job, group, 0);
            return;
        }
        Job hold = job.part(order(group.priorityDelayMs()), group.kvTokensEach(), 0, 0);
        hold.hold = true;
        hold.engine = engines.get(group.servers().get(index));
        held.computeIfAbsent(job.prompt.id(), id -> new ArrayList<>()).add(hold);
        hold.onPrefilled = () -> acquire(job, group, index + 1);
        hold.engine.submit(hold);
        events.after(HOLD_TIMEOUT_NANOS, () -> {
            if (!hold.resident && !hold.abandoned) {
                giveUpGroup(job);
            }
        });
    }

    private void giveUpGroup(Job job) {
        letGo(job);
        events.after(GROUP_RETRY_NANOS + network.nextLong(GROUP_RETRY_NANOS), () -> {
            if (jobs.containsKey(job.prompt)) {
                perform(hosts.get(job.host).again(job.prompt, events.nowNanos()));
            }
        });
    }

    private void runSegment(Job job, DispatchAction.SendGroup group, int index) {
        int size = group.servers().size();
        long tokens = job.prompt.cost().promptTokens() / size;
        Engine engine = engines.get(group.servers().get(index));
        if (index == size - 1) {
            runLast(job, job.part(order(group.priorityDelayMs()), 0, tokens, job.outputTokens), engine);
            return;
        }
        Job segment = job.part(order(group.priorityDelayMs()), 0, tokens, 1);
        segment.engine = engine;
        held.get(job.prompt.id()).add(segment);
        segment.onPrefilled = () -> {};
        segment.onFinished = () -> runSegment(job, group, index + 1);
        engine.submit(segment);
    }

    private void letGo(Job job) {
        List<Job> parts = held.remove(job.prompt.id());
        if (parts == null) {
            return;
        }
        for (Job part : parts) {
            hosts.get(job.host).view.recordFinished(part.engine.runner.server(), job.prompt.id());
            part.engine.cancel(part);
            job.processedTokens += part.processedTokens;
        }
    }

    private void expire(Job job) {
        if (jobs.remove(job.prompt) == null) {
            return;
        }
        letGo(job);
        if (measured(job)) {
            outcome.wastedTokens += job.processedTokens;
            if (!job.firstTokenSeen) {
                outcome.firstToken(job, events.nowNanos());
            }
        }
    }

    // ---- Reports, cache events and polls ----

    private void scheduleReport(Engine engine) {
        events.after(REPORT_INTERVAL_NANOS, () -> {
            LoadReport report = engine.report();
            long measuredAtNanos = events.nowNanos();
            for (HostModel host : hosts) {
                if (network.nextDouble() >= REPORT_LOSS) {
                    events.after(
                            scenario.lagMs() * 1_000_000,
                            () -> host.view.report(engine.runner.server(), report, measuredAtNanos));
                }
            }
            scheduleReport(engine);
        });
    }

    private void schedulePoll(HostModel host) {
        events.after(POLL_INTERVAL_NANOS, () -> {
            perform(host.poll(events.nowNanos()));
            schedulePoll(host);
        });
    }

    private void deliver(CacheEvent event) {
        for (HostModel host : hosts) {
            if (network.nextDouble() >= CACHE_EVENT_LOSS) {
                events.after(SECOND_NANOS + network.nextLong(2 * SECOND_NANOS), () -> host.affinity.onEvent(event));
            }
        }
    }
}
