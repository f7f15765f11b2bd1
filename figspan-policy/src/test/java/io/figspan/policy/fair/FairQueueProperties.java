package io.figspan.policy.fair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.OrganisationId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against organisations that receive more than their weighted share of service at the expense of others. */
class FairQueueProperties {
    private static final long AGEING = 1_000;

    private static double weight(OrganisationId organisation) {
        return 1 + organisation.value().charAt(0) - 'a';
    }

    /** Reference implementation that scans one list for each decision. */
    private static final class ReferenceQueue {
        private final List<FairQueue.Entry<Integer>> entries = new ArrayList<>();
        private final Map<OrganisationId, Double> service = new HashMap<>();
        private double virtualTime;

        void offer(FairQueue.Entry<Integer> entry) {
            boolean active =
                    entries.stream().anyMatch(other -> other.organisation().equals(entry.organisation()));
            if (!active) {
                service.put(entry.organisation(), virtualTime);
            }
            entries.add(entry);
        }

        Optional<FairQueue.Entry<Integer>> poll(long now) {
            FairQueue.Entry<Integer> best = null;
            for (FairQueue.Entry<Integer> entry : entries) {
                if (best == null || isBefore(entry, best, now)) {
                    best = entry;
                }
            }
            if (best != null) {
                entries.remove(best);
                OrganisationId organisation = best.organisation();
                virtualTime = Math.max(virtualTime, service.get(organisation));
                service.merge(organisation, best.tokens() / weight(organisation), Double::sum);
                if (entries.stream().noneMatch(other -> other.organisation().equals(organisation))) {
                    virtualTime = Math.max(virtualTime, service.get(organisation));
                }
            }
            return Optional.ofNullable(best);
        }

        private boolean isBefore(FairQueue.Entry<Integer> a, FairQueue.Entry<Integer> b, long now) {
            if (!a.organisation().equals(b.organisation())) {
                int byService = Double.compare(service.get(a.organisation()), service.get(b.organisation()));
                return byService != 0 ? byService < 0 : a.organisation().compareTo(b.organisation()) < 0;
            }
            long levelA = a.priority().level() - (now - a.arrivedNanos()) / AGEING;
            long levelB = b.priority().level() - (now - b.arrivedNanos()) / AGEING;
            return levelA != levelB
                    ? levelA < levelB
                    : a.priority().level() < b.priority().level();
        }
    }

    private static FairQueue.Entry<Integer> entry(int item, SplittableRandom random, long now) {
        OrganisationId organisation = OrganisationId.of(String.valueOf((char) ('a' + random.nextInt(4))));
        PriorityClass priority = List.of(PriorityClass.values()).get(random.nextInt(3));
        return new FairQueue.Entry<>(item, organisation, priority, 1 + random.nextLong(5_000), now);
    }

    @Property(tries = 200, seed = "1")
    void theQueueServesInTheOrderOfTheReferenceImplementation(
            @ForAll @IntRange(min = 1, max = 200) int steps, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue<Integer> queue = new FairQueue<>(1_000, AGEING, FairQueueProperties::weight);
        ReferenceQueue reference = new ReferenceQueue();
        for (int step = 0; step < steps; step++) {
            long now = step * 100L;
            if (random.nextInt(5) < 3) {
                FairQueue.Entry<Integer> entry = entry(step, random, now);
                assertTrue(queue.offer(entry).isEmpty());
                reference.offer(entry);
            } else {
                assertEquals(reference.poll(now), queue.poll(now));
            }
            assertEquals(reference.entries.size(), queue.size());
        }
    }

    @Property(tries = 100, seed = "1")
    void aFullQueueStaysWithinItsBoundAndDisplacesTheHeaviestOrganisation(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue<Integer> queue = new FairQueue<>(10, AGEING, FairQueueProperties::weight);
        for (int step = 0; step < 100; step++) {
            queue.offer(entry(step, random, step));
            assertTrue(queue.size() <= 10);
            assertTrue(queue.organisations() <= queue.size());
        }
        FairQueue<Integer> fullQueue = new FairQueue<>(10, AGEING, organisation -> 1);
        OrganisationId greedy = OrganisationId.of("greedy");
        OrganisationId modest = OrganisationId.of("modest");
        for (int item = 0; item < 10; item++) {
            fullQueue.offer(new FairQueue.Entry<>(item, greedy, PriorityClass.STANDARD, 100, item));
        }
        Optional<FairQueue.Entry<Integer>> displaced =
                fullQueue.offer(new FairQueue.Entry<>(10, modest, PriorityClass.STANDARD, 100, 10));
        assertEquals(greedy, displaced.orElseThrow().organisation());
    }

    @Test
    void aWaitingBatchItemIsServedBeforeNewerInteractiveOnesWhenItHasAged() {
        FairQueue<Integer> queue = new FairQueue<>(10, AGEING, organisation -> 1);
        OrganisationId organisation = OrganisationId.of("organisation");
        queue.offer(new FairQueue.Entry<>(1, organisation, PriorityClass.BATCH, 1, 0));
        queue.offer(new FairQueue.Entry<>(2, organisation, PriorityClass.INTERACTIVE, 1, 2_900));
        assertEquals(2, queue.peek(2_900).orElseThrow().item());
        assertEquals(1, queue.peek(3_000).orElseThrow().item());
    }
}
