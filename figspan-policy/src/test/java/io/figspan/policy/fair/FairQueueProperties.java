package io.figspan.policy.fair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.OrganisationId;
import java.util.ArrayList;
import java.util.Collections;
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
                service.merge(entry.organisation(), virtualTime, Math::max);
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
                if (entries.isEmpty()) {
                    virtualTime = Collections.max(service.values());
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

    private static final OrganisationId HUGE = OrganisationId.of("huge");
    private static final OrganisationId BUSY = OrganisationId.of("busy");
    private static final OrganisationId LIGHT = OrganisationId.of("light");

    private static FairQueue.Entry<Integer> standard(int item, OrganisationId organisation, long tokens) {
        return new FairQueue.Entry<>(item, organisation, PriorityClass.STANDARD, tokens, item);
    }

    /** Guards against one large item that pushes every organisation which arrives later behind those that wait. */
    @Test
    void anOrganisationThatArrivesAfterALargeItemWasServedIsNotBehindThoseThatWait() {
        FairQueue<Integer> queue = new FairQueue<>(100, AGEING, organisation -> 1);
        queue.offer(standard(0, HUGE, 600_000));
        for (int item = 1; item <= 20; item++) {
            queue.offer(standard(item, BUSY, 5_000));
        }
        assertEquals(BUSY, queue.poll(0).orElseThrow().organisation());
        assertEquals(HUGE, queue.poll(0).orElseThrow().organisation());
        queue.offer(standard(30, LIGHT, 5_000));
        assertEquals(LIGHT, queue.poll(0).orElseThrow().organisation());
        queue.offer(standard(31, HUGE, 5_000));
        for (int item = 2; item < 20; item++) {
            assertEquals(BUSY, queue.poll(0).orElseThrow().organisation(), "the debt of the large item remains");
        }
    }

    /** Guards against credit from a pause, which would let an organisation block the others when it returns. */
    @Test
    void anOrganisationThatReturnsAfterAPauseTakesTurnsWithTheOthers() {
        FairQueue<Integer> queue = new FairQueue<>(1_000, AGEING, organisation -> 1);
        queue.offer(standard(0, LIGHT, 100));
        for (int item = 1; item <= 500; item++) {
            queue.offer(standard(item, BUSY, 100));
        }
        for (int i = 0; i < 300; i++) {
            queue.poll(0);
        }
        for (int item = 600; item < 700; item++) {
            queue.offer(standard(item, LIGHT, 100));
        }
        int ofLight = 0;
        for (int i = 0; i < 20; i++) {
            ofLight += queue.poll(0).orElseThrow().organisation().equals(LIGHT) ? 1 : 0;
        }
        assertTrue(ofLight >= 9 && ofLight <= 11, "served of 20: " + ofLight);
    }

    /** Guards against service on arrival that does not count, with which an organisation passes its share. */
    @Test
    void tokensThatWereReceivedWithoutQueueingCount() {
        FairQueue<Integer> queue = new FairQueue<>(100, AGEING, organisation -> 1);
        queue.offer(standard(0, BUSY, 100));
        queue.charge(BUSY, 250);
        queue.charge(HUGE, 150);
        queue.offer(standard(1, HUGE, 100));
        queue.offer(standard(2, LIGHT, 100));
        assertEquals(2, queue.poll(0).orElseThrow().item());
        assertEquals(1, queue.poll(0).orElseThrow().item());
    }

    /** Guards against items that are offered twice or in another order than they would be polled. */
    @Property(tries = 100, seed = "1")
    void servingEverythingHasTheOrderOfPolling(@ForAll @IntRange(min = 1, max = 60) int items, @ForAll long seed) {
        FairQueue<Integer> polled = new FairQueue<>(1_000, AGEING, FairQueueProperties::weight);
        FairQueue<Integer> served = new FairQueue<>(1_000, AGEING, FairQueueProperties::weight);
        FairQueue<Integer> kept = new FairQueue<>(1_000, AGEING, FairQueueProperties::weight);
        SplittableRandom random = new SplittableRandom(seed);
        for (int item = 0; item < items; item++) {
            FairQueue.Entry<Integer> entry = entry(item, random, item * 100L);
            List.of(polled, served, kept).forEach(queue -> queue.offer(entry));
        }
        List<Integer> inOrderOfPolling = new ArrayList<>();
        for (int item = 0; item < items; item++) {
            inOrderOfPolling.add(polled.poll(items * 100L).orElseThrow().item());
        }
        List<Integer> inOrderOfServing = new ArrayList<>();
        served.serve(items * 100L, entry -> {
            inOrderOfServing.add(entry.item());
            return FairQueue.Decision.SERVE;
        });
        assertEquals(inOrderOfPolling, inOrderOfServing);
        assertEquals(0, served.size());
        List<Integer> offered = new ArrayList<>();
        kept.serve(items * 100L, entry -> {
            offered.add(entry.item());
            return FairQueue.Decision.KEEP;
        });
        assertEquals(items, offered.stream().distinct().count());
        assertEquals(items, offered.size());
        assertEquals(items, kept.size());
    }

    /** Guards against a flood of small items that removes the only, large item of another organisation. */
    @Test
    void theOnlyItemOfAnOrganisationIsNotDisplacedByAFlood() {
        FairQueue<Integer> queue = new FairQueue<>(10, AGEING, organisation -> 1);
        queue.offer(standard(0, HUGE, 600_000));
        for (int item = 1; item < 10; item++) {
            queue.offer(standard(item, BUSY, 100));
        }
        assertEquals(10, queue.offer(standard(10, BUSY, 100)).orElseThrow().item());
        assertEquals(9, queue.offer(standard(11, LIGHT, 100)).orElseThrow().item());
    }
}
