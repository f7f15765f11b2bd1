package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.time.Deadline;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import io.figspan.policy.affinity.PromptPart;
import io.figspan.policy.affinity.PromptPrefix;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.settings.gateway.EngineProfile;
import io.figspan.settings.gateway.PrefixRetention;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against affinity that overloads one engine, that waits for an engine without the prefix, that changes
 * decisions where nothing is saved, and that saves nothing where it could.
 */
class CacheAffinityTest {
    private static final EngineProfile ENGINE =
            new EngineProfile(4, 315_000, 51, 0.85, 0.006, 0.0029, 177, 0.184, 2_048, 200, 0.05);
    private static final Optional<PrefixRetention> RETAINED = Optional.of(new PrefixRetention(20_000));
    private static final Optional<PrefixRetention> UNCONFIGURED = Optional.empty();
    private static final int ENGINES = 6;
    private static final long OWN_TOKENS = 1_000;

    private static PromptPrefix part(int number, long tokens) {
        return PromptPrefix.of(List.of(new PromptPart(PromptPartId.of("part" + number), tokens)));
    }

    private static List<AvailableServer> servers(Optional<BackendServerId> restarted) {
        List<AvailableServer> servers = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            BackendServerId id = BackendServerId.of("engine-" + i);
            servers.add(new AvailableServer(id, ENGINE.slots(), restarted.equals(Optional.of(id)) ? 1 : 0));
        }
        return servers;
    }

    private static Job job(PromptPrefix prefix, long promptTokens, long nowNanos) {
        return new Job(
                "job",
                nowNanos,
                Deadline.after(nowNanos, 15_000),
                TimeUnit.MILLISECONDS.toNanos(600),
                TimeUnit.SECONDS.toNanos(1),
                1,
                Optional.of(new PromptLengths(promptTokens, 2_000, OptionalInt.empty())),
                Optional.empty(),
                prefix);
    }

    /**
     * Hosts that hear of each other's work every 200 ms. Each engine prefills one share at a time, and holds the
     * latest parts that fit into its memory beside two requests.
     */
    private static final class Load {
        private final List<EnginePlacer> hosts = new ArrayList<>();
        private final int parts;
        private final long partTokens;
        private final SplittableRandom random = new SplittableRandom(7);
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
        private final Map<BackendServerId, Double> freeAtMs = new HashMap<>();
        private final Map<BackendServerId, Map<Integer, Double>> heldUntilMs = new HashMap<>();
        private final Map<String, BackendServerId> lastChoices = new HashMap<>();
        private final Map<Job, Integer> partOf = new HashMap<>();
        private double nowMs;
        final List<BackendServerId> decisions = new ArrayList<>();
        double firstTokenMs;
        int hits;
        int comparedChoices;
        int sameChoices;

        private record Event(double atMs, Runnable action) {}

        Load(Optional<PrefixRetention> retention, int hostCount, int parts, long partTokens) {
            this.parts = parts;
            this.partTokens = partTokens;
            for (int i = 0; i < hostCount; i++) {
                hosts.add(new EnginePlacer(ENGINE, new SplittableRandom(i), RequestGate.OPEN, retention));
                hosts.get(i).serversChanged(servers(Optional.empty()), 0);
            }
        }

        Load run(double requestsPerSecond, int requests, boolean nameParts) {
            double untilMs = 0;
            for (int i = 0; i < requests; i++) {
                untilMs += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
                int host = random.nextInt(hosts.size());
                int part = random.nextInt(parts);
                events.add(new Event(untilMs, () -> arrive(host, part, nameParts)));
            }
            for (double atMs = 0; hosts.size() > 1 && atMs < untilMs; atMs += 200) {
                events.add(new Event(atMs, this::exchangeWork));
            }
            while (!events.isEmpty()) {
                Event event = events.poll();
                nowMs = event.atMs();
                event.action().run();
            }
            assertEquals(requests, decisions.size(), "every request is sent");
            return this;
        }

        private long nowNanos() {
            return (long) (nowMs * 1e6);
        }

        private void exchangeWork() {
            long nowNanos = nowNanos();
            List<List<PlacedRequest>> work =
                    hosts.stream().map(host -> host.ownWork(nowNanos)).toList();
            for (int to = 0; to < hosts.size(); to++) {
                for (int from = 0; from < hosts.size(); from++) {
                    if (from != to) {
                        carryOut(to, hosts.get(to).peerWork(HostId.of("host-" + from), work.get(from), nowNanos));
                    }
                }
            }
        }

        private void arrive(int host, int part, boolean nameParts) {
            PromptPrefix prefix = nameParts ? part(part, partTokens) : PromptPrefix.EMPTY;
            Job job = job(prefix, partTokens + OWN_TOKENS, nowNanos());
            partOf.put(job, part);
            carryOut(host, hosts.get(host).arrived(job, nowNanos()));
        }

        private void carryOut(int host, List<Placement> placements) {
            for (Placement placement : placements) {
                if (placement instanceof Placement.Send send) {
                    start(host, send);
                }
            }
        }

        private void start(int host, Placement.Send send) {
            Job job = send.job();
            int part = partOf.get(job);
            decisions.add(send.server());
            compareChoices(host, part, send.server());
            Map<Integer, Double> held = heldUntilMs.computeIfAbsent(send.server(), id -> new LinkedHashMap<>());
            Double untilMs = held.remove(part);
            boolean hit = send.readers().isEmpty() && untilMs != null && untilMs >= nowMs;
            hits += hit ? 1 : 0;
            int engines = 1 + send.readers().size();
            PrefillShare share = hit
                    ? PrefillShare.afterPrefix(job.promptTokens(), (double) partTokens)
                    : PrefillShare.of(job.promptTokens(), engines);
            double doneMs = prefilledMs(send.server(), share);
            for (PrefillReader reader : send.readers()) {
                doneMs = Math.max(doneMs, prefilledMs(reader.server(), share));
            }
            finish(host, job, doneMs);
            held.put(part, doneMs + 400 + 20_000);
            if (held.size() * partTokens > ENGINE.memoryTokens() - 2 * (partTokens + OWN_TOKENS)) {
                held.remove(held.keySet().iterator().next());
            }
        }

        private double prefilledMs(BackendServerId server, PrefillShare share) {
            double doneMs = Math.max(nowMs, freeAtMs.getOrDefault(server, 0.0)) + share.prefillMs(ENGINE);
            freeAtMs.put(server, doneMs);
            return doneMs;
        }

        private void finish(int host, Job job, double doneMs) {
            firstTokenMs += doneMs - Millis.of(job.arrivedNanos());
            events.add(new Event(doneMs, () -> hosts.get(host).pieceArrived(job, 1, nowNanos())));
            double endMs = doneMs + 400;
            events.add(new Event(
                    endMs, () -> carryOut(host, hosts.get(host).ended(job, AttemptOutcome.SERVED, nowNanos()))));
        }

        private void compareChoices(int host, int part, BackendServerId server) {
            BackendServerId other = lastChoices.get((1 - host) + "/" + part);
            if (other != null) {
                comparedChoices++;
                sameChoices += other.equals(server) ? 1 : 0;
            }
            lastChoices.put(host + "/" + part, server);
        }

        double meanFirstTokenMs() {
            return firstTokenMs / decisions.size();
        }

        double agreement() {
            return (double) sameChoices / comparedChoices;
        }

        @Override
        public String toString() {
            return "first token %.1f ms, hits %d, same choice %.3f, largest share %.3f"
                    .formatted(meanFirstTokenMs(), hits, agreement(), largestShare());
        }

        double largestShare() {
            Map<BackendServerId, Integer> counts = new HashMap<>();
            decisions.forEach(server -> counts.merge(server, 1, Integer::sum));
            return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0) / (double) decisions.size();
        }
    }

    @Test
    void withoutConfiguredRetentionPartsChangeNoDecision() {
        List<BackendServerId> named = new Load(UNCONFIGURED, 2, 12, 20_000).run(15, 1_500, true).decisions;
        assertEquals(new Load(UNCONFIGURED, 2, 12, 20_000).run(15, 1_500, false).decisions, named);
    }

    @Test
    void partsOfFortyTokensChangeNoDecision() {
        List<BackendServerId> without = new Load(UNCONFIGURED, 2, 12, 40).run(15, 1_500, true).decisions;
        assertEquals(without, new Load(RETAINED, 2, 12, 40).run(15, 1_500, true).decisions);
        assertEquals(without, new Load(Optional.of(PrefixRetention.NONE), 2, 12, 40).run(15, 1_500, true).decisions);
    }

    @Test
    void partsOfTwentyThousandTokensChangeDecisionsAndLowerTheTimeToTheFirstToken() {
        Load without = new Load(UNCONFIGURED, 1, 12, 20_000).run(15, 1_500, true);
        Load with = new Load(RETAINED, 1, 12, 20_000).run(15, 1_500, true);
        assertNotEquals(without.decisions, with.decisions);
        assertTrue(with.meanFirstTokenMs() < 0.8 * without.meanFirstTokenMs(), with + " instead of " + without);
    }

    @Test
    void aHotPartDoesNotGatherOnOneEngine() {
        Load without = new Load(UNCONFIGURED, 1, 1, 20_000).run(20, 1_500, true);
        Load with = new Load(RETAINED, 1, 1, 20_000).run(20, 1_500, true);
        assertTrue(with.largestShare() < 0.4, with + " instead of " + without);
        assertTrue(with.meanFirstTokenMs() <= without.meanFirstTokenMs(), with + " instead of " + without);
    }

    /** With 48 parts the engines can't hold each part more than twice, so unlike choices cost room for others. */
    @Test
    void mostPromptsFindTheirPartAlthoughTwoHostsSeeOnlyTheirOwnSends() {
        for (int parts : new int[] {12, 48}) {
            Load without = new Load(UNCONFIGURED, 2, parts, 20_000).run(15, 1_500, true);
            Load one = new Load(RETAINED, 1, parts, 20_000).run(15, 1_500, true);
            Load two = new Load(RETAINED, 2, parts, 20_000).run(15, 1_500, true);
            assertTrue(two.agreement() > without.agreement(), two + " instead of " + without);
            assertTrue(two.hits > 0.6 * one.hits, two + ", with one host " + one);
            assertTrue(two.meanFirstTokenMs() < without.meanFirstTokenMs());
        }
    }

    /** Places prompts with the same part at one engine, which then is slightly busier than the others. */
    private static final class Holder {
        private final EnginePlacer placer =
                new EnginePlacer(ENGINE, new SplittableRandom(1), RequestGate.OPEN, RETAINED);
        private final Job first = job(part(1, 20_000), 21_000, 0);
        final BackendServerId engine;

        Holder(AttemptOutcome outcome) {
            placer.serversChanged(servers(Optional.empty()), 0);
            engine = send(first);
            if (outcome == AttemptOutcome.SERVED) {
                placer.pieceArrived(first, 1, 1);
            }
            placer.ended(first, outcome, 1);
            peerWork(1_000);
        }

        BackendServerId send(Job job) {
            return ((Placement.Send) placer.arrived(job, 1).get(0)).server();
        }

        void peerWork(long tokens) {
            PlacedRequest work = new PlacedRequest(1, engine, List.of(), tokens, 100, 1, 0, 500, 0);
            placer.peerWork(HostId.of("peer"), List.of(), 1);
            placer.peerWork(HostId.of("peer"), List.of(work), 1);
        }

        BackendServerId next() {
            return send(job(part(1, 20_000), 21_000, 1));
        }
    }

    @Test
    void theEngineThatHoldsThePartIsPreferredToIdleOnes() {
        Holder holder = new Holder(AttemptOutcome.SERVED);
        assertEquals(holder.engine, holder.next());
    }

    @Test
    void anEngineThatRestartedIsNotPreferred() {
        Holder holder = new Holder(AttemptOutcome.SERVED);
        holder.placer.serversChanged(servers(Optional.of(holder.engine)), 1);
        assertNotEquals(holder.engine, holder.next());
    }

    @Test
    void anEngineThatFailedToAnswerIsNotPreferred() {
        Holder holder = new Holder(AttemptOutcome.FAILED);
        assertNotEquals(holder.engine, holder.next());
    }

    /** Another prompt is placed while the memory is in use, and both have ended when the part is asked for again. */
    private static boolean isPreferredAfterUseOf(long memoryTokens) {
        Holder holder = new Holder(AttemptOutcome.SERVED);
        holder.peerWork(memoryTokens);
        Job other = job(part(2, 20_000), 21_000, 1);
        holder.send(other);
        holder.placer.ended(other, AttemptOutcome.FAILED, 1);
        holder.peerWork(1_000);
        return holder.next().equals(holder.engine);
    }

    @Test
    void anEngineWhoseMemoryWasFullIsNotPreferred() {
        assertTrue(isPreferredAfterUseOf(100_000));
        assertFalse(isPreferredAfterUseOf(310_000));
    }
}
